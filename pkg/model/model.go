// Package model holds the identifiers and value types that every other package
// shares. It does no I/O and holds no state.
package model

import (
	"fmt"
	"net/netip"
	"strings"
)

type (
	// InstanceID names a machine that runs radishturnd.
	InstanceID string
	// AvailabilityZoneID names an availability zone.
	AvailabilityZoneID string
	// CallerID names who sends queries and orders.
	CallerID string
	// CollectionID names a catalogue or archive that one query covers.
	CollectionID string
	// ServiceID names a service within a collection.
	ServiceID string
	// SnapshotID names one version of a collection's index.
	SnapshotID string
	// VersionID names one release of the back-end program.
	VersionID string
	// BootID names one incarnation of a target process.
	BootID string
	// DiskID is made when a data folder is first written; a new folder has a new one.
	DiskID string
	// RequestID names one request of a caller.
	RequestID string
	// Route names a kind of query within a collection, as the caller states it.
	Route string
	// Revision numbers accepted configurations; 0 means none.
	Revision uint64
	// Fingerprint identifies requests with the same content.
	Fingerprint uint64
)

// LeafID names a shard of a collection: the leaf with number Leaf of a service.
type LeafID struct {
	Service ServiceID `json:"service" cbor:"1,keyasint"`
	Leaf    int       `json:"leaf" cbor:"2,keyasint"`
}

// String returns the leaf as "service/leaf-N".
func (l LeafID) String() string {
	return fmt.Sprintf("%s/leaf-%d", l.Service, l.Leaf)
}

// Compare orders leaves by service, then by number.
func (l LeafID) Compare(other LeafID) int {
	if c := strings.Compare(string(l.Service), string(other.Service)); c != 0 {
		return c
	}
	return l.Leaf - other.Leaf
}

// TargetID names one slot of a leaf filled by one version, as
// "collection/service/leaf-N/slot-N", with "@version" appended for targets
// that were started beside an older version.
type TargetID string

// NewTargetID returns the name of a slot of a leaf.
func NewTargetID(c CollectionID, l LeafID, slot int) TargetID {
	return TargetID(fmt.Sprintf("%s/%s/slot-%d", c, l, slot))
}

// Target is a back-end process as the platform lists it.
type Target struct {
	ID               TargetID           `json:"id" cbor:"1,keyasint,omitempty"`
	Collection       CollectionID       `json:"collection" cbor:"2,keyasint,omitempty"`
	Leaf             LeafID             `json:"leaf" cbor:"3,keyasint,omitempty"`
	Slot             int                `json:"slot" cbor:"4,keyasint,omitempty"`
	Address          netip.AddrPort     `json:"address" cbor:"5,keyasint,omitempty"`
	AvailabilityZone AvailabilityZoneID `json:"availabilityZone" cbor:"6,keyasint,omitempty"`
	Version          VersionID          `json:"version" cbor:"7,keyasint,omitempty"`
	Leaving          bool               `json:"leaving" cbor:"8,keyasint,omitempty"`
	// Concurrency is how many requests the target works on at a time; 0 means
	// that it is not stated.
	Concurrency int `json:"concurrency,omitempty" cbor:"9,keyasint,omitempty"`
	// Service is the target's service, for targets that are not listed by
	// collection and leaf.
	Service ServiceID `json:"service,omitempty" cbor:"10,keyasint,omitempty"`
	// Cold is set while the target has just started and bears little load.
	Cold bool `json:"cold,omitempty" cbor:"11,keyasint,omitempty"`
}

// Instance is a machine of the query tier as its peers know it.
type Instance struct {
	ID               InstanceID         `json:"id" cbor:"1,keyasint"`
	AvailabilityZone AvailabilityZoneID `json:"availabilityZone" cbor:"2,keyasint"`
	// MeshAddress is where peers reach the instance over QUIC.
	MeshAddress netip.AddrPort `json:"meshAddress" cbor:"3,keyasint"`
	Leaving     bool           `json:"leaving" cbor:"4,keyasint,omitempty"`
	// Ordinal numbers instances in the order in which they were first recorded,
	// from 1. It never changes, so that shares of targets follow it.
	Ordinal uint64 `json:"ordinal,omitempty" cbor:"5,keyasint,omitempty"`
}

// LeafPart is one leaf's part of a snapshot.
type LeafPart struct {
	Leaf LeafID `json:"leaf"`
	// Documents is the number of documents that the leaf holds in the snapshot.
	Documents int `json:"documents"`
}

// Snapshot is one version of a collection's index with its partition map.
type Snapshot struct {
	Collection CollectionID `json:"collection"`
	ID         SnapshotID   `json:"id"`
	// Sequence grows with each snapshot of the collection.
	Sequence uint64     `json:"sequence"`
	Leaves   []LeafPart `json:"leaves"`
}

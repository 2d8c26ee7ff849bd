// Package model defines the identifiers and value types that the other packages
// share. It does no I/O and has no state.
package model

import (
	"fmt"
	"net/netip"
	"strings"
)

type (
	// InstanceID identifies an instance: a process of radishturnd on one machine.
	InstanceID string
	// AvailabilityZoneID identifies an availability zone.
	AvailabilityZoneID string
	// CallerID identifies the client account that sends queries and orders.
	CallerID string
	// CollectionID identifies a set of documents that one query covers, such as a
	// catalogue or an archive.
	CollectionID string
	// ServiceID identifies a service within a collection.
	ServiceID string
	// SnapshotID identifies one version of a collection's index.
	SnapshotID string
	// VersionID identifies one release of the back-end program.
	VersionID string
	// BootID identifies one incarnation of a target process; a restart gives a new one.
	BootID string
	// DiskID identifies a data folder. It is generated when the folder is first
	// written, so a new folder has a new ID.
	DiskID string
	// RequestID identifies one request of a caller.
	RequestID string
	// Route identifies a kind of query within a collection, as given by the caller.
	Route string
	// Revision is the number of an accepted configuration; 0 means none.
	Revision uint64
	// Fingerprint identifies requests with the same content.
	Fingerprint uint64
)

// LeafID identifies a leaf, which is a shard of a collection: the leaf with
// number Leaf of a service.
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

// TargetID identifies the target in a slot of a leaf that runs one version. A
// slot is one of the places at which the targets of a leaf run. The ID is
// "collection/service/leaf-N/slot-N". "@version" is appended for targets that
// were started alongside an older version.
type TargetID string

// NewTargetID returns the ID of a slot of a leaf, without a version.
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
	// Concurrency is the number of requests that the target runs concurrently; 0
	// means not stated.
	Concurrency int `json:"concurrency,omitempty" cbor:"9,keyasint,omitempty"`
	// Service is the target's service, for targets that the platform lists by
	// service only; their Collection and Leaf are empty.
	Service ServiceID `json:"service,omitempty" cbor:"10,keyasint,omitempty"`
	// Cold is set while the target has recently started and can take little load.
	Cold bool `json:"cold,omitempty" cbor:"11,keyasint,omitempty"`
	// Born is when the target's process started, in Unix milliseconds; 0 means not
	// stated. A process that starts again under the same ID has another one.
	Born int64 `json:"born,omitempty" cbor:"12,keyasint,omitempty"`
}

// Instance is a machine of the query tier as its peers know it.
type Instance struct {
	ID               InstanceID         `json:"id" cbor:"1,keyasint"`
	AvailabilityZone AvailabilityZoneID `json:"availabilityZone" cbor:"2,keyasint"`
	// MeshAddress is the address at which peers connect to the instance over QUIC.
	MeshAddress netip.AddrPort `json:"meshAddress" cbor:"3,keyasint"`
	Leaving     bool           `json:"leaving" cbor:"4,keyasint,omitempty"`
	// Ordinal numbers the instances from 1 in the order in which they were first
	// recorded. Shares of targets are computed from it, so it never changes.
	Ordinal uint64 `json:"ordinal,omitempty" cbor:"5,keyasint,omitempty"`
}

// LeafPart is the part of a snapshot that one leaf holds.
type LeafPart struct {
	Leaf LeafID `json:"leaf"`
	// Documents is the number of documents that the leaf holds in the snapshot.
	Documents int `json:"documents"`
}

// Snapshot is one version of a collection's index, with the part of each leaf.
type Snapshot struct {
	Collection CollectionID `json:"collection"`
	ID         SnapshotID   `json:"id"`
	// Sequence increases with each snapshot of the collection.
	Sequence uint64     `json:"sequence"`
	Leaves   []LeafPart `json:"leaves"`
}

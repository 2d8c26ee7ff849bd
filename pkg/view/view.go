// Package view holds the copy that an entry instance, which is one that accepts
// requests of callers, has of the replicated configuration in force under its lease.
// pkg/lease publishes a new View with each change; the packages that handle requests,
// such as pkg/fanout and pkg/dispatch, only read it. The lease itself is not part of a
// View; see Source.
package view

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// LeaseState determines what the instance may do.
type LeaseState string

// States of the lease.
const (
	// LeaseNone: no lease was held since the start; not ready.
	LeaseNone LeaseState = "none"
	// LeaseHeld: everything is allowed.
	LeaseHeld LeaseState = "held"
	// LeaseControlLost: the lease has expired, and a majority of instances is known to
	// have lost its lease too, or this is not known yet (in the grace period after the
	// expiry). Queries continue with the last configuration; orders (requests that must
	// run at most once) are refused.
	LeaseControlLost LeaseState = "control-lost"
	// LeaseCutOff: the lease has expired, and no majority of instances is known to
	// have lost its lease too. All work is refused.
	LeaseCutOff LeaseState = "cut-off"
)

// View is an immutable copy of the configuration in force.
type View struct {
	Revision model.Revision
	// Instances are the live instances of the tier, in order of ID.
	Instances []model.Instance
	// ZonesOut are the availability zones that a rule takes out of service. pkg/fanout
	// sends their targets no new requests.
	ZonesOut map[model.AvailabilityZoneID]bool
	// Drained are the targets that operators have taken out of service.
	Drained map[model.TargetID]bool
	// CallerLimits are fleet-wide limits in requests per second.
	CallerLimits map[model.CallerID]float64
	// Moves are the traffic moves between versions, at most one for each collection.
	Moves map[model.CollectionID]Move
	// Grants are this instance's shares of the targets' capacity.
	Grants map[model.TargetID]Grant
	// Quarantined are the fingerprints that every instance refuses.
	Quarantined map[model.Fingerprint]bool
	// Routing is the routing table in force; nil until one is known.
	Routing *routing.Index
	// Catalog are the targets that the leader lists; nil where instances read
	// the platform's list themselves, and until the first list arrives.
	Catalog *catalog.Set
	// Evacuated are the availability zones that an operator's command evacuates.
	// pkg/dispatch sends their targets no new requests.
	Evacuated map[model.AvailabilityZoneID]bool
	// ExpensiveTargets maps targets that cost more than usual to their cost, as a
	// multiple of the usual latency, combined over all instances. CostPosition is
	// the position of these costs. They are outdated once the lease has expired.
	ExpensiveTargets map[model.TargetID]float64
	CostPosition     catalog.Position
	// Restarts describes the processes of instances that have recently ended uncleanly.
	Restarts Restarts
}

// Restarts describes the processes that have recently ended without returning their lease.
type Restarts struct {
	// Share is the share of the instances with such a process, from 0 to 1.
	Share float64
	// Until is until when targets may count the connections of these processes.
	Until time.Time
}

// Move is the state of a traffic move, as far as entry instances need it.
type Move struct {
	From model.VersionID `json:"from" cbor:"1,keyasint"`
	To   model.VersionID `json:"to" cbor:"2,keyasint"`
	// Share is the fraction of traffic for To, from 0 to 1.
	Share float64 `json:"share" cbor:"3,keyasint"`
	// Reverted is set once the move was reverted; Share is then 0.
	Reverted bool `json:"takenBack" cbor:"4,keyasint,omitempty"`
}

// Grant is one instance's share of a target's capacity. A target without an entry
// in View.Grants gives this instance no capacity.
type Grant struct {
	// Connections is how many connections this instance may hold open.
	Connections int `cbor:"1,keyasint"`
	// ColdLoad is how many concurrent requests it may send while the target is cold.
	ColdLoad int `cbor:"2,keyasint"`
}

// Source provides the current view and lease.
type Source interface {
	// View returns the newest view; never nil. The result must not be modified.
	View() *View
	// Lease returns the state of the lease at the time of the call. A process
	// that was paused sees an expired lease at once.
	Lease() LeaseState
	// LeaseLeft returns the time until the lease expires; 0 unless it is held.
	LeaseLeft() time.Duration
}

// Contact tells how old the view may be, and renews it on demand.
type Contact interface {
	// SinceRenewal returns the time since the newest renewal that succeeded was sent,
	// or since the start. It includes time in which the process or its machine stood
	// still. The view holds what was in force at the leader then.
	SinceRenewal() time.Duration
	// SinceAttempt is SinceRenewal for the newest renewal that has ended, whether or not
	// it succeeded. It exceeds the time between renewals only after the process or its
	// machine stood still.
	SinceAttempt() time.Duration
	// Refresh returns once a renewal that began after the call has ended, whether or not
	// it succeeded, or once ctx is done.
	Refresh(ctx context.Context)
}

// Evidence is what an entry instance has observed since its last report. It is sent to
// the leader with the renewal of the lease.
type Evidence struct {
	// Crashes are targets that crashed with requests in flight.
	Crashes []TargetCrash `cbor:"1,keyasint,omitempty"`
	// Cold are targets that showed signs of being cold.
	Cold []Incarnation `cbor:"2,keyasint,omitempty"`
	// Outcomes count the answers of targets for moves, by version and route.
	Outcomes []Outcome `cbor:"3,keyasint,omitempty"`
	// VersionStops lists versions that this instance stopped using on local evidence.
	VersionStops []VersionStop `cbor:"4,keyasint,omitempty"`
	// Warm are cold targets that answered at full speed under Grant.ColdLoad, so that
	// they can get more.
	Warm []Incarnation `cbor:"5,keyasint,omitempty"`
	// Costs are the costs of target replies, one sample for each target.
	Costs []catalog.CostSample `cbor:"6,keyasint,omitempty"`
}

// TargetCrash is a target that crashed while the named requests were in flight.
type TargetCrash struct {
	Target   model.TargetID      `cbor:"1,keyasint"`
	Boot     model.BootID        `cbor:"2,keyasint"`
	Suspects []model.Fingerprint `cbor:"3,keyasint"`
	// Trial is set if the target had been given a suspect request alone. That
	// request is then probably the cause of the crash.
	Trial bool `cbor:"4,keyasint,omitempty"`
	// NeverAnswered is set if the reporting instance knows of no target that has
	// answered the suspects.
	NeverAnswered bool `cbor:"5,keyasint,omitempty"`
}

// Incarnation is one incarnation of a target that was found to be cold or warm.
type Incarnation struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Boot   model.BootID   `cbor:"2,keyasint"`
}

// Outcome counts answers of one version on one route in one window.
type Outcome struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Version    model.VersionID    `cbor:"2,keyasint"`
	Route      model.Route        `cbor:"3,keyasint"`
	// Window numbers the seconds since the reporting instance began to count. The
	// windows of different instances cannot be compared: pkg/dispatch counts from its
	// start, pkg/fanout from its first answer.
	Window uint64 `cbor:"4,keyasint"`
	OK     uint64 `cbor:"5,keyasint"`
	Failed uint64 `cbor:"6,keyasint"`
	// LatencyBuckets counts OK answers by latency; bucket i holds latencies
	// below 1 ms × 2^(i/2), and the last one holds all others.
	LatencyBuckets []uint64 `cbor:"7,keyasint,omitempty"`
}

const (
	// LatencyBucketCount is the number of buckets of Outcome.
	LatencyBucketCount = 24
	// bucketsPerDoubling is how many buckets a doubling of the latency spans.
	bucketsPerDoubling = 2
)

// LatencyBucket returns the bucket of Outcome that holds a latency.
func LatencyBucket(d time.Duration) int {
	if d < time.Millisecond {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(time.Millisecond))
	return min(int(bucketsPerDoubling*doublings)+1, LatencyBucketCount-1)
}

// VersionStop reports that an entry instance stopped sending requests to a version.
type VersionStop struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Version    model.VersionID    `cbor:"2,keyasint"`
	Reason     string             `cbor:"3,keyasint"`
}

// Reporter collects evidence for the next renewal. It never blocks. When the limit of
// a kind is reached, the oldest evidence of that kind is dropped, except that all
// collected outcomes are dropped for a new outcome, and that costs of further targets
// are not added. This is logged once for each kind and renewal.
type Reporter interface {
	Report(e Evidence)
}

// Store holds the newest view for many readers.
type Store struct {
	view atomic.Pointer[View]
}

// NewStore returns a Store with an empty view.
func NewStore() *Store {
	h := &Store{}
	h.view.Store(&View{})
	return h
}

// View returns the newest view.
func (h *Store) View() *View { return h.view.Load() }

// Publish replaces the view.
func (h *Store) Publish(v *View) { h.view.Store(v) }

// Package snapshots chooses the snapshot to answer a query from.
package snapshots

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Holding states whether a target is known to hold a snapshot.
type Holding int

// Values of Holding.
const (
	// HoldingUnknown means that neither the health endpoint nor a reply of the
	// target has told.
	HoldingUnknown Holding = iota
	// Held means that the target answered from the snapshot, or that its health
	// endpoint lists it.
	Held
	// NotHeld means that the target refused the snapshot, or that its health
	// endpoint does not list it.
	NotHeld
)

const (
	// refusalPrecedence is how long a refusal takes precedence over the listing by
	// the health endpoint, which may be stale.
	refusalPrecedence = 2 * time.Second
	// refusalTTL is the age at which a refusal that no later listing confirmed is
	// ignored.
	refusalTTL = 10 * time.Second
)

// Record is what is known about one target and one snapshot.
type Record struct {
	holding   Holding
	refused   bool
	refusedAt time.Duration
}

// ApplyHealth updates the record from the target's health endpoint. held is set if
// the endpoint lists the snapshot.
func (r *Record) ApplyHealth(held bool, now time.Duration) {
	if r.refused && now-r.refusedAt < refusalPrecedence {
		return
	}
	r.refused = false
	r.holding = NotHeld
	if held {
		r.holding = Held
	}
}

// RecordAnswer records a reply that the target gave from the snapshot.
func (r *Record) RecordAnswer() { *r = Record{holding: Held} }

// RecordRefusal records that the target refused a request because it does not
// hold the snapshot.
func (r *Record) RecordRefusal(now time.Duration) {
	*r = Record{holding: NotHeld, refused: true, refusedAt: now}
}

// Holding returns the holding as known at now.
func (r *Record) Holding(now time.Duration) Holding {
	if r.refused && now-r.refusedAt >= refusalTTL {
		return HoldingUnknown
	}
	return r.holding
}

// LeafHolding returns the holding of a leaf, from its targets that are in service:
// Held if any is known to hold the snapshot, otherwise HoldingUnknown if the holding
// of any is unknown, otherwise NotHeld.
type LeafHolding func(leaf model.LeafID, id model.SnapshotID) Holding

// Choice is a snapshot to answer from.
type Choice struct {
	Snapshot *model.Snapshot
	// NoLeafMissing is set if no leaf is known to lack the snapshot. A leaf whose
	// holding is unknown does not count as missing.
	NoLeafMissing bool
}

// Choose returns the newest snapshot that every leaf in its Leaves holds. If there is
// none, it returns the snapshot with the most documents held, and the newest of these
// on a tie. NoLeafMissing is then still set if no leaf is known to lack the snapshot,
// so that an instance that has read no health endpoint yet can start.
func Choose(all []model.Snapshot, holding LeafHolding) (Choice, bool) {
	var best Choice
	var bestSummary summary
	for i := range all {
		sum := summarize(&all[i], holding)
		if sum.leaves == 0 || (sum.missing && sum.documents == 0) {
			continue
		}
		if best.Snapshot == nil || sum.betterThan(bestSummary) {
			best, bestSummary = Choice{Snapshot: &all[i], NoLeafMissing: !sum.missing}, sum
		}
	}
	return best, best.Snapshot != nil
}

// summary aggregates the holdings of one snapshot over its leaves.
type summary struct {
	sequence uint64
	leaves   int
	// documents counts the documents of leaves that are known to hold the snapshot.
	documents int
	// unknown and missing are set if any leaf is HoldingUnknown or NotHeld.
	unknown, missing bool
}

func summarize(s *model.Snapshot, holding LeafHolding) summary {
	sum := summary{sequence: s.Sequence, leaves: len(s.Leaves)}
	for _, part := range s.Leaves {
		switch holding(part.Leaf, s.ID) {
		case Held:
			sum.documents += part.Documents
		case HoldingUnknown:
			sum.unknown = true
		case NotHeld:
			sum.missing = true
		}
	}
	return sum
}

// allHeld reports whether every leaf is known to hold the snapshot.
func (s summary) allHeld() bool { return !s.unknown && !s.missing }

func (s summary) betterThan(other summary) bool {
	switch {
	case s.allHeld() != other.allHeld():
		return s.allHeld()
	case !s.allHeld() && s.documents != other.documents:
		return s.documents > other.documents
	}
	return s.sequence > other.sequence
}

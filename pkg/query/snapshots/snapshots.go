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
	// HoldingUnknown means that there is neither a hint nor a reply.
	HoldingUnknown Holding = iota
	// Held means that the target answered from the snapshot, or that its health
	// endpoint lists it.
	Held
	// NotHeld means that the target refused the snapshot, or that its health
	// endpoint does not list it.
	NotHeld
)

const (
	// refusalPrecedence is how long a refusal takes precedence over hints, which
	// may be stale.
	refusalPrecedence = 2 * time.Second
	// refusalTTL is the age at which a refusal that no later hint confirmed is
	// ignored.
	refusalTTL = 10 * time.Second
)

// Record is what is known about one target and one snapshot.
type Record struct {
	holding   Holding
	refused   bool
	refusedAt time.Duration
}

// ApplyHint updates the record from the target's health endpoint.
func (r *Record) ApplyHint(held bool, now time.Duration) {
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

// LeafHolding returns the best holding among the admitted targets of a leaf, or
// NotHeld if the leaf has no admitted target.
type LeafHolding func(leaf model.LeafID, id model.SnapshotID) Holding

// Choice is a snapshot to answer from.
type Choice struct {
	Snapshot *model.Snapshot
	// Complete is set if no leaf is known to lack the snapshot.
	Complete bool
}

// Newest returns the newest snapshot that every leaf of its partition map
// holds. If there is none, it returns the snapshot with the most documents held,
// and the newest of these on a tie. Complete is then still set if no leaf is
// known to lack the snapshot, so that an instance that has no hints yet can start.
func Newest(all []model.Snapshot, holding LeafHolding) (Choice, bool) {
	var best Choice
	var bestState summary
	for i := range all {
		st := summarize(&all[i], holding)
		if st.leaves == 0 || (st.missing && st.documents == 0) {
			continue
		}
		if best.Snapshot == nil || st.betterThan(bestState) {
			best, bestState = Choice{Snapshot: &all[i], Complete: !st.missing}, st
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
	st := summary{sequence: s.Sequence, leaves: len(s.Leaves)}
	for _, part := range s.Leaves {
		switch holding(part.Leaf, s.ID) {
		case Held:
			st.documents += part.Documents
		case HoldingUnknown:
			st.unknown = true
		case NotHeld:
			st.missing = true
		}
	}
	return st
}

func (s summary) complete() bool { return !s.unknown && !s.missing }

func (s summary) betterThan(other summary) bool {
	switch {
	case s.complete() != other.complete():
		return s.complete()
	case !s.complete() && s.documents != other.documents:
		return s.documents > other.documents
	}
	return s.sequence > other.sequence
}

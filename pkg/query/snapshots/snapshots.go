// Package snapshots chooses the snapshot that a query is answered from.
package snapshots

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Holding says what is known about a target and a snapshot.
type Holding int

// What may be known.
const (
	// HoldingUnknown means that neither a hint nor a reply told.
	HoldingUnknown Holding = iota
	// Held means that the target answered from the snapshot, or hints at it.
	Held
	// NotHeld means that the target refused the snapshot, or hints at its absence.
	NotHeld
)

const (
	// refusalPrecedence is how long a refusal outranks hints that say otherwise.
	refusalPrecedence = 2 * time.Second
	// refusalTTL is when a refusal without later hints says nothing any more.
	refusalTTL = 10 * time.Second
)

// Record is what is known about one target and one snapshot.
type Record struct {
	holding   Holding
	refused   bool
	refusedAt time.Duration
}

// ApplyHint takes in what the target's health endpoint says.
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

// RecordAnswer takes in a reply from the snapshot.
func (r *Record) RecordAnswer() { *r = Record{holding: Held} }

// RecordRefusal takes in a refusal because the snapshot is not there.
func (r *Record) RecordRefusal(now time.Duration) {
	*r = Record{holding: NotHeld, refused: true, refusedAt: now}
}

// Holding returns what is known at now.
func (r *Record) Holding(now time.Duration) Holding {
	if r.refused && now-r.refusedAt >= refusalTTL {
		return HoldingUnknown
	}
	return r.holding
}

// LeafHolding returns the best holding among the admitted targets of a leaf;
// NotHeld if the leaf has none.
type LeafHolding func(leaf model.LeafID, id model.SnapshotID) Holding

// Choice is a snapshot to answer from.
type Choice struct {
	Snapshot *model.Snapshot
	// Complete is set if no leaf is known to lack the snapshot.
	Complete bool
}

// Newest returns the newest snapshot that every leaf of its partition map
// holds. If there is none it returns the one of which most documents are held,
// the newest one in a tie; Whole is then set if no leaf is known to lack it, so
// that an instance without hints can start.
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

// summary sums up what is known of one snapshot.
type summary struct {
	sequence uint64
	leaves   int
	// documents are those at leaves that are known to hold the snapshot.
	documents int
	// unknown and lacking are set if this holds for any leaf.
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

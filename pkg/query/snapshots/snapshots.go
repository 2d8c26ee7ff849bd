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
	// refusalOutranks is how long a refusal outranks hints that say otherwise.
	refusalOutranks = 2 * time.Second
	// refusalForgotten is when a refusal without later hints says nothing any more.
	refusalForgotten = 10 * time.Second
)

// Record is what is known about one target and one snapshot.
type Record struct {
	holding   Holding
	refused   bool
	refusedAt time.Duration
}

// Hint takes in what the target's health endpoint says.
func (r *Record) Hint(held bool, now time.Duration) {
	if r.refused && now-r.refusedAt < refusalOutranks {
		return
	}
	r.refused = false
	r.holding = NotHeld
	if held {
		r.holding = Held
	}
}

// Answered takes in a reply from the snapshot.
func (r *Record) Answered() { *r = Record{holding: Held} }

// Refused takes in a refusal because the snapshot is not there.
func (r *Record) Refused(now time.Duration) {
	*r = Record{holding: NotHeld, refused: true, refusedAt: now}
}

// Holding returns what is known at now.
func (r *Record) Holding(now time.Duration) Holding {
	if r.refused && now-r.refusedAt >= refusalForgotten {
		return HoldingUnknown
	}
	return r.holding
}

// LeafHolding returns the best holding among the admitted targets of a leaf;
// NotHeld if the leaf has none.
type LeafHolding func(leaf model.LeafID, id model.SnapshotID) Holding

// Newest returns the newest snapshot that every leaf of its partition map
// holds. If none is known to be whole, the newest one that no leaf is known to
// lack is returned, so that an instance without hints can start.
func Newest(all []model.Snapshot, holding LeafHolding) (*model.Snapshot, bool) {
	var known, possible *model.Snapshot
	for i := range all {
		s := &all[i]
		switch weakest(s, holding) {
		case Held:
			known = newer(known, s)
		case HoldingUnknown:
			possible = newer(possible, s)
		}
	}
	if known != nil {
		return known, true
	}
	return possible, possible != nil
}

func newer(a, b *model.Snapshot) *model.Snapshot {
	if a == nil || b.Sequence > a.Sequence {
		return b
	}
	return a
}

// weakest returns NotHeld if a leaf lacks the snapshot, else HoldingUnknown if
// that is not known for a leaf, else Held.
func weakest(s *model.Snapshot, holding LeafHolding) Holding {
	if len(s.Leaves) == 0 {
		return NotHeld
	}
	result := Held
	for _, part := range s.Leaves {
		switch holding(part.Leaf, s.ID) {
		case NotHeld:
			return NotHeld
		case HoldingUnknown:
			result = HoldingUnknown
		}
	}
	return result
}

// Package table is the leader's side of the leases: who holds one, since when,
// and what each holder has acknowledged. It is pure: the caller passes the time
// on its monotonic clock, as a duration since an origin of its choice.
//
// A lease counts as run out once the holder has surely stopped using it. The
// holder measures from when it sent the renewal and the table from when the
// leader received it, so the holder is never the later one.
//
// A holder that has run out may still answer queries if it finds that a
// majority of the known instances has no lease either. Therefore the table
// releases it only while at least half of the known instances have held leases
// for a whole lease time: then no majority without leases can exist.
package table

import (
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Renewal is what the table needs of a holder's request.
type Renewal struct {
	Instance model.InstanceID
	// Boot differs between processes with the same InstanceID.
	Boot string
	// Sequence grows with each renewal of one process.
	Sequence uint64
	// Version and Revision are what the holder has in force.
	Version  uint64
	Revision model.Revision
}

// Table holds the leases of one leader's term.
type Table struct {
	// runOut is how long after a renewal a lease may still be in use.
	runOut  time.Duration
	holders map[model.InstanceID]*holder
	// quorate is set while at least half of the holders are live.
	quorate      bool
	quorateSince time.Duration
}

type holder struct {
	Renewal
	// heard is false while the lease is only assumed: a predecessor of this
	// leader may have granted it.
	heard bool
	// received is when the newest renewal came in, or when this leader took office.
	received time.Duration
	// released is set once the lease has surely ended.
	released bool
}

// New returns the table of a leader that takes office now. Each known instance
// may hold a lease from a predecessor for runOut from now.
func New(now, runOut time.Duration, known []model.InstanceID) *Table {
	t := &Table{runOut: runOut, holders: make(map[model.InstanceID]*holder, len(known))}
	for _, id := range known {
		t.holders[id] = &holder{Renewal: Renewal{Instance: id}, received: now}
	}
	t.update(now)
	return t
}

// Outcome says how a renewal was taken.
type Outcome int

// Outcomes of a renewal.
const (
	// Renewed: the holder goes on with what it has.
	Renewed Outcome = iota
	// First: this leader hears of the holder for the first time while a
	// predecessor's lease may be alive; the holder keeps what it has.
	First
	// Fresh: the holder starts with nothing.
	Fresh
	// Stale: a newer renewal of the same process was taken before.
	Stale
)

// Renew takes a renewal that was received now.
func (t *Table) Renew(now time.Duration, r Renewal) Outcome {
	t.update(now)
	h, ok := t.holders[r.Instance]
	outcome := Renewed
	switch {
	case !ok || h.released:
		outcome = Fresh
	case !h.heard:
		outcome = First
	case h.Boot != r.Boot:
		outcome = Fresh
	case r.Sequence <= h.Sequence:
		return Stale
	}
	t.holders[r.Instance] = &holder{Renewal: r, heard: true, received: now}
	t.update(now)
	return outcome
}

// Return ends the lease of a holder that handed it back.
func (t *Table) Return(now time.Duration, id model.InstanceID) {
	t.update(now)
	delete(t.holders, id)
	t.update(now)
}

// Forget removes an instance that is released.
func (t *Table) Forget(now time.Duration, id model.InstanceID) {
	if h, ok := t.holders[id]; ok && h.released {
		t.Return(now, id)
	}
}

func (h *holder) alive(now, runOut time.Duration) bool {
	return !h.released && now < h.received+runOut
}

// update notes whether at least half of the holders are live.
func (t *Table) update(now time.Duration) {
	live := 0
	for _, h := range t.holders {
		if h.heard && h.alive(now, t.runOut) {
			live++
		}
	}
	quorate := 2*live >= len(t.holders)
	if quorate && !t.quorate {
		t.quorateSince = now
	}
	t.quorate = quorate
}

// Release returns the holders whose leases have surely ended since the last
// call, in order.
func (t *Table) Release(now time.Duration) []model.InstanceID {
	t.update(now)
	if !t.quorate || now < t.quorateSince+t.runOut {
		return nil
	}
	var released []model.InstanceID
	for _, id := range slices.Sorted(maps.Keys(t.holders)) {
		h := t.holders[id]
		if !h.released && !h.alive(now, t.runOut) {
			h.released = true
			released = append(released, id)
		}
	}
	return released
}

// Released returns the instances whose leases have surely ended, in order.
func (t *Table) Released() []model.InstanceID {
	var ids []model.InstanceID
	for _, id := range slices.Sorted(maps.Keys(t.holders)) {
		if t.holders[id].released {
			ids = append(ids, id)
		}
	}
	return ids
}

// InForce returns the holders that have acknowledged revision, and those that
// may be using an older one, both in order.
func (t *Table) InForce(revision model.Revision) (acknowledged, missing []model.InstanceID) {
	for _, id := range slices.Sorted(maps.Keys(t.holders)) {
		h := t.holders[id]
		switch {
		case h.released:
		case h.heard && h.Revision >= revision:
			acknowledged = append(acknowledged, id)
		default:
			missing = append(missing, id)
		}
	}
	return acknowledged, missing
}

// Lease is one lease as the leader sees it.
type Lease struct {
	Instance model.InstanceID
	// Left is how long the holder may still use it; 0 if it has run out.
	Left     time.Duration
	Revision model.Revision
}

// Leases returns the leases that are not released, in order.
func (t *Table) Leases(now time.Duration) []Lease {
	var leases []Lease
	for _, id := range slices.Sorted(maps.Keys(t.holders)) {
		h := t.holders[id]
		if !h.released {
			left := max(0, h.received+t.runOut-now)
			leases = append(leases, Lease{Instance: id, Left: left, Revision: h.Revision})
		}
	}
	return leases
}

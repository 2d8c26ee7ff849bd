// Package table is the leader's side of the leases: who holds one, since when,
// and what each holder has acknowledged. It is pure: the caller passes the time
// on its monotonic clock, as a duration since an origin of its choice.
//
// A lease counts as run out once the holder has surely stopped using it. The
// holder measures from when it sent the renewal and the table from when the
// leader received it, so the holder is never the later one.
//
// A holder that has run out may still answer queries if it finds that a
// majority of the known instances has lost its lease too. Therefore the table
// releases it only while at least half of the known instances have surely held
// leases for a whole lease time: then no such majority can exist. An instance
// counts among these once it has been known for a whole lease time, since one
// that was cut off before does not count it in its majority.
package table

import (
	"container/heap"
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
	// Answered is the sequence of the newest renewal whose reply the holder has.
	Answered uint64
	Revision model.Revision
}

// KnownInstance is an instance that may hold a lease from an earlier leader.
type KnownInstance struct {
	Instance model.InstanceID
	// Recent is set if it was recorded less than a whole lease time ago.
	Recent bool
}

// Table holds the leases of one leader's term.
type Table struct {
	// duration is the lease time, and runOut how long after a renewal the lease
	// may still be in use.
	duration, lifetime time.Duration
	holders            map[model.InstanceID]*holder
	// uncounted are the holders that do not count yet.
	uncounted map[model.InstanceID]bool
	// confirmedCount counts the holders that surely have a lease; ends orders them by when
	// that ends.
	confirmedCount int
	expiries       expiryHeap
	// halfOfAll holds while at least half of all holders surely have leases, and
	// core while half of those that are not new do.
	halfOfAll, halfOfCountable condition
}

// condition is something that holds since a moment.
type condition struct {
	holds bool
	since time.Duration
}

func (c *condition) set(now time.Duration, holds bool) {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
}

// heldFor reports whether the condition has held since start for a time.
func (c *condition) heldFor(now, start, d time.Duration) bool {
	return c.holds && now >= max(c.since, start)+d
}

type holder struct {
	Renewal
	// heardFrom is false while the lease is only assumed: a predecessor of this
	// leader may have granted it.
	heardFrom bool
	// received is when the newest renewal came in, or when this leader took office.
	received time.Duration
	// released is set once the lease has surely ended.
	released bool
	// joined is when the instance became known.
	joined time.Duration
	// counted is set while the holder is among those that surely have a lease.
	counted bool
	// confirmedUntil is until when the holder surely has a lease on its own clock.
	confirmedUntil time.Duration
	// recent are the newest renewals, oldest first.
	recent []receivedRenewal
}

// receivedRenewal is a renewal that came in at a time.
type receivedRenewal struct {
	sequence, answered uint64
	at                 time.Duration
}

// maxRecent bounds the renewals that are remembered for each holder.
const maxRecent = 8

// New returns the table of a leader that takes office now. Each known instance
// may hold a lease from a predecessor for runOut from now.
func New(now, duration, lifetime time.Duration, known []KnownInstance) *Table {
	t := &Table{
		duration: duration, lifetime: lifetime,
		holders: make(map[model.InstanceID]*holder, len(known)), uncounted: make(map[model.InstanceID]bool),
	}
	for _, k := range known {
		t.holders[k.Instance] = &holder{Renewal: Renewal{Instance: k.Instance}, received: now, joined: now}
		if k.Recent {
			t.uncounted[k.Instance] = true
		}
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
	case !h.heardFrom:
		outcome = First
	case h.Boot != r.Boot:
		outcome = Fresh
	case r.Sequence < h.Sequence:
		return Stale
	}
	t.store(now, h, r, outcome)
	t.update(now)
	return outcome
}

func (t *Table) store(now time.Duration, h *holder, r Renewal, outcome Outcome) {
	if h == nil {
		h = &holder{joined: now}
		t.holders[r.Instance] = h
		t.uncounted[r.Instance] = true
	}
	if outcome != Renewed {
		t.removeConfirmed(h)
		h.confirmedUntil, h.recent, h.released = 0, nil, false
	}
	h.Renewal, h.heardFrom, h.received = r, true, now
	h.updateConfirmed(now, t.duration)
	t.addConfirmed(now, h)
}

// addConfirmed adds a holder to those that surely have a lease, if it is one.
func (t *Table) addConfirmed(now time.Duration, h *holder) {
	if t.uncounted[h.Instance] || h.released || now >= h.confirmedUntil {
		return
	}
	heap.Push(&t.expiries, expiry{at: h.confirmedUntil, holder: h})
	if !h.counted {
		h.counted = true
		t.confirmedCount++
	}
}

func (t *Table) removeConfirmed(h *holder) {
	if h.counted {
		h.counted = false
		t.confirmedCount--
	}
}

// updateConfirmed works out until when the holder surely has a lease. The reply to
// renewal n gives a lease from when n was sent, which was after the holder had
// the reply that n names as answered, and so after that renewal came in here.
func (h *holder) updateConfirmed(now, duration time.Duration) {
	recent := append(slices.Clone(h.recent), receivedRenewal{sequence: h.Sequence, answered: h.Answered, at: now})
	h.recent = recent[max(0, len(recent)-maxRecent):]
	if n, ok := h.findRecent(h.Answered); ok {
		if before, ok := h.findRecent(n.answered); ok {
			h.confirmedUntil = max(h.confirmedUntil, before.at+duration)
		}
	}
}

func (h *holder) findRecent(sequence uint64) (receivedRenewal, bool) {
	for _, r := range h.recent {
		if r.sequence == sequence {
			return r, true
		}
	}
	return receivedRenewal{}, false
}

// Boot returns the process that may hold the instance's lease, if this leader
// has heard of it.
func (t *Table) Boot(id model.InstanceID) (string, bool) {
	h, ok := t.holders[id]
	if !ok || !h.heardFrom || h.released {
		return "", false
	}
	return h.Boot, true
}

// Return ends the lease of a holder that handed it back.
func (t *Table) Return(now time.Duration, id model.InstanceID) {
	t.update(now)
	if h, ok := t.holders[id]; ok {
		t.removeConfirmed(h)
		delete(t.holders, id)
		delete(t.uncounted, id)
	}
	t.update(now)
}

// Forget removes an instance that is released.
func (t *Table) Forget(now time.Duration, id model.InstanceID) {
	if h, ok := t.holders[id]; ok && h.released {
		t.Return(now, id)
	}
}

func (h *holder) alive(now, lifetime time.Duration) bool {
	return !h.released && now < h.received+lifetime
}

// update notes whether enough holders surely have leases, and which instances
// have been known for long enough to count.
func (t *Table) update(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		if h := heap.Pop(&t.expiries).(expiry).holder; h.confirmedUntil <= now {
			t.removeConfirmed(h)
		}
	}
	t.setConditions(now)
	for id := range t.uncounted {
		if h := t.holders[id]; t.halfOfCountable.heldFor(now, h.joined, t.lifetime) {
			delete(t.uncounted, id)
			t.addConfirmed(now, h)
		}
	}
	t.setConditions(now)
}

func (t *Table) setConditions(now time.Duration) {
	t.halfOfAll.set(now, 2*t.confirmedCount >= len(t.holders))
	t.halfOfCountable.set(now, 2*t.confirmedCount >= len(t.holders)-len(t.uncounted))
}

// Release returns the holders whose leases have surely ended since the last
// call, in order.
func (t *Table) Release(now time.Duration) []model.InstanceID {
	t.update(now)
	if !t.halfOfAll.heldFor(now, 0, t.lifetime) {
		return nil
	}
	var released []model.InstanceID
	for _, id := range slices.Sorted(maps.Keys(t.holders)) {
		h := t.holders[id]
		if !h.released && !h.alive(now, t.lifetime) {
			h.released = true
			t.removeConfirmed(h)
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
		case h.heardFrom && h.Revision >= revision:
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
			left := max(0, h.received+t.lifetime-now)
			leases = append(leases, Lease{Instance: id, Left: left, Revision: h.Revision})
		}
	}
	return leases
}

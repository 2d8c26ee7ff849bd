// Package table is the leader's side of the leases: who holds one, since when,
// and what each holder has acknowledged. It does no I/O: the caller passes the time
// on its monotonic clock, as a duration since an origin of its choice.
//
// A lease counts as ended only once the holder has certainly stopped using it. The
// holder measures from when it sent the renewal and the table from when the leader
// received it, so the holder never stops later than the table assumes.
//
// A holder whose lease has expired may still answer queries if it finds that a
// majority of the instances that it knows has lost its lease too. Therefore the
// table ends an expired lease only while no such majority can exist: while at least
// half of all instances have had confirmed leases for a whole lifetime. With the
// instances a, b and c, the lease of c ends if a and b both renew, and does not if
// only a does, since b and c could then form a majority.
//
// New instances must not be counted in place of old ones that have no lease: if b and c
// are cut off and d, e and f join, b and c still know only a, b and c, of which they
// are the majority. Therefore the confirmed lease of an instance counts only once the
// instance has been known for a whole lifetime, during which half of the older
// instances had confirmed leases.
package table

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Renewal is the part of a holder's request that the table needs.
type Renewal struct {
	Instance model.InstanceID
	// Boot differs between processes with the same InstanceID.
	Boot string
	// Sequence grows with each renewal of one process.
	Sequence uint64
	// Answered is the sequence of the newest renewal whose reply the holder has received.
	Answered uint64
	Revision model.Revision
}

// KnownInstance is an instance that may hold a lease from an earlier leader.
type KnownInstance struct {
	Instance model.InstanceID
	// TooNew is set if it was recorded less than a whole lifetime ago, so that its
	// lease does not count yet.
	TooNew bool
}

// Table holds the leases of one leader's term.
type Table struct {
	// duration is the lease duration, and lifetime how long after a renewal the
	// lease may still be in use.
	duration, lifetime time.Duration
	// records hold what the leader knows about the lease of each instance.
	records map[model.InstanceID]*leaseRecord
	// tooNew are the instances whose confirmed leases do not count yet, because they
	// have not been known for long enough.
	tooNew map[model.InstanceID]bool
	// confirmedCount counts the holders with a confirmed lease, which is one that
	// the holder certainly has; expiries orders them by when that ends.
	confirmedCount int
	expiries       expiryHeap
	// halfOfAll holds while at least half of all holders have confirmed leases, and
	// halfOfOldEnough while half of those that are not too new do.
	halfOfAll, halfOfOldEnough condition
}

// condition is a condition with the time since which it holds.
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

// heldFor reports whether the condition has held for d, counted from start at the
// earliest.
func (c *condition) heldFor(now, start, d time.Duration) bool {
	return c.holds && now >= max(c.since, start)+d
}

type leaseRecord struct {
	Renewal
	// heardFrom is false while the lease is only assumed: a previous leader may have
	// granted it.
	heardFrom bool
	// received is when the newest renewal arrived, or when this leader's term started.
	received time.Duration
	// ended is set once the lease has certainly ended.
	ended bool
	// joined is when the instance became known.
	joined time.Duration
	// isConfirmed is set while the holder is included in confirmedCount.
	isConfirmed bool
	// confirmedUntil is until when the holder certainly has a lease on its own clock.
	confirmedUntil time.Duration
	// newestRenewals are the newest renewals, oldest first.
	newestRenewals []receivedRenewal
}

// receivedRenewal is a renewal with its time of arrival.
type receivedRenewal struct {
	sequence, answered uint64
	at                 time.Duration
}

// maxNewestRenewals bounds the renewals that are kept for each holder.
const maxNewestRenewals = 8

// New returns the table of a leader whose term starts now. Each known instance may
// hold a lease from a previous leader for lifetime from now.
func New(now, duration, lifetime time.Duration, known []KnownInstance) *Table {
	t := &Table{
		duration: duration, lifetime: lifetime,
		records: make(map[model.InstanceID]*leaseRecord, len(known)), tooNew: make(map[model.InstanceID]bool),
	}
	for _, k := range known {
		t.records[k.Instance] = &leaseRecord{Renewal: Renewal{Instance: k.Instance}, received: now, joined: now}
		if k.TooNew {
			t.tooNew[k.Instance] = true
		}
	}
	t.update(now)
	return t
}

// Outcome is the result of a renewal.
type Outcome int

// Outcomes of a renewal.
const (
	// Renewed: the holder keeps its lease and grants.
	Renewed Outcome = iota
	// FirstContact: this leader hears from the holder for the first time while a lease
	// of a previous leader may be in use; the holder keeps its grants.
	FirstContact
	// WithoutGrants: the instance had no lease, or its process restarted; the holder
	// starts with no grants.
	WithoutGrants
	// Stale: a newer renewal of the same process was already processed.
	Stale
)

// Renew processes a renewal that was received now.
func (t *Table) Renew(now time.Duration, r Renewal) Outcome {
	t.update(now)
	h, ok := t.records[r.Instance]
	outcome := Renewed
	switch {
	case !ok || h.ended:
		outcome = WithoutGrants
	case !h.heardFrom:
		outcome = FirstContact
	case h.Boot != r.Boot:
		outcome = WithoutGrants
	case r.Sequence < h.Sequence:
		return Stale
	}
	t.store(now, h, r, outcome)
	t.update(now)
	return outcome
}

func (t *Table) store(now time.Duration, h *leaseRecord, r Renewal, outcome Outcome) {
	if h == nil {
		h = &leaseRecord{joined: now}
		t.records[r.Instance] = h
		t.tooNew[r.Instance] = true
	}
	if outcome != Renewed {
		t.removeConfirmed(h)
		h.confirmedUntil, h.newestRenewals, h.ended = 0, nil, false
	}
	h.Renewal, h.heardFrom, h.received = r, true, now
	h.updateConfirmed(now, t.duration)
	t.addConfirmed(now, h)
}

// addConfirmed counts a holder that has a confirmed lease.
func (t *Table) addConfirmed(now time.Duration, h *leaseRecord) {
	if t.tooNew[h.Instance] || h.ended || now >= h.confirmedUntil {
		return
	}
	heap.Push(&t.expiries, expiry{at: h.confirmedUntil, lease: h})
	if !h.isConfirmed {
		h.isConfirmed = true
		t.confirmedCount++
	}
}

func (t *Table) removeConfirmed(h *leaseRecord) {
	if h.isConfirmed {
		h.isConfirmed = false
		t.confirmedCount--
	}
}

// updateConfirmed computes until when the holder certainly has a lease. The reply
// to renewal n grants a lease from when n was sent. The holder sent n after it had
// received the reply to the renewal that n names as answered, and therefore after
// that renewal had arrived here.
func (h *leaseRecord) updateConfirmed(now, duration time.Duration) {
	recent := append(slices.Clone(h.newestRenewals), receivedRenewal{sequence: h.Sequence, answered: h.Answered, at: now})
	h.newestRenewals = recent[max(0, len(recent)-maxNewestRenewals):]
	if n, ok := h.findRenewal(h.Answered); ok {
		if before, ok := h.findRenewal(n.answered); ok {
			h.confirmedUntil = max(h.confirmedUntil, before.at+duration)
		}
	}
}

func (h *leaseRecord) findRenewal(sequence uint64) (receivedRenewal, bool) {
	for _, r := range h.newestRenewals {
		if r.sequence == sequence {
			return r, true
		}
	}
	return receivedRenewal{}, false
}

// Boot returns the process that may hold the instance's lease, if this leader has
// heard from it.
func (t *Table) Boot(id model.InstanceID) (string, bool) {
	h, ok := t.records[id]
	if !ok || !h.heardFrom || h.ended {
		return "", false
	}
	return h.Boot, true
}

// Return ends the lease of a holder that returned it.
func (t *Table) Return(now time.Duration, id model.InstanceID) {
	t.update(now)
	if h, ok := t.records[id]; ok {
		t.removeConfirmed(h)
		delete(t.records, id)
		delete(t.tooNew, id)
	}
	t.update(now)
}

// Forget removes an instance whose lease has ended.
func (t *Table) Forget(now time.Duration, id model.InstanceID) {
	if h, ok := t.records[id]; ok && h.ended {
		t.Return(now, id)
	}
}

func (h *leaseRecord) mayBeInUse(now, lifetime time.Duration) bool {
	return !h.ended && now < h.received+lifetime
}

// update updates the conditions on the number of confirmed leases and starts to
// count instances that have been known for long enough.
func (t *Table) update(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		if h := heap.Pop(&t.expiries).(expiry).lease; h.confirmedUntil <= now {
			t.removeConfirmed(h)
		}
	}
	t.setConditions(now)
	for id := range t.tooNew {
		if h := t.records[id]; t.halfOfOldEnough.heldFor(now, h.joined, t.lifetime) {
			delete(t.tooNew, id)
			t.addConfirmed(now, h)
		}
	}
	t.setConditions(now)
}

func (t *Table) setConditions(now time.Duration) {
	t.halfOfAll.set(now, 2*t.confirmedCount >= len(t.records))
	t.halfOfOldEnough.set(now, 2*t.confirmedCount >= len(t.records)-len(t.tooNew))
}

// EndExpired returns the holders whose leases have certainly ended since the last
// call, in order.
func (t *Table) EndExpired(now time.Duration) []model.InstanceID {
	t.update(now)
	if !t.halfOfAll.heldFor(now, 0, t.lifetime) {
		return nil
	}
	var ended []model.InstanceID
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		h := t.records[id]
		if !h.ended && !h.mayBeInUse(now, t.lifetime) {
			h.ended = true
			t.removeConfirmed(h)
			ended = append(ended, id)
		}
	}
	return ended
}

// Ended returns the instances whose leases have certainly ended, in order.
func (t *Table) Ended() []model.InstanceID {
	var ids []model.InstanceID
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		if t.records[id].ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// InForce returns the holders that have acknowledged revision, and those that
// may be using an older one, both in order.
func (t *Table) InForce(revision model.Revision) (acknowledged, missing []model.InstanceID) {
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		h := t.records[id]
		switch {
		case h.ended:
		case h.heardFrom && h.Revision >= revision:
			acknowledged = append(acknowledged, id)
		default:
			missing = append(missing, id)
		}
	}
	return acknowledged, missing
}

// Lease is one lease as seen by the leader.
type Lease struct {
	Instance model.InstanceID
	// Left is how long the holder may still use it; 0 if it has expired.
	Left     time.Duration
	Revision model.Revision
}

// Leases returns the leases that have not certainly ended, in order.
func (t *Table) Leases(now time.Duration) []Lease {
	var leases []Lease
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		h := t.records[id]
		if !h.ended {
			left := max(0, h.received+t.lifetime-now)
			leases = append(leases, Lease{Instance: id, Left: left, Revision: h.Revision})
		}
	}
	return leases
}

package queue

import (
	"cmp"
	"slices"
	"time"
)

// maxPlanned bounds the requests that are considered to be served in the order of their
// objectives, since each is compared with those before it.
const maxPlanned = 64

// ordered returns the waiting tickets and another one, which may be nil, in the order in
// which they start.
func (q *Queue) ordered(now time.Duration, other *Ticket) []*Ticket {
	tickets := slices.Clone(q.waiting)
	if other != nil {
		tickets = append(tickets, other)
	}
	for _, t := range tickets {
		t.work = q.work.of(&t.Request)
	}
	slices.SortStableFunc(tickets, func(a, b *Ticket) int { return cmp.Or(compareClass(a, b, now), compareTime(a, b, now)) })
	if q.shares.active {
		tagger := q.shares.tagger()
		for _, t := range tickets {
			t.tag = tagger.tag(t, t.work.mean)
		}
		slices.SortStableFunc(tickets, func(a, b *Ticket) int {
			return cmp.Or(compareClass(a, b, now), cmp.Compare(a.tag, b.tag))
		})
	}
	return q.plan(now, tickets)
}

// plan moves the tickets to the front that can all meet their objectives, in the order of
// their objectives. Tickets are added in the order given, each only if all before it still
// meet theirs, and none after one of higher priority that was not added.
func (q *Queue) plan(now time.Duration, tickets []*Ticket) []*Ticket {
	owed := 0
	for owed < len(tickets) && tickets[owed].owed {
		owed++
	}
	var planned, rest []*Ticket
	for i, t := range tickets[owed:] {
		overtakes := len(rest) > 0 && rest[len(rest)-1].Priority < t.Priority
		if overtakes || t.late(now) || i >= maxPlanned || !q.fits(now, tickets[:owed], planned, t) {
			rest = append(rest, t)
			continue
		}
		planned = slices.Insert(planned, position(planned, t), t)
	}
	return slices.Concat(tickets[:owed], planned, rest)
}

// position returns where a ticket belongs among those ordered by their objectives.
func position(planned []*Ticket, t *Ticket) int {
	i, _ := slices.BinarySearchFunc(planned, t, func(other, t *Ticket) int {
		return cmp.Or(cmp.Compare(other.OnTimeStart, t.OnTimeStart), cmp.Compare(other.Arrived, t.Arrived), -1)
	})
	return i
}

// fits reports whether a ticket can be added to the planned ones such that all meet their
// objectives, by the tail of the work ahead of them.
func (q *Queue) fits(now time.Duration, owed, planned []*Ticket, t *Ticket) bool {
	ahead := q.running()
	for _, other := range owed {
		ahead.add(other.work)
	}
	meets := func(t *Ticket) bool {
		_, tail := ahead.wait(q.limit)
		ahead.add(t.work)
		return now+tail <= t.OnTimeStart
	}
	at := position(planned, t)
	for _, other := range planned[:at] {
		ahead.add(other.work)
	}
	if !meets(t) {
		return false
	}
	for _, other := range planned[at:] {
		if !meets(other) {
			return false
		}
	}
	return true
}

// compareClass orders tickets that are owed a start first, then by priority, then those
// that can still meet their objective before those that are late already.
func compareClass(a, b *Ticket, now time.Duration) int {
	return cmp.Or(compareFlags(b.owed, a.owed), cmp.Compare(a.Priority, b.Priority), compareFlags(a.late(now), b.late(now)))
}

// compareTime orders tickets of one class. Those that can still meet their objective are
// ordered by OnTimeStart, late ones by LatestStart; on a tie the one that arrived first
// comes first.
func compareTime(a, b *Ticket, now time.Duration) int {
	if a.late(now) {
		return cmp.Or(cmp.Compare(a.LatestStart, b.LatestStart), cmp.Compare(a.Arrived, b.Arrived))
	}
	return cmp.Or(cmp.Compare(a.OnTimeStart, b.OnTimeStart), cmp.Compare(a.Arrived, b.Arrived))
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

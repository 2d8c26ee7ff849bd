package queue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// fairnessQuantum is the difference of received work, in nanoseconds, below which accounts
// count as equal. Within it, remaining time decides: without it, requests of an account
// that sends the most missed their objectives though all could have met them.
const fairnessQuantum = float64(50 * time.Millisecond)

// ordered returns the waiting tickets and another one, which may be nil, in the order in
// which they start.
func (q *Queue) ordered(now time.Duration, other *Ticket) []*Ticket {
	tickets := slices.Clone(q.waiting)
	if other != nil {
		tickets = append(tickets, other)
	}
	slices.SortStableFunc(tickets, func(a, b *Ticket) int { return cmp.Or(compareClass(a, b, now), compareTime(a, b, now)) })
	if !q.shares.active {
		return tickets
	}
	tagger := q.shares.tagger()
	for _, t := range tickets {
		t.tag = math.Floor(tagger.tag(t, q.work.of(&t.Request).mean) / fairnessQuantum)
	}
	slices.SortStableFunc(tickets, func(a, b *Ticket) int {
		return cmp.Or(compareClass(a, b, now), cmp.Compare(a.tag, b.tag))
	})
	return tickets
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

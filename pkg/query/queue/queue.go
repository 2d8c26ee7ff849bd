// Package queue schedules queries when more arrive than an instance's
// connections can carry: it starts them in order, and refuses those that cannot
// be served in time right away. It does no I/O and does not block; its user,
// pkg/dispatch, waits on the tickets.
//
// A query counts as starting from its start until Release. The user calls Release
// once enough of the query's parts have arrived that many of its connections are
// free again, or once it has ended. Only a limited number of queries may be
// starting at a time.
//
// It is meant for bursts, for example after a power loss, when a hundred queries
// compete for the same few connections to each shard. If all start at once, each
// gets some shards, all finish late together, and many exceed their deadlines.
// If a few start at a time, the first finish early, and targets do not work on
// parts that no caller waits for any more.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// startDurationWeight is the weight of a sample in the moving average of start
// durations.
const startDurationWeight = 0.2

// Query is a query to be scheduled. All times are on one clock, that of the user
// of the queue.
type Query struct {
	Arrived time.Duration
	// OnTimeStart is the latest start at which the query meets its latency
	// objective, and LatestStart the latest one at which it meets its deadline.
	OnTimeStart, LatestStart time.Duration
	// Priority 0 is the highest.
	Priority int
}

// Ticket is a query in the queue.
type Ticket struct {
	Query
	// Decided is closed when the query is started or refused; Refused tells which.
	Decided chan struct{}
	Refused bool
}

// Queue schedules the queries over one set of shards. It is not safe for
// concurrent use: its user guards it with a lock. A ticket's Decided may be received
// from without the lock; Refused may be read without it once Decided is closed.
type Queue struct {
	starting int
	waiting  []*Ticket
	// meanStartDuration is the moving average of the time that a query counts as
	// starting.
	meanStartDuration time.Duration
}

// Enqueue adds a query. limit is how many queries may be starting at a time. The
// ticket is decided at once if there is room, or if the query would start too
// late. wait is the expected wait.
func (q *Queue) Enqueue(now time.Duration, limit int, query Query) (t *Ticket, wait time.Duration) {
	t = &Ticket{Query: query, Decided: make(chan struct{})}
	if q.starting < limit && len(q.waiting) == 0 {
		q.start(t)
		return t, 0
	}
	wait = q.expectedWait(t, now, limit)
	if now+wait > query.LatestStart {
		t.refuse()
		return t, wait
	}
	q.waiting = append(q.waiting, t)
	return t, wait
}

// expectedWait returns the expected wait of a ticket.
func (q *Queue) expectedWait(t *Ticket, now time.Duration, limit int) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if startsNoLater(other, t, now) {
			ahead++
		}
	}
	return time.Duration(float64(q.meanStartDuration) * float64(ahead+1) / float64(max(1, limit)))
}

// Release records that a query no longer counts as starting, after it did for
// startDuration. It refuses the waiting queries that are too late and starts
// the next ones.
func (q *Queue) Release(now, startDuration time.Duration, limit int) {
	q.starting--
	if q.meanStartDuration == 0 {
		q.meanStartDuration = startDuration
	}
	q.meanStartDuration += time.Duration(startDurationWeight * float64(startDuration-q.meanStartDuration))
	q.refuseExpired(now)
	for q.starting < limit && len(q.waiting) > 0 {
		first := slices.MinFunc(q.waiting, func(a, b *Ticket) int { return compare(a, b, now) })
		q.remove(first)
		q.start(first)
	}
}

// Abandon refuses a waiting ticket. It has no effect on a decided one.
func (q *Queue) Abandon(t *Ticket) {
	if slices.Contains(q.waiting, t) {
		q.remove(t)
		t.refuse()
	}
}

// Waiting returns the number of waiting queries.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Starting returns the number of queries that count as starting.
func (q *Queue) Starting() int { return q.starting }

// refuseExpired refuses the waiting queries whose latest start has passed.
func (q *Queue) refuseExpired(now time.Duration) {
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if now <= t.LatestStart {
			return false
		}
		t.refuse()
		return true
	})
}

func (q *Queue) start(t *Ticket) {
	q.starting++
	close(t.Decided)
}

func (q *Queue) remove(t *Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Ticket) bool { return other == t })
}

func (t *Ticket) refuse() {
	t.Refused = true
	close(t.Decided)
}

// compare orders tickets by priority, then puts those that can still meet their
// objective before those that are late already. Queries that can still meet their
// objective are ordered by OnTimeStart, late ones by LatestStart; on a tie the one
// that arrived first comes first.
func compare(a, b *Ticket, now time.Duration) int {
	aLate, bLate := now > a.OnTimeStart, now > b.OnTimeStart
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case aLate != bLate && bLate:
		return -1
	case aLate != bLate:
		return 1
	case aLate:
		return cmp.Or(cmp.Compare(a.LatestStart, b.LatestStart), cmp.Compare(a.Arrived, b.Arrived))
	}
	return cmp.Or(cmp.Compare(a.OnTimeStart, b.OnTimeStart), cmp.Compare(a.Arrived, b.Arrived))
}

func startsNoLater(a, b *Ticket, now time.Duration) bool { return compare(a, b, now) <= 0 }

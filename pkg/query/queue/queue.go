// Package queue decides which queries start when more come than the connections
// of an instance carry: they start in order, and those that cannot be served in
// time are refused at once. It is pure; the caller does the waiting.
//
// It answers this load: after a loss of power, or when many users come at once,
// a hundred queries want the same few connections to each shard. If all are
// started, each gets some shards, all end together after the last one's time,
// and many have waited for nothing. Started a few at a time, the first are done
// early, and the targets work on no parts that nobody waits for.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// startDurationWeight is the weight of one start's duration in their mean.
const startDurationWeight = 0.2

// Query is a query that wants to start. Times are on the caller's clock.
type Query struct {
	Arrived time.Duration
	// OnTimeStart is when the query has to start to be answered within its objective,
	// and Latest when it has to start to be answered at all.
	OnTimeStart, LatestStart time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
}

// Ticket is a query in the queue.
type Ticket struct {
	Query
	// Decided is closed once the query was started or refused; Refused says which.
	Decided chan struct{}
	Refused bool
}

// Queue holds the queries over one set of shards. It is not safe for concurrent
// use; Decided and Refused may be read without the caller's lock once Decided is
// closed.
type Queue struct {
	starting int
	waiting  []*Ticket
	// meanStartDuration is the mean time for which a query is starting.
	meanStartDuration time.Duration
}

// Enqueue takes a query in. Limit is how many may be starting at a time. The
// ticket is decided at once if there is room, or if the wait would be too long;
// wait is the expected one.
func (q *Queue) Enqueue(now time.Duration, limit int, query Query) (t *Ticket, wait time.Duration) {
	t = &Ticket{Query: query, Decided: make(chan struct{})}
	if q.starting < limit && len(q.waiting) == 0 {
		q.start(t)
		return t, 0
	}
	wait = q.waitFor(t, now, limit)
	if now+wait > query.LatestStart {
		t.refuse()
		return t, wait
	}
	q.waiting = append(q.waiting, t)
	return t, wait
}

// waitFor returns how long a ticket is expected to wait.
func (q *Queue) waitFor(t *Ticket, now time.Duration, limit int) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if startsBefore(other, t, now) {
			ahead++
		}
	}
	return time.Duration(float64(q.meanStartDuration) * float64(ahead+1) / float64(max(1, limit)))
}

// Release notes that a query is starting no more, after it was for a time, and
// decides about those that wait.
func (q *Queue) Release(now, held time.Duration, limit int) {
	q.starting--
	if q.meanStartDuration == 0 {
		q.meanStartDuration = held
	}
	q.meanStartDuration += time.Duration(startDurationWeight * float64(held-q.meanStartDuration))
	q.refuseExpired(now)
	for q.starting < limit && len(q.waiting) > 0 {
		first := slices.MinFunc(q.waiting, func(a, b *Ticket) int { return compare(a, b, now) })
		q.remove(first)
		q.start(first)
	}
}

// Abandon refuses a ticket that still waits. One that was decided stays so.
func (q *Queue) Abandon(t *Ticket) {
	if slices.Contains(q.waiting, t) {
		q.remove(t)
		t.refuse()
	}
}

// Waiting returns the number of queries that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Starting returns the number of queries that are starting.
func (q *Queue) Starting() int { return q.starting }

// refuseExpired refuses those for which it is too late.
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

// compare orders tickets: by rank, then those that can still be in time before
// those that are late anyway, and among either those whose time ends first.
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

func startsBefore(a, b *Ticket, now time.Duration) bool { return compare(a, b, now) <= 0 }

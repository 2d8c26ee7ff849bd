// Package queue schedules requests when more arrive than an instance's connections
// can carry: it starts them in order, and refuses those that cannot be served in time
// right away. It does no I/O and does not block; its user, pkg/dispatch, waits on the
// tickets. docs/design/scheduling.md states the rules.
//
// A query over shards waits for one of a limited number of places (Enqueue), which it
// holds from its start until Release. The user calls Release once enough of the
// query's parts have arrived that many of its connections are free again, or once it
// has ended. A call to one target waits for a connection, and its user finds out
// whether one is free (Wait, Next, Start).
//
// It is meant for bursts, for example after a power loss, when a hundred queries
// compete for the same few connections to each shard. If all start at once, each
// gets some shards, all finish late together, and many exceed their deadlines.
// If a few start at a time, the first finish early, and targets do not work on
// parts that no caller waits for any more.
package queue

import (
	"slices"
	"time"
)

// EarlyRefusalMargin is the time before RefuseBy in which Reconsider should be called.
const EarlyRefusalMargin = 2 * time.Millisecond

// maxRetrySpread bounds how much later than the expected wait a refused request is told
// to return: callers do not wait for long, and some never return.
const maxRetrySpread = 400 * time.Millisecond

// Queue schedules the requests to one set of shards or one service. It is not safe for
// concurrent use: its user guards it with a lock. A ticket's Decided may be received
// from without the lock; Refused and RetryAfter may be read without it once Decided is
// closed.
type Queue struct {
	// MinRetryAfter is the minimum time after which a refused request returns.
	MinRetryAfter time.Duration

	limit    int
	starting int
	// charged is the work of the starting requests as expected when they started.
	charged float64
	waiting []*Ticket
	work    workByKind
	shares  shares
	credits credits
	// nextRetry is the next time at which a refused request is told to return.
	nextRetry time.Duration
}

// Enqueue adds a request. limit is how many may be starting at a time. The ticket is
// decided at once if there is room, or if the request would start too late. wait is the
// expected wait.
func (q *Queue) Enqueue(now time.Duration, limit int, r Request) (t *Ticket, wait time.Duration) {
	t = q.newTicket(limit, r)
	if q.starting < limit && len(q.waiting) == 0 {
		q.begin(t, now)
		return t, 0
	}
	return t, q.admit(t, now)
}

// Wait adds a request that waits for one of so many connections, at most until RefuseBy
// if that is set. The ticket is refused at once if the request would start too late, or if
// those before it alone need the connections for longer than it waits; it starts by Start.
// wait is the expected wait.
func (q *Queue) Wait(now time.Duration, connections int, r Request) (t *Ticket, wait time.Duration) {
	t = q.newTicket(connections, r)
	before, _ := q.before(t, now).wait(connections)
	if r.RefuseBy > 0 && now+before > r.RefuseBy {
		wait = q.expectedWait(t, now)
		q.refuse(t, now, wait)
		return t, wait
	}
	return t, q.admit(t, now)
}

// Pass records a request that starts without having waited, and returns its ticket.
func (q *Queue) Pass(now time.Duration, connections int, r Request) *Ticket {
	t := q.newTicket(connections, r)
	q.begin(t, now)
	return t
}

func (q *Queue) newTicket(limit int, r Request) *Ticket {
	q.limit = limit
	t := &Ticket{Request: r, Decided: make(chan struct{}), arrivedVirtual: q.shares.arrive(&r)}
	t.owed = q.credits.arrive(&t.Request)
	return t
}

// admit lets a ticket wait, or refuses it. It returns the expected wait.
func (q *Queue) admit(t *Ticket, now time.Duration) time.Duration {
	wait := q.expectedWait(t, now)
	if now+wait > t.LatestStart {
		q.refuse(t, now, wait)
		return wait
	}
	q.waiting = append(q.waiting, t)
	q.refuseLate(now)
	return wait
}

// expectedWait returns the mean wait of a ticket that is not waiting yet. Refusals go by
// the mean: by the tail, most of the requests refused would have been served.
func (q *Queue) expectedWait(t *Ticket, now time.Duration) time.Duration {
	ahead := q.running()
	before := q.before(t, now)
	ahead.add(work{mean: before.mean})
	wait, _ := ahead.wait(q.limit)
	return wait
}

// before is the work of the waiting requests that start before a ticket that is not
// waiting yet.
func (q *Queue) before(t *Ticket, now time.Duration) *backlog {
	b := &backlog{}
	for _, other := range q.ordered(now, t) {
		if other == t {
			break
		}
		b.add(other.work)
	}
	return b
}

// running is the work ahead of the first waiting request: one of those that are running
// has to end, unless there is room already.
func (q *Queue) running() backlog {
	var b backlog
	if q.starting >= q.limit {
		b.add(work{mean: q.charged / float64(q.starting)})
	}
	return b
}

// refuseLate refuses the waiting requests whose latest start has passed. While they may
// be refused early, it also refuses those that are expected to start too late for their
// deadline, and, at the end of that time, for their objective: they are told when to
// return, and find room then.
func (q *Queue) refuseLate(now time.Duration) {
	ahead := q.running()
	for _, t := range q.ordered(now, nil) {
		wait, _ := ahead.wait(q.limit)
		mayRefuse := t.RefuseBy > 0 && now <= t.RefuseBy
		early := mayRefuse && now+wait > t.LatestStart
		lastChance := mayRefuse && now >= t.RefuseBy-EarlyRefusalMargin && now+wait > t.OnTimeStart
		if now > t.LatestStart || early || lastChance {
			q.remove(t)
			q.refuse(t, now, wait)
			continue
		}
		ahead.add(t.work)
	}
}

// Release records that a started request no longer counts as starting. It refuses the
// waiting requests that are too late and starts the next ones.
func (q *Queue) Release(t *Ticket, now time.Duration, limit int) {
	q.end(t, now, limit)
	for q.starting < limit && len(q.waiting) > 0 {
		q.Start(q.ordered(now, nil)[0], now)
	}
}

// End records that a request which had waited for a connection has ended. The next one
// starts once its user finds a connection.
func (q *Queue) End(t *Ticket, now time.Duration, connections int) { q.end(t, now, connections) }

func (q *Queue) end(t *Ticket, now time.Duration, limit int) {
	q.limit = limit
	q.starting--
	q.charged -= t.charged
	duration := now - t.startedAt
	q.shares.correct(&t.Request, float64(duration)-t.charged)
	q.work.add(now, t.Kind, duration)
	q.refuseLate(now)
}

// Reconsider refuses the waiting requests that are too late, or are expected to be.
func (q *Queue) Reconsider(now time.Duration) { q.refuseLate(now) }

// RetryAfter returns when a request should return that was refused for another reason
// than the length of the queue, and could be served after a time.
func (q *Queue) RetryAfter(now, after time.Duration) time.Duration { return q.takeRetry(now, after) }

// Next returns the waiting ticket after another one in the order in which they start, or
// the first one if the other is nil or no longer waits; nil if there is none.
func (q *Queue) Next(now time.Duration, after *Ticket) *Ticket {
	tickets := q.ordered(now, nil)
	if i := slices.Index(tickets, after) + 1; i < len(tickets) {
		return tickets[i]
	}
	return nil
}

// Start starts a waiting ticket. It returns false if the ticket is decided already.
func (q *Queue) Start(t *Ticket, now time.Duration) bool {
	if !q.remove(t) {
		return false
	}
	q.begin(t, now)
	return true
}

// Abandon refuses a waiting ticket. It has no effect on a decided one.
func (q *Queue) Abandon(t *Ticket, now time.Duration) {
	if q.remove(t) {
		q.refuse(t, now, q.expectedWait(t, now))
	}
}

// Withdraw removes a waiting ticket without deciding it.
func (q *Queue) Withdraw(t *Ticket) {
	if q.remove(t) && t.owed {
		q.credits.add(&t.Request, 1)
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Starting returns the number of requests that count as starting.
func (q *Queue) Starting() int { return q.starting }

// Work returns the mean work of a request, and how long ago its kind's was learned; the
// age is 0 if it was not.
func (q *Queue) Work(r *Request, now time.Duration) (mean, age time.Duration) {
	w := q.work.of(r)
	if w.known {
		age = now - w.learnedAt
	}
	return time.Duration(w.mean), age
}

func (q *Queue) begin(t *Ticket, now time.Duration) {
	q.starting++
	t.startedAt, t.charged = now, q.work.of(&t.Request).mean
	q.charged += t.charged
	q.shares.charge(t, t.charged)
	q.credits.decide(&t.Request, true, t.owed)
	close(t.Decided)
}

// remove removes a ticket and reports whether it was waiting.
func (q *Queue) remove(t *Ticket) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Ticket) bool { return other == t })
	return len(q.waiting) < before
}

func (q *Queue) refuse(t *Ticket, now, wait time.Duration) {
	q.credits.decide(&t.Request, false, t.owed)
	t.Refused, t.RetryAfter = true, q.takeRetry(now, wait)
	close(t.Decided)
}

// takeRetry returns when a refused request should return. Each gets a time one mean
// start after the one before, so that they return in the order of their refusals and
// find room.
func (q *Queue) takeRetry(now, wait time.Duration) time.Duration {
	wait = max(wait, q.MinRetryAfter)
	at := min(max(now+wait, q.nextRetry), now+wait+maxRetrySpread)
	q.nextRetry = at + time.Duration(q.work.all.mean)/time.Duration(max(1, q.limit))
	return at - now
}

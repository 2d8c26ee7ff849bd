package dispatch

import (
	"context"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/queue"
)

const (
	// minStarting is the minimum limit of queries that are starting at a time (see
	// startQueue).
	minStarting = 2
	// startReleaseShare is the share of its parts with which a query lets the next
	// one start: many of its connections are free again by then.
	startReleaseShare = 0.5
	// minRunFactor is the minimum time that a query takes, in usual latencies.
	minRunFactor = 1.5
)

// startQueue is a queue of queries that wait to start. Routes with the same first
// shard share a queue. A query is starting from when it leaves the queue until
// startReleaseShare of its parts have arrived, or it has ended.
type startQueue struct {
	mu    sync.Mutex
	queue queue.Queue
}

// startQueueOf returns the queue for a query's shards. Routes with the same first
// shard share a queue.
func (e *Engine) startQueueOf(shards []model.ServiceID) *startQueue {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.startQueues[shards[0]]
	if s == nil {
		s = &startQueue{queue: queue.Queue{MinRetryAfter: minRetryAfter}}
		e.startQueues[shards[0]] = s
	}
	return s
}

// maxStarting returns how many queries may be starting at a time, so that each has a
// connection to every shard.
func (q *query) maxStarting() int {
	services := q.engine.current().services
	least := 0
	for i, s := range q.call.Route.Fanout.Shards {
		if n := services[s].maxConnections; i == 0 || n < least {
			least = n
		}
	}
	return max(minStarting, least)
}

// schedule returns the query as the queue sees it.
func (q *query) schedule(now time.Duration) queue.Request {
	minDuration := time.Duration(minRunFactor * float64(q.plan.UsualLatency))
	return queue.Request{
		Arrived: now - time.Since(q.call.Arrived), OnTimeStart: q.plan.ObjectiveEnd - minDuration, LatestStart: q.plan.Deadline - minDuration,
		RefuseBy: q.engine.refuseBy(q.call, now), Priority: q.call.Priority, Kind: q.call.kind(),
		Work: q.plan.UsualLatency, Caller: q.call.Caller,
	}
}

// awaitStart waits until the query may start. It returns an error if the query cannot
// be answered in time, or must not be served any more after its wait, and the former if
// the caller disconnects; no request has been sent then.
func (q *query) awaitStart(ctx context.Context) *failure.Error {
	s, limit, now := q.engine.startQueueOf(q.call.Route.Fanout.Shards), q.maxStarting(), q.engine.now()
	s.mu.Lock()
	waiting := s.queue.Waiting()
	ticket, wait := s.queue.Enqueue(now, limit, q.schedule(now))
	work, workAge := s.queue.Work(&ticket.Request, now)
	s.mu.Unlock()
	s.await(ctx, q.engine, ticket, now)
	observeWait(ticket.Priority, q.engine.now()-now)
	if ticket.Refused {
		q.trace.deferEvent(events.RefusedByScheduler, q.call.Request.ID, q.call.Route.Name, ticket.Priority, (q.engine.now() - now).Milliseconds(),
			wait.Milliseconds(), waiting, limit, work.Microseconds(), workAge.Milliseconds(), ticket.RetryAfter.Milliseconds())
		return newRefusal(failure.Overloaded, failure.NotRun, "wait to start", "", ticket.RetryAfter,
			"%d queries are ahead, expected wait %s", waiting, wait.Round(time.Millisecond))
	}
	q.startQueue, q.startTicket, q.startLimit = s, ticket, limit
	if waited := q.engine.now() - now; waited >= time.Millisecond && q.engine.logLimiters.progress.Allow() {
		events.Emit(events.CallQueued, q.call.Request.ID, q.call.Route.Name, waited.Milliseconds(), waiting, limit)
	}
	err := q.engine.checkAfterWait(q.call)
	if err != nil {
		q.releaseStart(true)
	}
	return err
}

// await waits until a ticket is decided. It refuses the ticket once its latest start has
// passed or the caller has disconnected, and has the queue reconsider it when it may soon
// no longer be refused early.
func (s *startQueue) await(ctx context.Context, e *Engine, t *queue.Ticket, now time.Duration) {
	latest := time.NewTimer(max(0, t.LatestStart-now))
	defer latest.Stop()
	early := time.NewTimer(max(0, t.RefuseBy-queue.EarlyRefusalMargin-now))
	defer early.Stop()
	for {
		select {
		case <-t.Decided:
			return
		case <-early.C:
			s.mu.Lock()
			s.queue.Reconsider(e.now())
			s.mu.Unlock()
		case <-ctx.Done():
			s.abandon(t, e.now())
		case <-latest.C:
			s.abandon(t, e.now())
		}
	}
}

// retryAfter returns the Retry-After time of a query that could be served after a time.
func (s *startQueue) retryAfter(now, after time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.RetryAfter(now, after)
}

// abandon refuses a ticket, unless it was started in the meantime.
func (s *startQueue) abandon(t *queue.Ticket, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Abandon(t, now)
}

// releaseStart lets the next query start once this one has startReleaseShare of
// its parts, or has ended.
func (q *query) releaseStart(ended bool) {
	if q.startQueue == nil || !ended && float64(q.run.Parts()) < startReleaseShare*float64(len(q.sentByShard)) {
		return
	}
	q.startQueue.mu.Lock()
	q.startQueue.queue.Release(q.startTicket, q.engine.now(), q.startLimit)
	q.startQueue.mu.Unlock()
	q.startQueue = nil
}

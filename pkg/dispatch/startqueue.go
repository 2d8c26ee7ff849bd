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
		s = &startQueue{}
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

// awaitStart waits until the query may start. It returns an error if the query cannot
// be answered in time or may no longer run, and the former if the caller
// disconnects; no request has been sent then.
func (q *query) awaitStart(ctx context.Context) *failure.Error {
	s, limit, now := q.engine.startQueueOf(q.call.Route.Fanout.Shards), q.maxStarting(), q.engine.now()
	minDuration := time.Duration(minRunFactor * float64(q.plan.UsualLatency))
	s.mu.Lock()
	waiting := s.queue.Waiting()
	ticket, wait := s.queue.Enqueue(now, limit, queue.Query{
		Arrived: now - time.Since(q.call.Arrived), OnTimeStart: q.plan.ObjectiveEnd - minDuration, LatestStart: q.plan.Deadline - minDuration,
		Priority: q.call.Priority,
	})
	s.mu.Unlock()
	latest := time.NewTimer(max(0, ticket.LatestStart-now))
	defer latest.Stop()
	select {
	case <-ticket.Decided:
	case <-ctx.Done():
		s.abandon(ticket)
	case <-latest.C:
		s.abandon(ticket)
	}
	if ticket.Refused {
		return newRefusal(failure.Overloaded, failure.NotRun, "wait to start", "", max(wait, refusedRetryAfter),
			"%d queries are ahead, expected wait %s", waiting, wait.Round(time.Millisecond))
	}
	q.startQueue, q.leftQueueAt, q.startLimit = s, q.engine.now(), limit
	if waited := q.leftQueueAt - now; waited >= time.Millisecond && q.engine.logLimiters.progress.Allow() {
		events.Emit(events.CallQueued, q.call.Request.ID, q.call.Route.Name, waited.Milliseconds(), waiting, limit)
	}
	// The request may have been quarantined, or its key revoked, while it waited.
	err := refuseQuarantined(q.call, q.engine.current())
	if err == nil {
		err = q.call.recheck()
	}
	if err != nil {
		q.releaseStart(true)
	}
	return err
}

// abandon refuses a ticket, unless it was started in the meantime.
func (s *startQueue) abandon(t *queue.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Abandon(t)
}

// releaseStart lets the next query start once this one has startReleaseShare of
// its parts, or has ended.
func (q *query) releaseStart(ended bool) {
	if q.startQueue == nil || !ended && float64(q.run.Parts()) < startReleaseShare*float64(len(q.sentByShard)) {
		return
	}
	now := q.engine.now()
	q.startQueue.mu.Lock()
	q.startQueue.queue.Release(now, now-q.leftQueueAt, q.startLimit)
	q.startQueue.mu.Unlock()
	q.startQueue = nil
}

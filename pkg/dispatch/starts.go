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
	// minStarting is the least number of queries that may be starting at a time.
	minStarting = 2
	// startedShare is the share of a query's parts with which it is starting no
	// more: most of its connections are free again.
	startedShare = 0.5
	// runFactor is the time that a query takes at least, in usual latencies.
	runFactor = 1.5
)

// gate holds the queries over one set of shards that wait to start.
type gate struct {
	mu    sync.Mutex
	queue queue.Queue
}

// gate returns that of a query's shards. Routes over the same shards share one.
func (e *Engine) gate(shards []model.ServiceID) *gate {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.gates[shards[0]]
	if g == nil {
		g = &gate{}
		e.gates[shards[0]] = g
	}
	return g
}

// startLimit is how many queries have a connection to every shard at a time.
func (q *query) startLimit() int {
	services := q.call.page.services
	least := 0
	for i, s := range q.call.Route.Fanout.Shards {
		if n := services[s].connections; i == 0 || n < least {
			least = n
		}
	}
	return max(minStarting, least)
}

// start waits until the query may start. An error means that it cannot be served
// in time; nothing has been sent then.
func (q *query) start(ctx context.Context) *failure.Error {
	g, limit, now := q.engine.gate(q.call.Route.Fanout.Shards), q.startLimit(), q.engine.now()
	run := time.Duration(runFactor * float64(q.plan.UsualLatency))
	g.mu.Lock()
	waiting := g.queue.Waiting()
	ticket, wait := g.queue.Enqueue(now, limit, queue.Query{
		Arrived: now - time.Since(q.call.Arrived), OnTimeStart: q.plan.ObjectiveEnd - run, LatestStart: q.plan.Deadline - run,
		Priority: q.call.Route.Priority,
	})
	g.mu.Unlock()
	latest := time.NewTimer(max(0, ticket.LatestStart-now))
	defer latest.Stop()
	select {
	case <-ticket.Decided:
	case <-ctx.Done():
		g.abandon(ticket)
	case <-latest.C:
		g.abandon(ticket)
	}
	if ticket.Refused {
		return refuse(failure.Overloaded, failure.NotRun, "wait to start", "", max(wait, refusedRetryAfter),
			"%d queries wait before it, for %s by expectation", waiting, wait.Round(time.Millisecond))
	}
	q.gate, q.startedAt, q.limit = g, q.engine.now(), limit
	if waited := q.startedAt - now; waited >= time.Millisecond && q.engine.lines.extra.Allow() {
		events.Emit(events.CallQueued, q.call.Request.ID, q.call.Route.Name, waited.Milliseconds(), waiting, limit)
	}
	return nil
}

// abandon refuses a ticket, unless it was started meanwhile.
func (g *gate) abandon(t *queue.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Abandon(t)
}

// leaveGate lets the next query start once this one has most of its parts, or has
// ended.
func (q *query) leaveGate(ended bool) {
	if q.gate == nil || !ended && float64(q.run.Parts()) < startedShare*float64(len(q.sent)) {
		return
	}
	now := q.engine.now()
	q.gate.mu.Lock()
	q.gate.queue.Release(now, now-q.startedAt, q.limit)
	q.gate.mu.Unlock()
	q.gate = nil
}

package dispatch

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/gather"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/queue"
	"radishturn.example/radishturn/pkg/shutdown"
)

const (
	// answerMargin is the time from the decision to answer until the caller receives
	// the answer, including the network. answerMarginShare adds a share of the
	// objective for a busy processor.
	answerMargin      = 9 * time.Millisecond
	answerMarginShare = 0.05
	// deadlineMargin is how long before its timeout a call gives up, so that the
	// caller receives the answer in time. Targets may work until half of it before the
	// timeout.
	deadlineMargin = 40 * time.Millisecond
	// minPartSlack and partSlackShare are how long after the end of the objective a
	// target may still work on its part, the latter as a share of the objective.
	// The target then gives up by itself, so that the connection can be kept. Such
	// late parts still count while coverage is too low.
	minPartSlack   = 60 * time.Millisecond
	partSlackShare = 0.75
	// minPartTimeoutShare is the minimum timeout of a target's part, as a share of
	// the objective.
	minPartTimeoutShare = 0.12
	// lingerTime is how long an abandoned request may continue before its connection
	// is closed.
	lingerTime = 400 * time.Millisecond
	// callerGoneLinger is the linger time after the caller has disconnected.
	callerGoneLinger = 250 * time.Millisecond
	// minPartBound and partBoundFactor bound the part of one shard, the latter as a
	// multiple of the records in an answer. maxAnswerRecords bounds these.
	minPartBound     = 16 << 10
	partBoundFactor  = 8
	maxAnswerRecords = 1 << 16
	// noTargetRetryAfter is the Retry-After time while too few shards have a usable
	// target. A target takes about that long to restart.
	noTargetRetryAfter = 400 * time.Millisecond
)

// query is one call over many shards in progress.
type query struct {
	engine *Engine
	call   *Call
	run    *gather.Run
	plan   gather.Plan
	top    *gather.Top
	answer Answer
	// sentByShard holds the requests to each shard.
	sentByShard []sentRequests
	results     chan *sentRequest
	// shardWaits holds the waits for connections by shard, and freed the shards to which
	// one may be free.
	shardWaits map[int]*shardWait
	freed      chan int
	trace      Trace
	// lateLogged is set once it is logged that the objective has passed.
	lateLogged bool
	// disconnected are the requests during which the connection ended.
	disconnected sentRequests
	// startQueue is set while the query is starting; startTicket is its ticket, and
	// startLimit the limit of queries starting at a time that applied then.
	startQueue  *startQueue
	startTicket *queue.Ticket
	startLimit  int
}

// Query sends a call to one target of each shard and merges the parts of the answer.
func (e *Engine) Query(ctx context.Context, c *Call) Outcome {
	e.prepare(c)
	q := e.newQuery(c)
	if err := refuseQuarantined(c, e.current()); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	if err := refuseExpired(e.now(), q.plan.Deadline); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	if err := q.checkTargets(); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	if err := q.awaitStart(ctx); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	e.recordFirst(c.Route.Fanout.Shards...)
	e.logAdmitted(c, &q.trace)
	out := q.loop(ctx)
	q.leaveShards()
	q.releaseStart(true)
	for _, sent := range q.sentByShard {
		sent.release(nil)
	}
	e.checkCrashes(c, q.sentByShard...)
	return observe(c, out)
}

func (e *Engine) newQuery(c *Call) *query {
	f := c.Route.Fanout
	c.Request.MaxReplyBytes = maxPartBytes(f.MaxRecords)
	began := e.now() - time.Since(c.Arrived)
	timeout := min(c.Timeout, c.Route.Timeout)
	plan := gather.Plan{
		Deadline:     began + timeout - deadlineMargin,
		UsualLatency: c.stats.usual(),
		Required:     f.ShardsRequired(),
		MaxTargets:   c.Route.MaxAttempts,
	}
	plan.ObjectiveEnd = plan.Deadline
	if c.Route.Objective > 0 {
		plan.ObjectiveEnd = min(plan.Deadline, began+time.Duration((1-answerMarginShare)*float64(c.Route.Objective))-c.Elapsed-answerMargin)
	}
	return &query{
		engine: e, call: c, plan: plan,
		run:         gather.New(plan, len(f.Shards)),
		top:         gather.NewTop(f.MaxRecords),
		results:     make(chan *sentRequest, len(f.Shards)*gather.MaxSends),
		freed:       make(chan int, 2*len(f.Shards)),
		sentByShard: make([]sentRequests, len(f.Shards)),
		trace:       e.newTrace(c),
	}
}

// maxPartBytes bounds the part of one shard: a target has no use for many times the
// records that the answer holds.
func maxPartBytes(maxRecords int) int {
	records := min(max(maxRecords, 0), maxAnswerRecords)
	return max(minPartBound, partBoundFactor*records*gather.RecordBytes)
}

func (q *query) loop(ctx context.Context) Outcome {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.engine.now()
		q.sendDue(now)
		q.logLate(now)
		q.releaseStart(false)
		if err := q.recheckUnsent(); err != nil {
			q.abandon(0)
			return Outcome{Err: err, Trace: q.trace}
		}
		switch q.run.Decide(now) {
		case gather.Answer:
			return q.finish()
		case gather.TimedOut:
			return q.fail(lingerTime, failure.DeadlineExceeded, "gather parts")
		case gather.Unreachable:
			return q.fail(lingerTime, failure.NoTarget, "gather parts")
		}
		timer.Reset(max(0, q.run.NextCheck(now)-now))
		select {
		case <-ctx.Done():
			if shutdown.IsStopping(ctx) {
				return q.fail(0, failure.DeadlineExceeded, "gather parts")
			}
			// failure.Draining stands in for a disconnected caller, since there is no
			// code for it. Only the log and the metrics show it.
			return q.fail(callerGoneLinger, failure.Draining, "wait for the caller")
		case r := <-q.results:
			q.handleResult(r)
			q.handleQueuedResults()
		case i := <-q.freed:
			q.wakeShard(i)
		case <-timer.C:
			// After a delay of this process, replies may have arrived for requests that
			// seem overdue.
			q.handleQueuedResults()
		}
	}
}

// handleQueuedResults handles all results that are available, so that the loop
// decides once for all of them.
func (q *query) handleQueuedResults() {
	for {
		select {
		case r := <-q.results:
			q.handleResult(r)
		default:
			return
		}
	}
}

// sendDue sends the requests that are due.
func (q *query) sendDue(now time.Duration) {
	for _, i := range q.run.Due(now) {
		q.send(i, now)
	}
}

// send sends the request that is due to a shard, or has the query wait for a connection.
func (q *query) send(i int, now time.Duration) {
	if !q.trySend(i, now) {
		q.awaitShard(i, now)
	}
}

// trySend sends the request that is due to a shard, or records why it is not sent. It
// returns false if only a connection is missing.
func (q *query) trySend(i int, now time.Duration) bool {
	current, service := q.engine.current(), q.call.Route.Fanout.Shards[i]
	chosen := q.choose(i, current, service, now)
	t := chosen.target
	if t == nil {
		reachable := current.hasUsableTarget(service, now)
		q.run.RecordUnsent(i, now, reachable)
		return !reachable
	}
	if q.seemsToCrashTargets() || current.quarantines(q.call) || q.call.recheck() != nil {
		// Recorded like a denial by the retry budget, so that the shard is tried again
		// after a pause. A part that arrives until then clears the suspicion.
		q.run.RecordDenied(i, now)
		return true
	}
	if q.sentByShard[i].mayHaveArrived() && !q.engine.takeExtraRequest(service, q.run.NeedsPart(i, now)) {
		q.trace.Denied++
		q.engine.deferDeniedEvent(q.call, &q.trace, service, q.sentByShard[i])
		q.run.RecordDenied(i, now)
		return true
	}
	r := newSentRequest(q.call, current, i, t, now)
	attempt, ok := t.send(q.engine, q.call, current, q.partTimeout(now), func(result pool.Result) {
		r.result = result
		q.results <- r
	})
	if !ok {
		q.run.RecordUnsent(i, now, true)
		return false
	}
	r.attempt = attempt
	if w := q.leaveShard(i); w != nil {
		// The wait ended without a wake-up, so it is the next one's turn.
		w.queue.wakeAfter(nil)
	}
	q.recordSent(i, r)
	q.run.RecordSent(i, now)
	q.run.Expect(i, gather.Expectation{Current: chosen.completion, Next: chosen.next})
	return true
}

func (q *query) recordSent(i int, r *sentRequest) {
	q.trace.Sent++
	if earlier := q.sentByShard[i]; len(earlier) > 0 {
		q.trace.Hedged++
		q.engine.deferFurtherEvent(q.call, &q.trace, q.call.Route.Fanout.Shards[i], r, earlier)
	}
	q.sentByShard[i] = append(q.sentByShard[i], r)
}

// choose returns the target for the next request to a shard, if there is one. It prefers a
// target that was not asked yet. A target is asked again only if no request to the
// shard is in flight. The route limits how many targets may run the request.
func (q *query) choose(i int, current currentView, service model.ServiceID, now time.Duration) choice {
	if len(q.sentByShard[i]) == 0 {
		return q.engine.choose(q.call, current, service, now, false, nil)
	}
	asked, mayHaveRun := q.sentByShard[i].targets()
	targetLimitReached := q.sentByShard[i].attempts() >= max(1, q.call.Route.MaxAttempts)
	if !targetLimitReached {
		if t := q.engine.choose(q.call, current, service, now, true, func(t *target) bool { return asked[t.ID] }); t.target != nil {
			return t
		}
	}
	if q.run.InFlight(i) {
		return choice{}
	}
	return q.engine.choose(q.call, current, service, now, true, func(t *target) bool { return targetLimitReached && !mayHaveRun[t.ID] })
}

// partTimeout returns how long a target may work on its part. The upper limit is
// half of deadlineMargin before the timeout of the call.
func (q *query) partTimeout(now time.Duration) time.Duration {
	left := q.plan.Deadline + deadlineMargin/2 - now
	if now >= q.plan.ObjectiveEnd {
		return left
	}
	least := time.Duration(minPartTimeoutShare * float64(q.call.Route.Objective))
	slack := max(minPartSlack, time.Duration(partSlackShare*float64(q.call.Route.Objective)))
	return min(left, max(q.plan.ObjectiveEnd-now+slack, least))
}

func (q *query) handleResult(r *sentRequest) {
	r.complete(q.call)
	defer r.attempt.Release()
	reply := r.result.Reply
	switch {
	case reply != nil && reply.OK() && reply.ID == q.call.Request.ID:
		if q.run.RecordPart(r.shard) {
			q.answer.Signatures = append(q.answer.Signatures, reply.Signature)
			q.top.Add(reply.Body)
		}
	case r.noConnection():
		q.run.RecordNoConnection(r.shard)
	default:
		if r.disconnected() {
			q.disconnected = append(q.disconnected, r)
		}
		q.run.RecordFailure(r.shard, q.engine.now(), r.mayHaveRun)
	}
}

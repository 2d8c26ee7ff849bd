package dispatch

import (
	"context"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/gather"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
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
	trace       Trace
	// lateLogged is set once it is logged that the objective has passed.
	lateLogged bool
	// disconnected are the requests during which the connection ended.
	disconnected sentRequests
	// startQueue is set while the query is starting. leftQueueAt is when it left the
	// queue, and startLimit the limit of queries starting at a time that applied then.
	startQueue  *startQueue
	leftQueueAt time.Duration
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
		case <-timer.C:
		}
	}
}

// logLate logs, once per query, that the objective has passed while coverage is
// too low.
func (q *query) logLate(now time.Duration) {
	if q.lateLogged || now < q.plan.ObjectiveEnd || q.run.Parts() >= q.plan.Required {
		return
	}
	q.lateLogged = true
	q.engine.logLate(q.call, len(q.sentByShard)-q.run.Parts(), q.unansweredShards())
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

func (q *query) send(i int, now time.Duration) {
	current, service := q.engine.current(), q.call.Route.Fanout.Shards[i]
	t := q.choose(i, current, service, now)
	if t == nil {
		q.recordUnsent(i, current, service, now)
		return
	}
	if q.seemsToCrashTargets() || current.quarantines(q.call) {
		// Recorded like a denial by the retry budget, so that the shard is tried again
		// after a pause. A part that arrives until then clears the suspicion.
		q.run.RecordDenied(i, now)
		return
	}
	if q.sentByShard[i].mayHaveArrived() && !q.engine.takeExtraRequest(service, q.run.NeedsPart(i, now)) {
		q.trace.Denied++
		q.engine.deferDeniedEvent(q.call, &q.trace, service, q.sentByShard[i])
		q.run.RecordDenied(i, now)
		return
	}
	r := newSentRequest(q.call, current, i, t, now)
	attempt, ok := t.send(q.engine, q.call, current, q.partTimeout(now), func(result pool.Result) {
		r.result = result
		q.results <- r
	})
	if !ok {
		q.run.RecordUnsent(i, now, true)
		return
	}
	r.attempt = attempt
	q.recordSent(i, r)
	q.run.RecordSent(i, now)
}

func (q *query) recordSent(i int, r *sentRequest) {
	q.trace.Sent++
	if earlier := q.sentByShard[i]; len(earlier) > 0 {
		q.trace.Hedged++
		q.engine.deferFurtherEvent(q.call, &q.trace, q.call.Route.Fanout.Shards[i], r, earlier)
	}
	q.sentByShard[i] = append(q.sentByShard[i], r)
}

// choose returns the target for the next request to a shard, or nil. It prefers a
// target that was not asked yet. A target is asked again only if no request to the
// shard is in flight. The route limits how many targets may run the request.
func (q *query) choose(i int, current currentView, service model.ServiceID, now time.Duration) *target {
	if len(q.sentByShard[i]) == 0 {
		return q.engine.choose(q.call, current, service, now, false, nil)
	}
	asked, mayHaveRun := q.sentByShard[i].targets()
	targetLimitReached := q.sentByShard[i].attempts() >= max(1, q.call.Route.MaxAttempts)
	if !targetLimitReached {
		if t := q.engine.choose(q.call, current, service, now, true, func(t *target) bool { return asked[t.ID] }); t != nil {
			return t
		}
	}
	if q.run.InFlight(i) {
		return nil
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

func (q *query) finish() Outcome {
	q.abandon(lingerTime)
	q.answer.Missing = len(q.call.Route.Fanout.Shards) - q.run.Parts()
	q.answer.Records = q.top.Bytes()
	q.traceUnanswered()
	return Outcome{Answer: &q.answer, Trace: q.trace}
}

func (q *query) fail(linger time.Duration, code failure.Code, step string) Outcome {
	q.abandon(linger)
	q.traceUnanswered()
	ran := failure.NotRun
	if slices.ContainsFunc(q.sentByShard, sentRequests.mayHaveRun) {
		ran = failure.Unknown
	}
	err := failure.New(code, ran, step, "", "%d of %d parts received, %d required",
		q.run.Parts(), len(q.call.Route.Fanout.Shards), q.plan.Required)
	return Outcome{Err: err, Trace: q.trace}
}

// maxUnansweredShards is the maximum number of unanswered shards described in a
// trace; shards without a target are all listed.
const maxUnansweredShards = 4

// traceUnanswered records the shards without a part, and their requests, in the trace.
func (q *query) traceUnanswered() {
	q.trace.Unanswered = append(q.trace.Unanswered, q.unansweredShards()...)
	lines := 0
	for i, s := range q.call.Route.Fanout.Shards {
		if !q.run.Done(i) {
			q.engine.deferSentEvents(q.call, &q.trace, s, q.sentByShard[i], &lines)
		}
	}
}

// unansweredShards describes the requests to shards that have not answered, for at
// most maxUnansweredShards of them.
func (q *query) unansweredShards() []string {
	var unanswered []string
	for i, s := range q.call.Route.Fanout.Shards {
		if !q.run.Done(i) && len(unanswered) < maxUnansweredShards {
			unanswered = append(unanswered, describeRequests(s, q.sentByShard[i]))
		}
	}
	return unanswered
}

// abandon abandons the requests in flight.
func (q *query) abandon(linger time.Duration) {
	for _, sent := range q.sentByShard {
		for _, r := range sent {
			if !r.completed {
				r.attempt.Abandon(linger)
			}
		}
	}
}

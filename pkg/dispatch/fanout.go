package dispatch

import (
	"context"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/gather"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

const (
	// answerMargin is the time between the decision to answer and the caller's
	// receipt of it, the way back included; answerShare adds a share of the
	// objective for a busy processor.
	answerMargin = 9 * time.Millisecond
	answerShare  = 0.05
	// deadlineMargin is the same for the end of the caller's patience.
	deadlineMargin = 40 * time.Millisecond
	// minPartSlack and partSlackShare are how long after the end of the objective
	// a target may still work on its part, the latter as a share of the
	// objective. It then gives up by itself, which spares the connection. Parts
	// that come so late still count while coverage is too low.
	minPartSlack   = 60 * time.Millisecond
	partSlackShare = 0.75
	// minPartShare is the least time that a target is given, as a share of the
	// objective.
	minPartShare = 0.12
	// lingerTime is how long an abandoned request may go on before its
	// connection is closed.
	lingerTime = 400 * time.Millisecond
	// callerGoneLinger is the same after the caller has left.
	callerGoneLinger = 250 * time.Millisecond
	// unreachableRetryAfter is what callers are told while too few shards have a
	// target; a target that restarts is back in about that time.
	unreachableRetryAfter = 400 * time.Millisecond
)

// query is one call over many shards in progress.
type query struct {
	engine *Engine
	call   *Call
	run    *gather.Run
	plan   gather.Plan
	top    *gather.Top
	answer Answer
	// sent has the requests for each shard.
	sent    []sends
	results chan *sentPart
	trace   Trace
	// endNoticed is set once the log tells that the objective has passed.
	endNoticed bool
	// broken counts the targets that broke off.
	broken int
	// gate is set while the query is starting, since startedAt, as one of limit.
	gate      *gate
	startedAt time.Duration
	limit     int
}

// Query passes a call to one target of each shard and merges the parts.
func (e *Engine) Query(ctx context.Context, c *Call) Outcome {
	e.prepare(c)
	q := e.newQuery(c)
	if err := refuseCondemned(c); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	if err := q.checkReach(); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	if err := q.start(ctx); err != nil {
		return observe(c, Outcome{Err: err, Trace: q.trace})
	}
	e.noteFirst(c.Route.Fanout.Shards...)
	e.logAdmitted(c, &q.trace)
	out := q.loop(ctx)
	q.leaveGate(true)
	e.judgeHarm(c, q.sent...)
	return observe(c, out)
}

func (e *Engine) newQuery(c *Call) *query {
	f := c.Route.Fanout
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
		plan.ObjectiveEnd = min(plan.Deadline, began+time.Duration((1-answerShare)*float64(c.Route.Objective))-c.Elapsed-answerMargin)
	}
	return &query{
		engine: e, call: c, plan: plan,
		run:     gather.New(plan, len(f.Shards)),
		top:     gather.NewTop(f.Limit),
		results: make(chan *sentPart, len(f.Shards)*gather.MaxSends),
		sent:    make([]sends, len(f.Shards)),
		trace:   e.newTrace(c),
	}
}

// checkReach refuses a query before anything is sent if too few shards have a
// target.
func (q *query) checkReach() *failure.Error {
	now, reachable := q.engine.now(), 0
	for _, s := range q.call.Route.Fanout.Shards {
		if q.call.page.reachable(s, now) {
			reachable++
		} else {
			q.trace.Late = append(q.trace.Late, string(s))
		}
	}
	if reachable >= q.plan.Required {
		return nil
	}
	return refuse(failure.NoTarget, failure.NotRun, "find targets", "", unreachableRetryAfter,
		"%d of %d shards have a target, %d are needed", reachable, len(q.call.Route.Fanout.Shards), q.plan.Required)
}

func (q *query) loop(ctx context.Context) Outcome {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.engine.now()
		q.sendDue(now)
		q.noticeEnd(now)
		q.leaveGate(false)
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
			return q.fail(callerGoneLinger, failure.Draining, "wait for the caller")
		case r := <-q.results:
			q.take(r)
			q.takeWaiting()
		case <-timer.C:
		}
	}
}

// noticeEnd tells once that the objective has passed while coverage is too low.
func (q *query) noticeEnd(now time.Duration) {
	if q.endNoticed || now < q.plan.ObjectiveEnd || q.run.Parts() >= q.plan.Required {
		return
	}
	q.endNoticed = true
	q.engine.logLate(q.call, len(q.sent)-q.run.Parts(), q.late())
}

// takeWaiting takes in all results that are there, so that one look serves all.
func (q *query) takeWaiting() {
	for {
		select {
		case r := <-q.results:
			q.take(r)
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
	service := q.call.Route.Fanout.Shards[i]
	t := q.choose(i, service, now)
	if t == nil {
		q.run.RecordUnsent(i, now, q.call.page.reachable(service, now))
		return
	}
	if q.mayHarm() {
		q.run.RecordDenied(i, now)
		return
	}
	if q.sent[i].haveArrived() && !q.engine.takeExtra(service, q.run.NeedsPart(i, now)) {
		q.trace.Denied++
		q.engine.noteDenied(q.call, &q.trace, service, q.sent[i])
		q.run.RecordDenied(i, now)
		return
	}
	sent := newSent(q.call, i, t, now)
	attempt, ok := t.send(q.engine, q.call, q.partTimeout(now), func(r pool.Result) {
		sent.result = r
		q.results <- sent
	})
	if !ok {
		q.run.RecordUnsent(i, now, true)
		return
	}
	sent.attempt = attempt
	q.note(i, sent)
	q.run.RecordSent(i, now)
}

func (q *query) note(i int, sent *sentPart) {
	q.trace.Sent++
	if earlier := q.sent[i]; len(earlier) > 0 {
		q.trace.Hedged++
		q.engine.noteExtra(q.call, &q.trace, q.call.Route.Fanout.Shards[i], sent, earlier)
	}
	q.sent[i] = append(q.sent[i], sent)
}

// mayHarm reports whether the query seems to end the targets that run it.
func (q *query) mayHarm() bool { return q.broken >= brokenBeforeHold && q.run.Parts() == 0 }

// choose returns the target for the next request to a shard: one that was not
// asked yet, or else one that no longer works on an earlier request. Only so
// many targets may run the request as the route allows.
func (q *query) choose(i int, service model.ServiceID, now time.Duration) *target {
	if len(q.sent[i]) == 0 {
		return q.engine.choose(q.call, service, now, false, nil)
	}
	asked, ran := q.sent[i].targets()
	full := len(ran) >= max(1, q.call.Route.MaxAttempts)
	if !full {
		if t := q.engine.choose(q.call, service, now, true, func(t *target) bool { return asked[t.ID] }); t != nil {
			return t
		}
	}
	if q.run.InFlight(i) {
		return nil
	}
	return q.engine.choose(q.call, service, now, true, func(t *target) bool { return full && !ran[t.ID] })
}

// partTimeout is how long a target may work on its part.
func (q *query) partTimeout(now time.Duration) time.Duration {
	left := q.plan.Deadline + deadlineMargin/2 - now
	if now >= q.plan.ObjectiveEnd {
		return left
	}
	least := time.Duration(minPartShare * float64(q.call.Route.Objective))
	slack := max(minPartSlack, time.Duration(partSlackShare*float64(q.call.Route.Objective)))
	return min(left, max(q.plan.ObjectiveEnd-now+slack, least))
}

func (q *query) take(r *sentPart) {
	r.end(q.call)
	reply := r.result.Reply
	switch {
	case reply != nil && reply.OK() && reply.ID == q.call.Request.ID:
		if q.run.RecordPart(r.shard) {
			q.answer.Signatures = append(q.answer.Signatures, reply.Signature)
			q.top.Add(reply.Body)
		}
	default:
		if r.brokeOff() {
			q.broken++
		}
		q.run.RecordFailure(r.shard, q.engine.now(), r.mayHaveRun)
	}
}

func (q *query) finish() Outcome {
	q.abandon(lingerTime)
	q.answer.Missing = len(q.call.Route.Fanout.Shards) - q.run.Parts()
	q.answer.Records = q.top.Bytes()
	q.noteLate()
	return Outcome{Answer: &q.answer, Trace: q.trace}
}

func (q *query) fail(linger time.Duration, code failure.Code, step string) Outcome {
	q.abandon(linger)
	q.noteLate()
	ran := failure.NotRun
	if slices.ContainsFunc(q.sent, sends.mayHaveRun) {
		ran = failure.Unknown
	}
	err := failure.New(code, ran, step, "", "%d of %d parts came, %d are needed",
		q.run.Parts(), len(q.call.Route.Fanout.Shards), q.plan.Required)
	return Outcome{Err: err, Trace: q.trace}
}

// maxLateNames bounds the names in a trace.
const maxLateNames = 4

// noteLate tells of the shards without a part, and of their requests.
func (q *query) noteLate() {
	q.trace.Late = append(q.trace.Late, q.late()...)
	lines := 0
	for i, s := range q.call.Route.Fanout.Shards {
		if !q.run.Done(i) {
			q.engine.noteSent(q.call, &q.trace, s, q.sent[i], &lines)
		}
	}
}

// late tells of some shards that have not answered.
func (q *query) late() []string {
	var late []string
	for i, s := range q.call.Route.Fanout.Shards {
		if !q.run.Done(i) && len(late) < maxLateNames {
			late = append(late, story(s, q.sent[i]))
		}
	}
	return late
}

// abandon gives up what is still in flight.
func (q *query) abandon(linger time.Duration) {
	for _, sent := range q.sent {
		for _, s := range sent {
			if !s.ended {
				s.attempt.Abandon(linger)
			}
		}
	}
}

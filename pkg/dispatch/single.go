package dispatch

import (
	"context"
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

const (
	// maxSingleSends bounds the requests for one call to a service.
	maxSingleSends = 4
	// connectionWait is how long a call waits for a target with a free
	// connection before it is refused.
	connectionWait = 60 * time.Millisecond
	// connectionPoll is how often it looks.
	connectionPoll = 5 * time.Millisecond
	// singleHedgeFactor is after how many usual latencies an idempotent request
	// is sent to a second target.
	singleHedgeFactor = 2.5
	// refusedRetryAfter is what callers are told when no target takes the request.
	refusedRetryAfter = 150 * time.Millisecond
)

func isNotSent(err error) bool { return errors.Is(err, pool.ErrNotSent) }

// single is one call to one service in progress.
type single struct {
	engine  *Engine
	call    *Call
	service model.ServiceID
	// began is when the call arrived.
	began, deadline time.Duration
	results         chan *sentPart
	// sent has all requests, inFlight those without an end.
	sent, inFlight sends
	// fallback is a target's failure, to be passed on if nothing better comes.
	fallback *exchange.Reply
	lastErr  error
	// hedged is set once a second request was due, sent or not.
	hedged   bool
	lastSent time.Duration
	// lateNoticed is set once the log tells that the objective has passed.
	lateNoticed bool
	trace       Trace
}

// Do passes a call to one target of the route's service.
func (e *Engine) Do(ctx context.Context, c *Call) Outcome {
	e.prepare(c)
	service := e.pick(c)
	timeout := min(c.Timeout, c.Route.Timeout)
	began := e.now() - time.Since(c.Arrived)
	s := &single{
		engine: e, call: c, service: service, began: began,
		deadline: began + timeout - deadlineMargin,
		results:  make(chan *sentPart, maxSingleSends),
		trace:    e.newTrace(c),
	}
	if err := refuseCondemned(c); err != nil {
		return observe(c, s.fail(err))
	}
	if !c.page.reachable(service, e.now()) {
		return observe(c, s.refuse("find target", "no target of %s can be reached", service))
	}
	e.noteFirst(service)
	e.logAdmitted(c, &s.trace)
	out := s.loop(ctx)
	e.judgeHarm(c, s.sent)
	return observe(c, out)
}

// pick chooses the service of a route that is split.
func (e *Engine) pick(c *Call) model.ServiceID {
	if len(c.Route.Split) == 1 {
		return c.Route.Split[0].Service
	}
	key := c.Route.Host + c.Route.Prefix
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.turns[key]
	if t == nil {
		t = &turn{}
		e.turns[key] = t
	}
	return c.Route.Split[t.pick(c.page.table().Version(), c.Route.Split)].Service
}

func (s *single) loop(ctx context.Context) Outcome {
	if out, ok := s.first(ctx); !ok {
		return out
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.engine.now()
		if now >= s.deadline {
			return s.timedOut()
		}
		timer.Reset(max(0, s.next(now)-now))
		select {
		case <-ctx.Done():
			s.abandon(0)
			return Outcome{Err: failure.New(failure.Draining, s.notRun(), "wait for the caller", "", "the caller has left"), Trace: s.trace}
		case r := <-s.results:
			if out, done := s.take(r); done {
				s.abandon(0)
				return out
			}
		case <-timer.C:
			s.noticeLate()
			s.hedge()
		}
	}
}

// first sends the first request; it waits a moment for a free connection.
func (s *single) first(ctx context.Context) (Outcome, bool) {
	until := min(s.engine.now()+connectionWait, s.deadline)
	for !s.send() {
		if s.engine.now() >= until {
			return s.refuse("find connection", "no target of %s has a free connection", s.service), false
		}
		select {
		case <-ctx.Done():
			return s.refuse("find connection", "the caller has left"), false
		case <-time.After(connectionPoll):
		}
	}
	return Outcome{}, true
}

// send sends the request to the best target that was not asked yet.
func (s *single) send() bool {
	now := s.engine.now()
	asked, _ := s.sent.targets()
	t := s.engine.choose(s.call, s.service, now, len(asked) > 0, func(t *target) bool { return asked[t.ID] })
	if t == nil {
		return false
	}
	part := newSent(s.call, 0, t, now)
	attempt, ok := t.send(s.engine, s.call, s.deadline+deadlineMargin/2-now, func(r pool.Result) {
		part.result = r
		s.results <- part
	})
	if !ok {
		return false
	}
	part.attempt = attempt
	if len(s.sent) > 0 {
		s.engine.noteExtra(s.call, &s.trace, s.service, part, s.sent)
	}
	s.sent = append(s.sent, part)
	s.inFlight = append(s.inFlight, part)
	s.lastSent = now
	s.trace.Sent++
	return true
}

// mayRepeat reports whether another request may be sent now. It is an extra one
// unless none before it arrived.
func (s *single) mayRepeat() bool {
	_, ran := s.sent.targets()
	if s.trace.Sent >= maxSingleSends || len(ran) >= max(1, s.call.Route.MaxAttempts) {
		return false
	}
	if len(ran) > 0 && !s.call.Route.Idempotent {
		return false
	}
	if s.sent.haveArrived() && !s.engine.takeExtra(s.service, len(s.inFlight) == 0) {
		s.trace.Denied++
		s.engine.noteDenied(s.call, &s.trace, s.service, s.sent)
		return false
	}
	return true
}

// next returns when the loop needs a look even if no reply comes.
func (s *single) next(now time.Duration) time.Duration {
	look := s.deadline
	if s.call.Route.Objective > 0 && !s.lateNoticed {
		look = min(look, max(now, s.objectiveEnds()))
	}
	if s.call.Route.Idempotent && len(s.inFlight) == 1 && !s.hedged {
		look = min(look, max(now, s.hedgeAt()))
	}
	return look
}

// objectiveEnds is when an answer comes too late for the objective.
func (s *single) objectiveEnds() time.Duration {
	return s.began + s.call.Route.Objective - s.call.Elapsed
}

// noticeLate tells once that the objective has passed.
func (s *single) noticeLate() {
	if s.lateNoticed || s.call.Route.Objective == 0 || s.engine.now() < s.objectiveEnds() {
		return
	}
	s.lateNoticed = true
	s.engine.logLate(s.call, 1, []string{story(s.service, s.sent)})
}

func (s *single) hedgeAt() time.Duration { return s.lastSent + s.hedgeDelay() }

func (s *single) hedgeDelay() time.Duration {
	delay := time.Duration(singleHedgeFactor * float64(s.trace.Usual))
	if half := s.call.Route.Objective / 2; half > 0 {
		delay = min(delay, half)
	}
	return max(delay, connectionWait)
}

func (s *single) hedge() {
	if !s.call.Route.Idempotent || s.hedged || len(s.inFlight) == 0 || s.engine.now() < s.hedgeAt() {
		return
	}
	s.hedged = true
	if s.mayRepeat() && s.send() {
		s.trace.Hedged++
	}
}

// take decides on a result. It reports whether the call has ended.
func (s *single) take(r *sentPart) (Outcome, bool) {
	s.drop(r)
	reply, err := r.result.Reply, r.result.Err
	switch {
	case reply != nil && reply.OK() && reply.ID == s.call.Request.ID:
		return s.pass(reply), true
	case reply != nil && (reply.NotRun || reply.WrongTarget):
		s.lastErr = failure.New(failure.TargetShed, failure.NotRun, "send", string(r.target.ID), "status %d, not run", reply.Status)
	case reply != nil:
		if reply.Signature != "" && reply.ID == s.call.Request.ID {
			s.fallback = reply
		}
		s.lastErr = failure.New(failure.TargetFailed, failure.DidRun, "send", string(r.target.ID), "status %d", reply.Status)
		if s.fallback == reply && reply.Status < 500 {
			return s.pass(reply), true
		}
	default:
		s.lastErr = err
	}
	if len(s.inFlight) > 0 {
		return Outcome{}, false
	}
	s.trace.Retried++
	if s.mayRepeat() && s.send() {
		return Outcome{}, false
	}
	return s.giveUp(), true
}

func (s *single) drop(part *sentPart) {
	part.end(s.call)
	for i, p := range s.inFlight {
		if p == part {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

func (s *single) pass(reply *exchange.Reply) Outcome { return Outcome{Reply: reply, Trace: s.trace} }

// giveUp ends a call that no further request can save.
func (s *single) giveUp() Outcome {
	switch {
	case s.fallback != nil:
		return s.pass(s.fallback)
	case !s.sent.mayHaveRun():
		return s.refuse("send", "no target took the request: %v", s.lastErr)
	}
	return s.fail(failure.New(failure.TargetFailed, failure.Unknown, "send", string(s.service), "%w", s.lastErr))
}

func (s *single) timedOut() Outcome {
	out := s.fail(failure.New(failure.DeadlineExceeded, failure.Unknown, "wait for target", string(s.service), "no reply in time"))
	s.abandon(0)
	if s.fallback != nil {
		return s.pass(s.fallback)
	}
	return out
}

func (s *single) refuse(step, format string, args ...any) Outcome {
	return s.fail(refuse(failure.NoTarget, failure.NotRun, step, string(s.service), refusedRetryAfter, format, args...))
}

// fail ends the call with an error and tells what became of its requests.
func (s *single) fail(err *failure.Error) Outcome {
	s.trace.Late = append(s.trace.Late, story(s.service, s.sent))
	lines := 0
	s.engine.noteSent(s.call, &s.trace, s.service, s.sent, &lines)
	return Outcome{Err: err, Trace: s.trace}
}

func (s *single) notRun() failure.Ran {
	if s.sent.mayHaveRun() {
		return failure.Unknown
	}
	return failure.NotRun
}

// abandon gives up what is still in flight. A target that still works on it
// sees its connection close.
func (s *single) abandon(linger time.Duration) {
	for _, p := range s.inFlight {
		p.attempt.Abandon(linger)
	}
}

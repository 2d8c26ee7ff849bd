package dispatch

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/gather"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/queue"
	"radishturn.example/radishturn/pkg/shutdown"
)

const (
	// maxSingleRequests bounds the target requests of one call to a service.
	maxSingleRequests = 4
	// connectionWait is how long a call waits for a target with a free
	// connection before it is refused. It is also the minimum delay of a hedge.
	connectionWait = 60 * time.Millisecond
	// endedCheckInterval is how often a call checks whether the targets of its requests
	// have ended.
	endedCheckInterval = 200 * time.Millisecond
	// refusedRetryAfter is the Retry-After time when no target accepts the request.
	refusedRetryAfter = 150 * time.Millisecond
)

// singleCall is one call to one service in progress.
type singleCall struct {
	engine  *Engine
	call    *Call
	service model.ServiceID
	// arrived is when the call arrived, on the engine's clock like deadline.
	arrived, deadline time.Duration
	results           chan *sentRequest
	// sent holds all requests, inFlight those without a result.
	sent, inFlight sentRequests
	// failureReply is a target's failure reply, forwarded if there is no better one.
	failureReply *exchange.Reply
	lastErr      error
	// hedged is set once a hedge was due, whether or not it was sent.
	hedged   bool
	lastSent time.Duration
	// expected is what is expected of the last request.
	expected gather.Expectation
	// lateLogged is set once it is logged that the objective has passed.
	lateLogged bool
	trace      Trace
	// wait is the queue of the service, and ticket the call's place in it once its first
	// request is sent.
	wait   *connectionQueue
	ticket *queue.Ticket
	// furtherWait is set while no request is in flight since the targets accept no further
	// connections.
	furtherWait *furtherWait
}

// Forward sends a call to one target of the route's service and returns its reply.
func (e *Engine) Forward(ctx context.Context, c *Call) Outcome {
	e.prepare(c)
	service := e.pickService(c)
	timeout := min(c.Timeout, c.Route.Timeout)
	arrived := e.now() - time.Since(c.Arrived)
	s := &singleCall{
		engine: e, call: c, service: service, arrived: arrived,
		deadline: arrived + timeout - deadlineMargin,
		results:  make(chan *sentRequest, maxSingleRequests),
		trace:    e.newTrace(c),
	}
	if err := e.checkAfterWait(c); err != nil {
		return observe(c, s.fail(err))
	}
	if err := refuseExpired(e.now(), s.deadline); err != nil {
		return observe(c, s.fail(err))
	}
	if !e.current().hasUsableTarget(service, e.now()) {
		return observe(c, s.refuse("find target", "no target of %s is usable", service))
	}
	if out, refused := s.refuseUnconnected(); refused {
		return observe(c, out)
	}
	e.recordFirst(service)
	e.logAdmitted(c, &s.trace)
	out := s.loop(ctx)
	s.release()
	out.attempt = s.sent.attemptOf(out.Reply)
	s.sent.release(out.attempt)
	e.checkCrashes(c, s.sent)
	return observe(c, out)
}

// pickService chooses the service of a call whose route may be split over several.
func (e *Engine) pickService(c *Call) model.ServiceID {
	if len(c.Route.Split) == 1 {
		return c.Route.Split[0].Service
	}
	key := c.Route.Host + c.Route.Prefix
	e.mu.Lock()
	defer e.mu.Unlock()
	rr := e.roundRobins[key]
	if rr == nil {
		rr = &roundRobin{}
		e.roundRobins[key] = rr
	}
	return c.Route.Split[rr.pick(c.pinned.tableVersion, c.Route.Split)].Service
}

func (s *singleCall) loop(ctx context.Context) Outcome {
	if out, ok := s.sendFirst(ctx); !ok {
		return out
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.engine.now()
		if now >= s.deadline {
			return s.timedOut("no reply before the deadline")
		}
		if out, done := s.tryFurther(now); done {
			return out
		}
		timer.Reset(max(0, s.nextWakeup(now)-now))
		select {
		case <-ctx.Done():
			if shutdown.IsStopping(ctx) {
				return s.timedOut("the instance is stopping")
			}
			s.abandon(0)
			// failure.Draining stands in for a disconnected caller, since there is no
			// code for it. Only the log and the metrics show it.
			return Outcome{Err: failure.New(failure.Draining, s.ranStatus(), "wait for the caller", "", "the caller disconnected"), Trace: s.trace}
		case r := <-s.results:
			if out, done := s.handleResult(r); done {
				s.abandon(0)
				return out
			}
		case <-s.furtherWakeUp():
		case <-timer.C:
			s.logLate()
			s.hedge()
			s.replaceEnded()
		}
	}
}

// send sends the request to the best target that was not asked yet. The target may
// work on it until half of deadlineMargin before the timeout of the call.
func (s *singleCall) send() bool {
	current, now := s.engine.current(), s.engine.now()
	chosen := s.choose(current, now)
	t := chosen.target
	if t == nil {
		return false
	}
	r := newSentRequest(s.call, current, 0, t, now)
	attempt, ok := t.send(s.engine, s.call, current, s.deadline+deadlineMargin/2-now, func(result pool.Result) {
		r.result = result
		s.results <- r
	})
	if !ok {
		return false
	}
	r.attempt = attempt
	if len(s.sent) > 0 {
		s.engine.deferFurtherEvent(s.call, &s.trace, s.service, r, s.sent)
	}
	s.sent = append(s.sent, r)
	s.inFlight = append(s.inFlight, r)
	s.lastSent, s.expected = now, gather.Expectation{Current: chosen.completion, Next: chosen.next}
	s.trace.Sent++
	return true
}

// takeFurtherRequest reports whether a hedge or retry may be sent now. It counts the
// request against the retry budget if an earlier one may have arrived, and counts and
// logs a denial by the budget.
func (s *singleCall) takeFurtherRequest() bool {
	if s.sent.requests() >= maxSingleRequests || s.sent.attempts() >= max(1, s.call.Route.MaxAttempts) {
		return false
	}
	if s.sent.mayHaveRun() && !s.call.Route.Idempotent || s.engine.current().quarantines(s.call) || s.call.recheck() != nil {
		return false
	}
	if s.sent.mayHaveArrived() && !s.engine.takeExtraRequest(s.service, len(s.inFlight) == 0) {
		s.trace.Denied++
		s.engine.deferDeniedEvent(s.call, &s.trace, s.service, s.sent)
		return false
	}
	return true
}

// nextWakeup returns when the loop must wake up if no reply arrives.
func (s *singleCall) nextWakeup(now time.Duration) time.Duration {
	wakeup := s.deadline
	if s.call.Route.Objective > 0 && !s.lateLogged {
		wakeup = min(wakeup, max(now, s.objectiveEnd()))
	}
	if s.call.Route.Idempotent && len(s.inFlight) == 1 && !s.hedged {
		wakeup = min(wakeup, max(now, s.hedgeAt()))
	}
	if s.call.Route.Idempotent {
		wakeup = min(wakeup, now+endedCheckInterval)
	}
	if s.furtherWait != nil {
		wakeup = min(wakeup, s.nextTry(s.latestConnection()))
	}
	return wakeup
}

// handleResult handles the result of a request. It reports whether the call has
// ended, with the outcome if so.
func (s *singleCall) handleResult(r *sentRequest) (Outcome, bool) {
	s.complete(r)
	reply, err := r.result.Reply, r.result.Err
	switch {
	case reply != nil && reply.OK() && reply.ID == s.call.Request.ID:
		return s.finish(reply), true
	case reply != nil && (reply.NotRun || reply.WrongTarget):
		s.lastErr = failure.New(failure.TargetShed, failure.NotRun, "send", string(r.target.ID), "status %d, not run", reply.Status)
	case reply != nil:
		if reply.Signature != "" && reply.ID == s.call.Request.ID {
			s.failureReply = reply
		}
		s.lastErr = failure.New(failure.TargetFailed, failure.DidRun, "send", string(r.target.ID), "status %d", reply.Status)
		// A signed reply to this request with a status below 500 is final.
		if s.failureReply == reply && reply.Status < 500 {
			return s.finish(reply), true
		}
	default:
		s.lastErr = err
	}
	if len(s.inFlight) > 0 {
		return Outcome{}, false
	}
	if final := s.withdrawnFor(err); final != nil {
		return s.fail(final), true
	}
	s.trace.RetriesDue++
	if s.takeFurtherRequest() && s.send() {
		return Outcome{}, false
	}
	if r.noConnection() {
		s.awaitFurther()
		return Outcome{}, false
	}
	return s.giveUp(), true
}

func (s *singleCall) complete(r *sentRequest) {
	r.complete(s.call)
	for i, other := range s.inFlight {
		if other == r {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

func (s *singleCall) finish(r *exchange.Reply) Outcome { return Outcome{Reply: r, Trace: s.trace} }

// giveUp returns the outcome of a call for which no further request may be sent.
func (s *singleCall) giveUp() Outcome {
	switch {
	case s.failureReply != nil:
		return s.finish(s.failureReply)
	case !s.sent.mayHaveRun():
		if err := s.call.recheck(); err != nil {
			return s.fail(err)
		}
		return s.refuse("send", "no target accepted the request: %v", s.lastErr)
	}
	return s.fail(failure.New(failure.TargetFailed, failure.Unknown, "send", string(s.service), "%w", s.lastErr))
}

func (s *singleCall) timedOut(reason string) Outcome {
	out := s.fail(failure.New(failure.DeadlineExceeded, failure.Unknown, "wait for target", string(s.service), "%s", reason))
	s.abandon(0)
	if s.failureReply != nil {
		return s.finish(s.failureReply)
	}
	return out
}

func (s *singleCall) refuse(step, format string, args ...any) Outcome {
	retryAfter := refusedRetryAfter
	if current, now := s.engine.current(), s.engine.now(); !current.hasUsableTarget(s.service, now) {
		retryAfter = max(retryAfter, current.pauseLeft(s.service, now))
	}
	return s.refuseUntil(s.engine.connectionQueues.of(s.service).retryAfter(retryAfter), step, format, args...)
}

func (s *singleCall) refuseUntil(retryAfter time.Duration, step, format string, args ...any) Outcome {
	return s.fail(newRefusal(failure.NoTarget, failure.NotRun, step, string(s.service), retryAfter, format, args...))
}

// fail returns an error outcome and records the call's requests in the trace.
func (s *singleCall) fail(err *failure.Error) Outcome {
	s.trace.Unanswered = append(s.trace.Unanswered, describeRequests(s.service, s.sent))
	lines := 0
	s.engine.deferSentEvents(s.call, &s.trace, s.service, s.sent, &lines)
	return Outcome{Err: err, Trace: s.trace}
}

func (s *singleCall) ranStatus() failure.Ran {
	if s.sent.mayHaveRun() {
		return failure.Unknown
	}
	return failure.NotRun
}

// abandon abandons the requests in flight. A target that still works on one sees its
// connection close after linger.
func (s *singleCall) abandon(linger time.Duration) {
	for _, r := range s.inFlight {
		r.attempt.Abandon(linger)
	}
}

package dispatch

import (
	"context"
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/queue"
)

// sendFirst sends the first request, or waits for a connection if none is free or other
// calls wait already. ok is false if the call has ended, with its outcome.
func (s *singleCall) sendFirst(ctx context.Context) (out Outcome, ok bool) {
	s.wait = s.engine.connectionQueues.of(s.service)
	now := s.engine.now()
	if !s.wait.anyWaiting() && s.send() {
		s.ticket = s.wait.pass(s.connections(), s.schedule(now))
		observeWait(s.ticket.Priority, 0)
		return Outcome{}, true
	}
	woken := make(chan struct{}, 1)
	ticket, wait, ahead := s.wait.join(s.connections(), s.schedule(now), func() {
		select {
		case woken <- struct{}{}:
		default:
			// It has been woken already.
		}
	})
	if ticket.Refused {
		return s.refuseWaiting(ticket, now, wait, ahead, "%d calls wait already, expected wait %s", ahead, wait.Round(time.Millisecond)), false
	}
	err := s.awaitConnection(ctx, ticket, woken, now)
	left := s.wait.leave(ticket, s.connections(), err == nil)
	observeWait(ticket.Priority, s.engine.now()-now)
	var final *failure.Error
	switch {
	case err == nil:
		s.ticket = left
		return Outcome{}, true
	case errors.As(err, &final):
		return s.fail(final), false
	case ctx.Err() != nil:
		return s.refuse("find connection", "%w", err), false
	}
	return s.refuseWaiting(ticket, now, wait, ahead, "%w", err), false
}

// errNoConnection means that no connection became free while the call waited.
var errNoConnection = errors.New("no target has a free connection")

// awaitConnection waits until the first request is sent. It returns a *failure.Error if
// the call must no longer be served.
func (s *singleCall) awaitConnection(ctx context.Context, t *queue.Ticket, woken <-chan struct{}, now time.Duration) error {
	patience := s.patienceEnd(now)
	until := s.extendWait(patience)
	timer := time.NewTimer(0)
	defer timer.Stop()
	s.wait.wakeAfter(nil)
	for {
		timer.Reset(max(0, s.nextTry(until)-s.engine.now()))
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.Decided:
			return errNoConnection
		case <-woken:
		case <-timer.C:
			// Targets may have begun to limit connections, or accept them again.
			until = s.extendWait(patience)
			if s.engine.now() < until {
				s.wait.wakeAfter(nil)
				continue
			}
		}
		if err := s.engine.checkAfterWait(s.call); err != nil {
			return err
		}
		if s.send() {
			return nil
		}
		until = s.extendWait(patience)
		if s.engine.now() >= until {
			return errNoConnection
		}
		if s.engine.current().anyConnection(s.service) {
			s.wait.wakeAfter(t)
		}
	}
}

// extendWait returns until when a call waits for a connection that usually waits until
// patienceEnd: as long as a reply is possible, while targets limit new connections.
func (s *singleCall) extendWait(patienceEnd time.Duration) time.Duration {
	if s.engine.current().limitsConnections(s.service, s.engine.now()) {
		return max(patienceEnd, s.latestConnection())
	}
	return patienceEnd
}

// patienceEnd returns until when the call usually waits for a connection: connectionWait, and
// not past the share of its objective within which it should be refused.
func (s *singleCall) patienceEnd(now time.Duration) time.Duration {
	until := min(now+connectionWait, s.deadline)
	if by := s.engine.refuseBy(s.call, now); by > now {
		until = min(until, by)
	}
	return until
}

// nextTry returns when the call tries again at the latest: when some target may be used
// again by the passing of time, at the end of its wait, or after connectionWait.
func (s *singleCall) nextTry(until time.Duration) time.Duration {
	now := s.engine.now()
	until = min(until, now+connectionWait)
	if at := s.engine.current().usableAt(s.service, now); at > now {
		return min(until, at)
	}
	return until
}

// connections returns how many connections the instance may have to the service.
func (s *singleCall) connections() int {
	return s.engine.current().services[s.service].maxConnections
}

// schedule returns the call as the queue sees it.
func (s *singleCall) schedule(now time.Duration) queue.Request {
	minDuration := time.Duration(minRunFactor * float64(s.trace.Usual))
	onTime := s.deadline
	if s.call.Route.Objective > 0 {
		onTime = min(onTime, s.objectiveEnd())
	}
	return queue.Request{
		Arrived: s.arrived, OnTimeStart: onTime - minDuration, LatestStart: s.deadline - minDuration, RefuseBy: s.extendWait(s.patienceEnd(now)),
		Priority: s.call.Priority, Kind: s.call.kind(), Work: s.trace.Usual, Caller: s.call.Caller,
	}
}

// refuseWaiting returns the outcome of a call that was refused by the queue, or found no
// connection in time.
func (s *singleCall) refuseWaiting(t *queue.Ticket, joined, wait time.Duration, ahead int, format string, args ...any) Outcome {
	work, age := s.wait.work(t)
	s.trace.deferEvent(events.RefusedByScheduler, s.call.Request.ID, s.call.Route.Name, t.Priority, (s.engine.now() - joined).Milliseconds(),
		wait.Milliseconds(), ahead, s.connections(), work.Microseconds(), age.Milliseconds(), t.RetryAfter.Milliseconds())
	return s.refuseUntil(t.RetryAfter, "find connection", format, args...)
}

// release records that the call has ended.
func (s *singleCall) release() {
	s.endFurtherWait()
	if s.ticket != nil {
		s.wait.end(s.ticket, s.connections())
	}
}

// withdrawnFor returns why the call must no longer be served, if that is why its request
// was not sent on a new connection and no target may have run another one.
func (s *singleCall) withdrawnFor(err error) *failure.Error {
	if !errors.Is(err, pool.ErrWithdrawn) || s.sent.mayHaveRun() {
		return nil
	}
	return s.engine.checkAfterWait(s.call)
}

package dispatch

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// A target above its connection limit resets new connections. That is no failure of the
// target, and unless the request was written before the reset, nothing was sent to it.

// noConnection reports whether the request was not sent because the target accepted no
// further connection.
func (r *sentRequest) noConnection() bool {
	return r.completed && isNotSent(r.result.Err) && errors.Is(r.result.Err, pool.ErrNoCapacity)
}

// explainsReset reports whether the connection limit of its target, and not a crash,
// explains why the connection ended during a request. It is if this connection was not known
// to be accepted, and other ones have shown that the limit is reached.
func (e *Engine) explainsReset(r *sentRequest) bool {
	return errors.Is(r.result.Err, pool.ErrNoCapacity) && r.attempt.OnUntestedConnection() && e.registry.shared.ResetGuard.LimitSeen()
}

// limitsConnections reports whether some target of the service could be sent a request if
// it accepted new connections, which are limited since it has reset one.
func (rs *registryState) limitsConnections(service model.ServiceID, now time.Duration) bool {
	limited := func(t *target) bool {
		_, _, usable := t.cost(now)
		return usable && t.pool.OpenPause() > 0
	}
	s := rs.services[service]
	return slices.ContainsFunc(s.own, limited) || slices.ContainsFunc(s.onDemand, limited)
}

// connectionWait returns how long it takes, at least, until a request can be sent to some
// target of the service, if all that may get one pause new connections and have none open; 0
// otherwise.
func (rs *registryState) connectionWait(service model.ServiceID, now time.Duration) time.Duration {
	s := rs.services[service]
	var least time.Duration
	for _, targets := range [][]*target{s.own, s.onDemand} {
		for _, t := range targets {
			if _, _, usable := t.cost(now); !usable {
				continue
			}
			left := t.pool.OpenPause()
			if left == 0 || t.pool.Connections() > 0 {
				return 0
			}
			if least == 0 || left < least {
				least = left
			}
		}
	}
	return least
}

// retrySpread is the share of a wait for connections by which the Retry-After times of
// refused calls differ, so that the callers do not all return when the first connection can
// be opened.
const retrySpread = 0.5

// spreadRetry returns the Retry-After time of a call for which a connection can be opened
// after a wait.
func spreadRetry(wait time.Duration) time.Duration {
	return wait + time.Duration(retrySpread*rand.Float64()*float64(wait))
}

// refuseUnconnected refuses a call at once if no connection can be opened early enough for it
// to meet its objective.
func (s *singleCall) refuseUnconnected() (Outcome, bool) {
	now := s.engine.now()
	wait := s.engine.current().connectionWait(s.service, now)
	if wait == 0 || s.call.Route.Objective == 0 || now+wait+s.trace.Usual <= s.objectiveEnd() {
		return Outcome{}, false
	}
	retryAfter := s.engine.connectionQueues.of(s.service).retryAfter(spreadRetry(wait))
	return s.refuseUntil(retryAfter, "find connection",
		"no target of %s accepts connections for %s", s.service, wait.Round(time.Millisecond)), true
}

// latestConnection returns until when the call waits for a connection while targets accept
// no new ones: a reply is possible before the deadline then.
func (s *singleCall) latestConnection() time.Duration {
	return s.deadline - max(s.trace.Usual, connectionWait)
}

// choose returns the best target that was not asked yet, if there is one.
func (s *singleCall) choose(current currentView, now time.Duration) choice {
	asked, _ := s.sent.targets()
	return s.engine.choose(s.call, current, s.service, now, len(s.sent) > 0, func(t *target) bool { return asked[t.ID] })
}

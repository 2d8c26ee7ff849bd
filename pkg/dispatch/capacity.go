package dispatch

import (
	"errors"
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
		_, usable := t.cost(now)
		return usable && t.pool.OpenPause() > 0
	}
	s := rs.services[service]
	return slices.ContainsFunc(s.own, limited) || slices.ContainsFunc(s.onDemand, limited)
}

// latestConnection returns until when the call waits for a connection while targets accept
// no new ones: a reply is possible before the deadline then.
func (s *singleCall) latestConnection() time.Duration {
	return s.deadline - max(s.trace.Usual, connectionWait)
}

// trySend sends a request for a call that awaits a connection, and reports whether it was
// sent.
func (s *singleCall) trySend(now time.Duration) bool {
	if now >= s.latestConnection() || s.choose(s.engine.current(), now) == nil || !s.takeFurtherRequest() || !s.send() {
		return false
	}
	s.awaitsConnection = false
	return true
}

// choose returns the best target that was not asked yet, or nil.
func (s *singleCall) choose(current currentView, now time.Duration) *target {
	asked, _ := s.sent.targets()
	return s.engine.choose(s.call, current, s.service, now, len(s.sent) > 0, func(t *target) bool { return asked[t.ID] })
}

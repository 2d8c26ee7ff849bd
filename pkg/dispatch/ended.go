package dispatch

import (
	"errors"
	"net"
	"syscall"
)

// replaceEnded sends a further request if all targets that work on the call have ended,
// and would never reply.
func (s *singleCall) replaceEnded() {
	if !s.call.Route.Idempotent || len(s.inFlight) == 0 {
		return
	}
	current := s.engine.current()
	for _, r := range s.inFlight {
		if !r.target.hasEnded(current) {
			return
		}
	}
	for _, r := range s.inFlight {
		r.targetEnded = true
	}
	if s.takeFurtherRequest() && s.send() {
		s.trace.RetriesDue++
	}
}

// maxSilentConnects is how many consecutive attempts to connect a running target that
// can be reached leaves unaccepted.
const maxSilentConnects = 1

// notAccepted reports whether an error shows that nothing accepts connections at the
// target's address. A reset shows the opposite: a target over its connection limit
// resets new connections while it works on the requests of others.
func notAccepted(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout()
}

// hasEnded reports whether the target is known to have ended or to be cut off: it is no
// longer listed, or nothing accepts connections at its address.
func (t *target) hasEnded(current currentView) bool {
	if current.targets[t.ID] == nil || current.targets[t.ID].process != t.process {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silentConnects > maxSilentConnects
}

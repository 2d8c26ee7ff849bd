package dispatch

// replaceEnded sends a further request if all targets that work on the call have ended,
// and would never reply.
func (s *singleCall) replaceEnded() {
	if !s.call.Route.Idempotent || len(s.inFlight) == 0 {
		return
	}
	state := s.engine.registryState()
	for _, r := range s.inFlight {
		if !r.target.hasEnded(state) {
			return
		}
	}
	for _, r := range s.inFlight {
		r.targetEnded = true
	}
	// The new list may name other targets.
	s.call.state = state
	if s.takeFurtherRequest() && s.send() {
		s.trace.RetriesDue++
	}
}

// endedConnectFailures is how many consecutive failures to connect show that a target
// has ended or is cut off.
const endedConnectFailures = 2

// hasEnded reports whether the target is known to have ended or to be cut off: it is no
// longer listed, or connections to it fail again and again.
func (t *target) hasEnded(state *registryState) bool {
	if state.targets[t.ID] == nil || state.targets[t.ID].process != t.process {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.connectFailures >= endedConnectFailures
}

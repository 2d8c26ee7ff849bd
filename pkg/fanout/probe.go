package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/target"
)

// probeAfterDeath is how long after a death new requests are probed.
const probeAfterDeath = time.Minute

// requestProbe sends one subquery of a request that no target has answered yet ahead
// of the others. They are held until it is answered, so that a request that crashes
// targets crashes one of them and not one of each leaf. It has nothing to do with
// target.Client.Probe, by which a death check asks whether a target still runs.
type requestProbe struct {
	active   bool
	subquery int
}

// startProbeIfNew probes a new request if the collection's settings ask for it,
// or if a target has died within probeAfterDeath.
func (p *pass) startProbeIfNew() {
	wanted := p.collection.settings.ProbeNewRequests || p.service.targetDiedRecently()
	p.probe.active = wanted && len(p.subqueries) > 1 && !p.service.wasAnswered(p.fingerprint)
}

// waitOrTakeOverProbe reports whether subquery i has to wait for the answer of the
// one that probes. If that one has ended, subquery i takes over the probe and need not wait.
func (p *pass) waitOrTakeOverProbe(i int) bool {
	if !p.probe.active {
		return false
	}
	if probing := &p.subqueries[p.probe.subquery]; probing.done() {
		p.probe.subquery = i
	}
	return p.probe.subquery != i
}

// endProbeOnAnswer ends the probe with the first successful answer.
func (p *pass) endProbeOnAnswer(result *attemptResult) {
	if !p.probe.active || result.kind != target.KindOK {
		return
	}
	p.probe.active, p.trial.scheduleChanged = false, true
	p.service.recordAnswered(p.fingerprint)
	p.releaseHeldSubqueries()
}

func (s *Service) targetDiedRecently() bool {
	last := s.lastDeath.Load()
	return last != 0 && s.now()-time.Duration(last) < probeAfterDeath
}

func (s *Service) wasAnswered(f model.Fingerprint) bool {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	return s.answered.Has(f)
}

func (s *Service) recordAnswered(f model.Fingerprint) {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	s.answered.Add(f)
}

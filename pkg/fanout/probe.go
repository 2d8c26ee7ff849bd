package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/target"
)

// probeAfterDeath is how long after a death new requests are probed.
const probeAfterDeath = time.Minute

// probe sends one leg of a request that no target has answered yet ahead of the
// others. They are held until it is answered, so that a request that crashes
// targets crashes one of them and not one of each leaf.
type probe struct {
	active bool
	leg    int
}

// startProbeIfNew probes a new request if the collection's settings ask for it,
// or if a target has died within probeAfterDeath.
func (r *run) startProbeIfNew() {
	wanted := r.collection.settings.ProbeNewRequests || r.service.targetDiedRecently()
	r.probe.active = wanted && len(r.subqueries) > 1 && !r.service.isProven(r.fingerprint)
}

// heldByProbe reports whether a leg has to wait for the answer of the leg that
// probes. If that one has ended, leg i takes its place.
func (r *run) heldByProbe(i int) bool {
	if !r.probe.active {
		return false
	}
	if p := &r.subqueries[r.probe.leg]; p.done() {
		r.probe.leg = i
	}
	return r.probe.leg != i
}

// endProbeOnAnswer ends the probe with the first successful answer.
func (r *run) endProbeOnAnswer(e *attemptResult) {
	if !r.probe.active || e.kind != target.KindOK {
		return
	}
	r.probe.active, r.trial.scheduleChanged = false, true
	r.service.markProven(r.fingerprint)
	r.releaseHeldLegs()
}

func (s *Service) targetDiedRecently() bool {
	last := s.lastDeath.Load()
	return last != 0 && s.now()-time.Duration(last) < probeAfterDeath
}

func (s *Service) isProven(f model.Fingerprint) bool {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	return s.proven.Has(f)
}

func (s *Service) markProven(f model.Fingerprint) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.proven.Add(f)
}

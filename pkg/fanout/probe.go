package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/target"
)

// probeAfterDeath is how long new requests are probed after a death.
const probeAfterDeath = time.Minute

// probe lets one subquery of a request that no target has run yet go ahead. The
// others are held until it is answered, so that a request that ends targets
// ends one of them and not one of each leaf.
type probe struct {
	on  bool
	leg int
}

// probeIfNew holds the subqueries of a new request back where that is wanted: by the
// collection's settings, or for some time after a death.
func (r *run) probeIfNew() {
	wanted := r.collection.settings.ProbeNewRequests || r.service.diedLately()
	r.probe.on = wanted && len(r.subqueries) > 1 && !r.service.isProven(r.fingerprint)
}

// heldByProbe reports whether a subquery has to wait for another one's answer.
func (r *run) heldByProbe(i int) bool {
	if !r.probe.on {
		return false
	}
	if p := &r.subqueries[r.probe.leg]; p.done() {
		r.probe.leg = i
	}
	return r.probe.leg != i
}

// judgeProbe ends the probe with the first good answer.
func (r *run) judgeProbe(e *attemptResult) {
	if !r.probe.on || e.kind != target.KindOK {
		return
	}
	r.probe.on, r.trial.stepped = false, true
	r.service.prove(r.fingerprint)
	r.release()
}

func (s *Service) diedLately() bool {
	last := s.lastDeath.Load()
	return last != 0 && s.now()-time.Duration(last) < probeAfterDeath
}

func (s *Service) isProven(f model.Fingerprint) bool {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	return s.proven.Has(f)
}

func (s *Service) prove(f model.Fingerprint) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.proven.Add(f)
}

package dispatch

import (
	"errors"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// maxProbedTargets bounds the targets that are probed after one call.
	maxProbedTargets = 4
	// brokenBeforeHold is how many targets may break off a call that none has
	// answered before it gets no further requests. The first answer ends that.
	brokenBeforeHold = 3
	// quarantineRetryAfter is what callers of a condemned request are told.
	quarantineRetryAfter = 10 * time.Second
)

// fingerprintOf identifies requests that run the same at every target.
func fingerprintOf(r *exchange.Request) model.Fingerprint {
	return poison.FingerprintOf(r.Method, r.Host, r.URI, string(r.Body))
}

// refuseCondemned refuses a request that has ended targets, before it is sent to
// another one.
func refuseCondemned(c *Call) *failure.Error {
	condemned := c.page.view.Quarantined
	if len(condemned) == 0 || !condemned[fingerprintOf(c.Request)] {
		return nil
	}
	return refuse(failure.Quarantined, failure.NotRun, "check quarantine", "", quarantineRetryAfter,
		"the request has ended several targets")
}

// answered reports whether some target has answered a request in full.
func (s sends) answered(id model.RequestID) bool {
	return slices.ContainsFunc(s, func(p *sentPart) bool {
		return p.ended && p.result.Reply != nil && p.result.Reply.OK() && p.result.Reply.ID == id
	})
}

// brokeOff reports whether the target broke off during the request.
func (s *sentPart) brokeOff() bool {
	return s.ended && s.result.Err != nil && !isNotSent(s.result.Err) && !errors.Is(s.result.Err, pool.ErrAbandoned)
}

// broken returns the targets that broke off during a request.
func (s sends) broken() []*target {
	var broken []*target
	for _, p := range s {
		if p.brokeOff() {
			broken = append(broken, p.target)
		}
	}
	return broken
}

// judgeHarm looks at a call that has ended. A request that some target has
// answered ends none; of one that was only broken off, the targets are probed.
func (e *Engine) judgeHarm(c *Call, all ...sends) {
	var broken []*target
	for _, sent := range all {
		if sent.answered(c.Request.ID) {
			e.mu.Lock()
			e.proven.Add(fingerprintOf(c.Request))
			e.mu.Unlock()
			return
		}
		broken = append(broken, sent.broken()...)
	}
	if len(broken) == 0 || e.opts.Reporter == nil {
		return
	}
	f := fingerprintOf(c.Request)
	e.mu.Lock()
	proven := e.proven.Has(f)
	e.mu.Unlock()
	if !proven {
		go e.probeDeaths(f, broken[:min(len(broken), maxProbedTargets)])
	}
}

// probeDeaths tells control of the targets that refuse connections after a
// request was broken off there. Targets that accept them live.
func (e *Engine) probeDeaths(f model.Fingerprint, broken []*target) {
	probed := make(map[model.TargetID]bool)
	for _, t := range broken {
		if probed[t.ID] || !t.pool.Refused() {
			continue
		}
		probed[t.ID] = true
		events.Emit(events.TargetDied, t.ID, 1)
		e.opts.Reporter.Report(view.Evidence{Crashes: []view.TargetCrash{{
			Target: t.ID, Boot: model.BootID(t.ID), Suspects: []model.Fingerprint{f}, NeverAnswered: true,
		}}})
	}
}

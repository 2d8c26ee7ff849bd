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
	// maxDisconnects is the number of connections that may end during the requests
	// of a query before no further requests are sent for it. The limit no longer
	// applies once a target has answered.
	maxDisconnects = 3
	// quarantineRetryAfter is the Retry-After time for a quarantined request.
	quarantineRetryAfter = 10 * time.Second
)

// fingerprintOf returns a fingerprint that is equal for requests with the same
// method, host, URI and body, which therefore run alike on every target.
func fingerprintOf(r *exchange.Request) model.Fingerprint {
	return poison.FingerprintOf(r.Method, r.Host, r.URI, string(r.Body))
}

// refuseQuarantined refuses a quarantined request, which has crashed targets, before
// it is sent to another one.
func refuseQuarantined(c *Call, current currentView) *failure.Error {
	if !current.quarantines(c) {
		return nil
	}
	return newRefusal(failure.Quarantined, failure.NotRun, "check quarantine", "", quarantineRetryAfter,
		"the request has crashed several targets")
}

// answered reports whether some target has answered the request successfully.
func (s sentRequests) answered(id model.RequestID) bool {
	return slices.ContainsFunc(s, func(r *sentRequest) bool {
		return r.completed && r.result.Reply != nil && r.result.Reply.OK() && r.result.Reply.ID == id
	})
}

// disconnected reports whether the connection ended during the request.
func (r *sentRequest) disconnected() bool {
	return r.completed && r.result.Err != nil && !isNotSent(r.result.Err) && !errors.Is(r.result.Err, pool.ErrAbandoned)
}

// seemsToCrashTargets reports whether the query seems to crash the targets that run
// it: maxDisconnects connections ended during its requests, which the targets' connection
// limits do not explain, and no target has answered.
func (q *query) seemsToCrashTargets() bool {
	if len(q.disconnected) < maxDisconnects || q.run.Parts() > 0 {
		return false
	}
	unexplained := 0
	for _, r := range q.disconnected {
		if !q.engine.explainsReset(r) {
			unexplained++
		}
	}
	return unexplained >= maxDisconnects
}

// disconnectedTargets returns the targets whose connection ended during a request, unless
// their connection limit explains it.
func (e *Engine) disconnectedTargets(s sentRequests) []*target {
	var disconnected []*target
	for _, r := range s {
		if r.disconnected() && !e.explainsReset(r) {
			disconnected = append(disconnected, r.target)
		}
	}
	return disconnected
}

// checkCrashes checks after a call whether its request may have crashed targets. A
// request that some target has answered is considered harmless. Otherwise, the
// targets whose connection ended during the request are probed.
func (e *Engine) checkCrashes(c *Call, all ...sentRequests) {
	var disconnected []*target
	for _, sent := range all {
		if sent.answered(c.Request.ID) {
			e.mu.Lock()
			e.answered.Add(fingerprintOf(c.Request))
			e.mu.Unlock()
			return
		}
		disconnected = append(disconnected, e.disconnectedTargets(sent)...)
	}
	if len(disconnected) == 0 || e.opts.Reporter == nil {
		return
	}
	f := fingerprintOf(c.Request)
	e.mu.Lock()
	answered := e.answered.Has(f)
	e.mu.Unlock()
	if !answered {
		go e.probeDisconnected(f, disconnected[:min(len(disconnected), maxProbedTargets)])
	}
}

// probeDisconnected reports as dead those targets that refuse connections after
// their connection ended during a request. Targets that accept one are alive.
func (e *Engine) probeDisconnected(f model.Fingerprint, disconnected []*target) {
	reported := make(map[model.TargetID]bool)
	for _, t := range disconnected {
		if reported[t.ID] || !t.pool.RefusesConnections() {
			continue
		}
		reported[t.ID] = true
		events.Emit(events.TargetDied, t.ID, 1)
		// Targets state no boot ID. The target ID stands in for it, so further crashes of
		// the same target do not count again for the request.
		e.opts.Reporter.Report(view.Evidence{Crashes: []view.TargetCrash{{
			Target: t.ID, Boot: model.BootID(t.ID), Suspects: []model.Fingerprint{f}, NeverAnswered: true,
		}}})
	}
}

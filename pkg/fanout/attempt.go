package fanout

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/target"
)

// tryAttempt starts an attempt for subquery i if a target can take it.
func (p *pass) tryAttempt(i int, now time.Duration, isHedge bool) availability {
	sq := &p.subqueries[i]
	if p.service.leaseForbidsQueries() {
		return noTarget
	}
	required := targetRequirements{
		snapshot: p.plan.snapshot.ID, choice: p.choiceFor(sq), alone: p.trial.active,
		fingerprint: p.fingerprint, hedge: isHedge,
		waitForColdTargets: p.collection.settings.Policy == settings.PreferCoverage,
	}
	var tried [maxAttempts]*targetState
	for k := range sq.attempts[:sq.attemptCount] {
		tried[k] = sq.attempts[k].target
	}
	required.tried = tried[:sq.attemptCount]
	if isHedge {
		required.hedgedZone = sq.attempts[sq.attemptCount-1].target.target.AvailabilityZone
	}
	t, why := sq.leaf.acquireTarget(&required, p.random, now)
	if why == available {
		p.startAttempt(i, t, now, isHedge)
	}
	return why
}

// choiceFor returns the versions that the next attempt of a subquery may use: by the
// move in force, unless nothing was waited for since the pass has begun.
func (p *pass) choiceFor(sq *subquery) versions.Choice {
	if sq.attemptCount > 0 || sq.waiting || sq.held {
		p.choice = p.collection.chooseVersions(p.service.views.View(), p.request.Caller, p.request.ID)
	}
	return p.choice
}

// startAttempt starts the goroutine of an attempt. The goroutine is bounded by the
// attempt's context and never blocks on the pass.
func (p *pass) startAttempt(i int, t *targetState, now time.Duration, isHedge bool) {
	sq := &p.subqueries[i]
	k := sq.attemptCount
	ctx, cancel := context.WithCancel(p.ctx)
	sq.attempts[k] = attempt{target: t, cancel: cancel, started: now, hedge: isHedge, alone: p.trial.active}
	sq.attemptCount++
	sq.openAttempts++
	q := &target.Query{
		Request: p.request.ID, Snapshot: p.plan.snapshot.ID,
		Documents: p.plan.snapshot.Leaves[i].Documents,
		Header:    p.header, Body: p.body,
	}
	if k > 0 {
		left := time.Until(p.request.Deadline).Milliseconds()
		q.Header = target.NewHeader(p.request.ID, p.plan.snapshot.ID, p.request.Route, k+1, left)
	}
	go p.runAttempt(ctx, cancel, attemptRef{subquery: i, attempt: k, target: t, started: now, alone: p.trial.active, process: t.leaf.processOf(t)}, q)
}

// attemptRef identifies an attempt in flight.
type attemptRef struct {
	subquery int
	attempt  int
	target   *targetState
	started  time.Duration
	alone    bool
	// process is the target's process when the attempt started.
	process targetProcess
}

func (p *pass) runAttempt(ctx context.Context, cancel context.CancelFunc, a attemptRef, q *target.Query) {
	t := a.target
	result := t.client.Query(ctx, q)
	var death deathCheckResult
	if result.Kind == target.KindReset {
		p.deathChecks.Add(1)
		death = p.service.confirmDeath(t, a.process, p.fingerprint, a.alone)
		// The count is lowered only after the result has been queued, so that the
		// pass learns whether the target died before it may hedge again.
		defer p.deathChecks.Add(-1)
	}
	now := p.service.now()
	outcome := attemptOutcome{
		result: &result, snapshot: q.Snapshot, fingerprint: p.fingerprint,
		elapsed: now - a.started, now: now, alone: a.alone, lostBoot: death.lostBoot,
		cancelledByPass: ctx.Err() != nil && p.ctx.Err() == nil, expired: p.ctx.Err() == context.DeadlineExceeded,
	}
	change := t.leaf.finish(t, &outcome)
	cancel()
	p.service.reportOutcome(p, t, &outcome, change)
	p.queue.addResult(attemptResult{
		subquery: a.subquery, attempt: a.attempt, kind: result.Kind, elapsed: outcome.elapsed, mayBeCause: death.mayBeCause, quarantined: death.quarantined, reply: result.Reply,
	})
}

// reportOutcome passes the outcome of an attempt to everything outside its leaf:
// metrics, events, health reads, warmth reports and version outcomes.
func (s *Service) reportOutcome(p *pass, t *targetState, outcome *attemptOutcome, change warmth.Change) {
	s.metrics.recordAttempt(outcome.result.Kind, outcome.elapsed)
	if outcome.result.Kind == target.KindMismatched {
		s.reportMismatch(t, p.request.ID, outcome.result.Err)
	}
	if outcome.result.Kind == target.KindNotHeld {
		s.readHealthInBackground(t)
	}
	s.reportWarmth(t, outcome.result.Meta.Boot, change)
	p.collection.outcomes.addAttempt(s, t, p.request.Route, outcome)
}

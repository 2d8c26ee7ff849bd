package fanout

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/target"
)

// tryAttempt starts an attempt for subquery i if a target can take it.
func (r *run) tryAttempt(i int, now time.Duration, isHedge bool) availability {
	sq := &r.subqueries[i]
	if r.service.leaseForbidsQueries() {
		return noTarget
	}
	n := targetRequirements{
		snapshot: r.plan.snapshot.ID, choice: r.choice, alone: r.trial.active,
		fingerprint: r.fingerprint, hedge: isHedge,
		waitForColdTargets: r.collection.settings.Policy == settings.PreferCoverage,
	}
	var tried [maxAttempts]*targetState
	for k := range sq.attempts[:sq.attemptCount] {
		tried[k] = sq.attempts[k].target
	}
	n.tried = tried[:sq.attemptCount]
	if isHedge {
		n.hedgedZone = sq.attempts[sq.attemptCount-1].target.target.AvailabilityZone
	}
	t, why := sq.leaf.startAttempt(&n, r.random, now)
	if why == available {
		r.startAttempt(i, t, now, isHedge)
	}
	return why
}

// startAttempt starts the goroutine of an attempt. The goroutine is bounded by the
// attempt's context and never blocks on the run.
func (r *run) startAttempt(i int, t *targetState, now time.Duration, isHedge bool) {
	sq := &r.subqueries[i]
	k := sq.attemptCount
	ctx, cancel := context.WithCancel(r.ctx)
	sq.attempts[k] = attempt{target: t, cancel: cancel, started: now, hedge: isHedge, alone: r.trial.active}
	sq.attemptCount++
	sq.openAttempts++
	q := &target.Query{
		Request: r.request.ID, Snapshot: r.plan.snapshot.ID,
		Documents: r.plan.snapshot.Leaves[i].Documents,
		Header:    r.header, Body: r.body,
	}
	if k > 0 {
		left := time.Until(r.request.Deadline).Milliseconds()
		q.Header = target.NewHeader(r.request.ID, r.plan.snapshot.ID, r.request.Route, k+1, left)
	}
	go r.runAttempt(ctx, cancel, attemptRef{subquery: i, attempt: k, target: t, started: now, alone: r.trial.active}, q)
}

// attemptRef identifies an attempt in flight.
type attemptRef struct {
	subquery int
	attempt  int
	target   *targetState
	started  time.Duration
	alone    bool
}

func (r *run) runAttempt(ctx context.Context, cancel context.CancelFunc, a attemptRef, q *target.Query) {
	t := a.target
	result := t.client.Query(ctx, q)
	var death deathCheckResult
	if result.Kind == target.KindReset {
		r.deathChecks.Add(1)
		death = r.service.confirmDeath(t, r.fingerprint, a.alone)
		// The deferred decrement makes the verdict reach the run before the run
		// may hedge again.
		defer r.deathChecks.Add(-1)
	}
	now := r.service.now()
	e := attemptOutcome{
		result: &result, snapshot: q.Snapshot, fingerprint: r.fingerprint,
		elapsed: now - a.started, now: now, alone: a.alone, lostBoot: death.lostBoot,
		superseded: ctx.Err() != nil && r.ctx.Err() == nil, expired: r.ctx.Err() == context.DeadlineExceeded,
	}
	change := t.leaf.finish(t, &e)
	cancel()
	r.service.reportOutcome(r, t, &e, change)
	r.events.addResult(attemptResult{
		subquery: a.subquery, attempt: a.attempt, kind: result.Kind, elapsed: e.elapsed, targetDied: death.suspicious, condemned: death.condemned, reply: result.Reply,
	})
}

// reportOutcome passes the outcome of an attempt to everything outside its leaf:
// metrics, events, health reads, warmth reports and version outcomes.
func (s *Service) reportOutcome(r *run, t *targetState, e *attemptOutcome, change warmth.Change) {
	s.metrics.recordAttempt(e.result.Kind, e.elapsed)
	if e.result.Kind == target.KindMismatched {
		s.reportMismatch(t, r.request.ID, e.result.Err)
	}
	if e.result.Kind == target.KindNotHeld {
		s.readHealthInBackground(t)
	}
	s.reportWarmth(t, e.result.Meta.Boot, change)
	r.collection.outcomes.addAttempt(s, t, r.request.Route, e)
}

package fanout

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/target"
)

// try sends an attempt at a leg if a target can take it.
func (r *run) try(i int, now time.Duration, isHedge bool) availability {
	l := &r.legs[i]
	if r.service.leaseRefuses() {
		return noTarget
	}
	n := targetRequirements{
		snapshot: r.plan.snapshot.ID, choice: r.choice, alone: r.trial.active,
		fingerprint: r.fingerprint, hedge: isHedge,
		waitForColdTargets: r.collection.settings.Policy == settings.PreferCoverage,
	}
	var tried [maxAttempts]*targetState
	for k := range l.attempts[:l.count] {
		tried[k] = l.attempts[k].target
	}
	n.tried = tried[:l.count]
	if isHedge {
		n.hedgedZone = l.attempts[l.count-1].target.target.AvailabilityZone
	}
	t, why := l.leaf.startAttempt(&n, r.random, now)
	if why == available {
		r.send(i, t, now, isHedge)
	}
	return why
}

// send starts the goroutine of an attempt. It ends with the attempt's context
// and never waits for the run.
func (r *run) send(i int, t *targetState, now time.Duration, isHedge bool) {
	l := &r.legs[i]
	k := l.count
	ctx, cancel := context.WithCancel(r.ctx)
	l.attempts[k] = attempt{target: t, cancel: cancel, started: now, hedge: isHedge, alone: r.trial.active}
	l.count++
	l.open++
	q := &target.Query{
		Request: r.request.ID, Snapshot: r.plan.snapshot.ID,
		Documents: r.plan.snapshot.Leaves[i].Documents,
		Header:    r.header, Body: r.body,
	}
	if k > 0 {
		left := time.Until(r.request.Deadline).Milliseconds()
		q.Header = target.NewHeader(r.request.ID, r.plan.snapshot.ID, r.request.Route, k+1, left)
	}
	go r.attempt(ctx, cancel, sent{leg: i, attempt: k, target: t, started: now, alone: r.trial.active}, q)
}

// sent identifies an attempt that is on its way.
type sent struct {
	leg     int
	attempt int
	target  *targetState
	started time.Duration
	alone   bool
}

func (r *run) attempt(ctx context.Context, cancel context.CancelFunc, a sent, q *target.Query) {
	t := a.target
	result := t.client.Query(ctx, q)
	var death deathCheckResult
	if result.Kind == target.KindReset {
		r.deathChecks.Add(1)
		death = r.service.confirmDeath(t, r.fingerprint, a.alone)
		// The run learns of the verdict before it hedges again.
		defer r.deathChecks.Add(-1)
	}
	now := r.service.now()
	e := ended{
		result: &result, snapshot: q.Snapshot, fingerprint: r.fingerprint,
		elapsed: now - a.started, now: now, alone: a.alone, lost: death.lostBoot,
		beaten: ctx.Err() != nil && r.ctx.Err() == nil, expired: r.ctx.Err() == context.DeadlineExceeded,
	}
	change := t.leaf.finish(t, &e)
	cancel()
	r.service.observe(r, t, &e, change)
	r.mail.put(attemptEnd{
		leg: a.leg, attempt: a.attempt, kind: result.Kind, elapsed: e.elapsed, died: death.suspicious, condemned: death.condemned, reply: result.Reply,
	})
}

// observe tells what an attempt showed to those beyond its leaf.
func (s *Service) observe(r *run, t *targetState, e *ended, change warmth.Change) {
	s.metrics.attempt(e.result.Kind, e.elapsed)
	if e.result.Kind == target.KindMismatched {
		s.reportMismatch(t, r.request.ID, e.result.Err)
	}
	if e.result.Kind == target.KindNotHeld {
		s.readHealthInBackground(t)
	}
	s.reportWarmth(t, e.result.Meta.Boot, change)
	r.collection.outcomes.addAttempt(s, t, r.request.Route, e)
}

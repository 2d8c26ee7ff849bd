package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/target"
)

// trial is the state of a run with a suspect request: one leg runs alone on a
// target, and the others are held until the target has answered it.
type trial struct {
	// active is set while the request is suspect.
	active bool
	// leg runs the trial if running is set.
	leg     int
	running bool
	// condemned is set once the request is condemned.
	condemned bool
	// scheduleChanged is set when legs were released or held.
	scheduleChanged bool
}

// takeScheduleChange reports whether legs were released or held since the last
// call.
func (t *trial) takeScheduleChange() bool {
	changed := t.scheduleChanged
	t.scheduleChanged = false
	return changed
}

// startTrialIfSuspect puts the request on trial if an earlier run made it suspect.
func (r *run) startTrialIfSuspect() {
	r.trial.active = r.service.standing(r.fingerprint) == poison.Suspect
}

// maySend reports whether a leg may send an attempt now. The legs of a suspect
// request are held, except for the one that runs the trial.
func (r *run) maySend(i int, now time.Duration) bool {
	l := &r.subqueries[i]
	l.held = false
	if !r.trial.active && r.heldByProbe(i) {
		l.held, l.nextActionAt = true, now+capacityPollInterval
		return false
	}
	if !r.trial.active || (r.trial.running && r.trial.leg == i) {
		return true
	}
	if !r.trial.running && r.tryStartTrial(i) {
		return true
	}
	if !l.done() {
		l.held, l.nextActionAt = true, now+capacityPollInterval
	}
	return false
}

// tryStartTrial reports whether leg i may send: because it runs the trial, or
// because another run has cleared the request.
func (r *run) tryStartTrial(i int) bool {
	switch r.service.standing(r.fingerprint) {
	case poison.Clear:
		r.trial.active = false
		return true
	case poison.Quarantined:
		r.condemn()
		return false
	}
	if !r.service.beginTrial(r.fingerprint) {
		return false
	}
	r.trial.leg, r.trial.running = i, true
	return true
}

// updateTrial updates the trial after an attempt has ended.
func (r *run) updateTrial(a *attempt, e *attemptResult) {
	switch {
	case r.trial.condemned:
	case e.condemned:
		r.condemn()
	case e.targetDied:
		r.trial.active, r.trial.scheduleChanged = true, true
	case a.alone && e.kind == target.KindOK:
		r.service.recordSurvival(r.fingerprint)
		r.trial = trial{scheduleChanged: true}
		r.releaseHeldLegs()
	}
}

// releaseHeldLegs makes the held legs due at once; they are sent when the timer
// next fires.
func (r *run) releaseHeldLegs() {
	for i := range r.subqueries {
		if l := &r.subqueries[i]; l.held && !l.done() {
			l.nextActionAt = 1
		}
	}
}

// condemn ends the run, since the request has caused two deaths.
func (r *run) condemn() {
	r.trial.condemned, r.trial.scheduleChanged = true, true
	for i := range r.subqueries {
		l := &r.subqueries[i]
		if l.done() {
			continue
		}
		r.giveUp(l, query.MissingFailed)
		for k := range l.attempts[:l.attemptCount] {
			if a := &l.attempts[k]; !a.ended {
				a.cancel()
			}
		}
	}
}

// endTrial lets another run try a request whose trial was inconclusive.
func (r *run) endTrial() {
	if r.trial.running {
		r.service.endTrial(r.fingerprint)
		r.trial.running = false
	}
}

// endTrialOfLeg ends the trial if leg i runs it and ends inconclusively, so that
// another leg or run can start one.
func (r *run) endTrialOfLeg(i int) {
	if r.trial.running && r.trial.leg == i {
		r.endTrial()
	}
}

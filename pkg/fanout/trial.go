package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/target"
)

// trial is the state of a pass with a suspect request: one subquery runs alone on a
// target, and the others are held until the target has answered it.
type trial struct {
	// active is set while the request is suspect.
	active bool
	// subquery runs the trial if running is set.
	subquery int
	running  bool
	// quarantined is set once the request is quarantined.
	quarantined bool
	// scheduleChanged is set when nextActionAt of a subquery may have changed, also by
	// the end of a probe and by a quarantine.
	scheduleChanged bool
}

// takeScheduleChange returns whether scheduleChanged was set since the last call, and
// clears it.
func (t *trial) takeScheduleChange() bool {
	changed := t.scheduleChanged
	t.scheduleChanged = false
	return changed
}

// setTrialIfSuspect puts the request on trial if an earlier query or pass made it
// suspect.
func (p *pass) setTrialIfSuspect() {
	p.trial.active = p.service.poisonStatus(p.fingerprint) == poison.Suspect
}

// maySend reports whether a subquery may send an attempt now. Those of a suspect
// request are held, except for the one that runs the trial.
func (p *pass) maySend(i int, now time.Duration) bool {
	sq := &p.subqueries[i]
	sq.held = false
	if !p.trial.active && p.waitOrTakeOverProbe(i) {
		sq.held, sq.nextActionAt = true, now+pollInterval
		return false
	}
	if !p.trial.active || (p.trial.running && p.trial.subquery == i) {
		return true
	}
	if !p.trial.running && p.tryStartTrial(i) {
		return true
	}
	if !sq.done() {
		sq.held, sq.nextActionAt = true, now+pollInterval
	}
	return false
}

// tryStartTrial reports whether subquery i may send: because it runs the trial, or
// because another pass has cleared the request.
func (p *pass) tryStartTrial(i int) bool {
	switch p.service.poisonStatus(p.fingerprint) {
	case poison.Clear:
		p.trial.active = false
		return true
	case poison.Quarantined:
		p.abortQuarantined()
		return false
	}
	if !p.service.beginTrial(p.fingerprint) {
		return false
	}
	p.trial.subquery, p.trial.running = i, true
	return true
}

// updateTrial updates the trial after an attempt has ended.
func (p *pass) updateTrial(a *attempt, result *attemptResult) {
	switch {
	case p.trial.quarantined:
	case result.quarantined:
		p.abortQuarantined()
	case result.mayBeCause:
		p.trial.active, p.trial.scheduleChanged = true, true
	case a.alone && result.kind == target.KindOK:
		p.service.clearSuspicion(p.fingerprint)
		p.trial = trial{scheduleChanged: true}
		p.releaseHeldSubqueries()
	}
}

// releaseHeldSubqueries makes the held subqueries due at once; they are sent when the
// timer next fires.
func (p *pass) releaseHeldSubqueries() {
	for i := range p.subqueries {
		if sq := &p.subqueries[i]; sq.held && !sq.done() {
			sq.nextActionAt = 1
		}
	}
}

// abortQuarantined ends the pass, since the request has caused two or more crashes and
// is quarantined.
func (p *pass) abortQuarantined() {
	p.trial.quarantined, p.trial.scheduleChanged = true, true
	for i := range p.subqueries {
		sq := &p.subqueries[i]
		if sq.done() {
			continue
		}
		p.giveUp(sq, query.MissingFailed)
		for k := range sq.attempts[:sq.attemptCount] {
			if a := &sq.attempts[k]; !a.ended {
				a.cancel()
			}
		}
	}
}

// endTrial lets another pass try a request whose trial was inconclusive.
func (p *pass) endTrial() {
	if p.trial.running {
		p.service.endTrial(p.fingerprint)
		p.trial.running = false
	}
}

// endTrialOfSubquery ends the trial if subquery i runs it and ends inconclusively, so
// that another subquery or pass can start one.
func (p *pass) endTrialOfSubquery(i int) {
	if p.trial.running && p.trial.subquery == i {
		p.endTrial()
	}
}

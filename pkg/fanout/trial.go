package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/target"
)

// trial is how a run treats a suspect request: one leg runs alone on a target,
// and the others are held until it has survived.
type trial struct {
	// on is set while the request is suspect.
	on bool
	// leg runs the trial if running is set.
	leg     int
	running bool
	// condemned is set after a death during the trial.
	condemned bool
	stepped   bool
}

// changed reports once whether legs were released or held.
func (t *trial) changed() bool {
	stepped := t.stepped
	t.stepped = false
	return stepped
}

// suspectIfKnown puts the request on trial if an earlier run made it suspect.
func (r *run) suspectIfKnown() {
	r.trial.on = r.service.standing(r.fingerprint) == poison.Suspect
}

// mayTry reports whether a leg may send an attempt now. Legs of a suspect
// request are held, apart from the one that runs the trial.
func (r *run) mayTry(i int, now time.Duration) bool {
	l := &r.legs[i]
	l.held = false
	if !r.trial.on && r.heldByProbe(i) {
		l.held, l.hedgeAt = true, now+capacityPoll
		return false
	}
	if !r.trial.on || (r.trial.running && r.trial.leg == i) {
		return true
	}
	if !r.trial.running && r.enterTrial(i) {
		return true
	}
	if !l.done() {
		l.held, l.hedgeAt = true, now+capacityPoll
	}
	return false
}

// enterTrial reports whether leg i may go on: as the trial, or because another
// run has cleared the request.
func (r *run) enterTrial(i int) bool {
	switch r.service.standing(r.fingerprint) {
	case poison.Clear:
		r.trial.on = false
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

// judge takes in what the end of an attempt says about a suspect request.
func (r *run) judge(a *attempt, e *attemptEnd) {
	switch {
	case r.trial.condemned:
	case e.condemned:
		r.condemn()
	case e.died:
		r.trial.on, r.trial.stepped = true, true
	case a.alone && e.kind == target.KindOK:
		r.service.survived(r.fingerprint)
		r.trial = trial{stepped: true}
		r.release()
	}
}

// release sends the legs that were held as soon as the timer is set.
func (r *run) release() {
	for i := range r.legs {
		if l := &r.legs[i]; l.held && !l.done() {
			l.hedgeAt = 1
		}
	}
}

// condemn ends the run: the request has caused two deaths.
func (r *run) condemn() {
	r.trial.condemned, r.trial.stepped = true, true
	for i := range r.legs {
		l := &r.legs[i]
		if l.done() {
			continue
		}
		r.giveUp(l, query.MissingFailed)
		for k := range l.attempts[:l.count] {
			if a := &l.attempts[k]; !a.ended {
				a.cancel()
			}
		}
	}
}

// endTrial lets another run try a request whose trial proved nothing.
func (r *run) endTrial() {
	if r.trial.running {
		r.service.endTrial(r.fingerprint)
		r.trial.running = false
	}
}

// releaseTrialOf moves the trial on when its leg ends without a verdict.
func (r *run) releaseTrialOf(i int) {
	if r.trial.running && r.trial.leg == i {
		r.endTrial()
	}
}

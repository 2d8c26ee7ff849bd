package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query/hedge"
)

// probeHedgeFactor delays the hedge of a request that no target has run yet, and
// deathCheckTimeout is the least delay: within that it shows whether the request ended
// its target, and a hedge would end a second one.
const probeHedgeFactor = 4

// planHedge sets when the leg is hedged unless it is answered before.
func (r *run) planHedge(l *leg, now time.Duration) {
	l.hedgeAt = 0
	l.leaf.mu.Lock()
	delay, ok := l.leaf.hedgeDelay, l.leaf.hedgingEnabled
	l.leaf.mu.Unlock()
	if r.probe.active {
		delay = max(delay*probeHedgeFactor, deathCheckTimeout)
	}
	if ok && l.count < maxAttempts && !r.trial.active {
		l.hedgeAt, l.hedgeDelay = now+delay, delay
	}
}

// act sends the hedges that are due and looks for capacity again.
func (r *run) act() {
	now := r.service.now()
	for i := range r.legs {
		l := &r.legs[i]
		if l.hedgeAt <= 0 || l.hedgeAt > now+hedgeGrain {
			continue
		}
		if l.waiting {
			l.leaf.removeWaiters(r)
			r.first(i)
			continue
		}
		l.hedgeAt = 0
		if l.held {
			r.first(i)
			continue
		}
		r.hedge(i, now)
	}
}

// hedge sends a second attempt at a leg that is late. None is sent while a target
// of the request is checked for a death, which the request may have caused.
func (r *run) hedge(i int, now time.Duration) {
	l := &r.legs[i]
	if l.open == 0 || l.count >= maxAttempts || r.trial.active {
		return
	}
	if r.deathChecks.Load() > 0 {
		l.hedgeAt = now + capacityPoll
		return
	}
	age := now - l.attempts[l.count-1].started
	if wait := hedge.Postpone(r.pending, len(r.legs), age, l.hedgeDelay); wait > 0 {
		l.hedgeAt = now + wait
		return
	}
	if !r.collection.takeHedge(now) {
		return
	}
	if r.try(i, now, true) != available {
		r.collection.returnHedge()
		return
	}
	r.planHedge(l, now)
}

// schedule sets the timer for the earliest time at which act has work. due is
// what the timer is set for, or 0 if that is not known.
func (r *run) schedule(timer *time.Timer, due time.Duration) time.Duration {
	next := time.Duration(0)
	for i := range r.legs {
		if at := r.legs[i].hedgeAt; at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 || next == due {
		return next
	}
	timer.Reset(max(0, next-r.service.now()))
	return next
}

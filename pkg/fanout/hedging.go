package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query/hedge"
)

// probeHedgeFactor multiplies the hedge delay of a request that no target has
// answered yet; the delay is at least deathCheckTimeout. Within that time it becomes known
// whether the request crashed its target. An earlier hedge could crash a second one.
const probeHedgeFactor = 4

// scheduleHedge sets the time at which the subquery is hedged if it has no answer
// by then.
func (p *pass) scheduleHedge(sq *subquery, now time.Duration) {
	sq.nextActionAt = 0
	sq.leaf.mu.Lock()
	delay, ok := sq.leaf.hedgeDelay, sq.leaf.hedgingEnabled
	sq.leaf.mu.Unlock()
	if p.probe.active {
		delay = max(delay*probeHedgeFactor, deathCheckTimeout)
	}
	if ok && sq.attemptCount < maxAttempts && !p.trial.active {
		sq.nextActionAt, sq.hedgeDelay = now+delay, delay
	}
}

// handleTimer sends the hedges that are due and retries the subqueries that wait
// for capacity or for a trial or probe.
func (p *pass) handleTimer() {
	now := p.service.now()
	for i := range p.subqueries {
		sq := &p.subqueries[i]
		if sq.nextActionAt <= 0 || sq.nextActionAt > now+hedgeTimerSlack {
			continue
		}
		if sq.waiting {
			sq.leaf.removeWaiters(p)
			p.startOrQueue(i)
			continue
		}
		sq.nextActionAt = 0
		if sq.held {
			p.startOrQueue(i)
			continue
		}
		p.sendHedge(i, now)
	}
}

// sendHedge sends another attempt for a late subquery. It sends none while a target
// of the request is checked for a death, since the request may have caused it.
func (p *pass) sendHedge(i int, now time.Duration) {
	sq := &p.subqueries[i]
	if sq.openAttempts == 0 || sq.attemptCount >= maxAttempts || p.trial.active {
		return
	}
	if p.deathChecks.Load() > 0 {
		sq.nextActionAt = now + pollInterval
		return
	}
	age := now - sq.attempts[sq.attemptCount-1].started
	if wait := hedge.Postpone(p.pending, len(p.subqueries), age, sq.hedgeDelay); wait > 0 {
		sq.nextActionAt = now + wait
		return
	}
	if !p.collection.takeHedge(now) {
		return
	}
	if p.tryAttempt(i, now, true) != available {
		p.collection.returnHedge()
		return
	}
	p.scheduleHedge(sq, now)
}

// resetTimer sets the timer to the earliest time at which handleTimer has work and
// returns that time. due is the time that the timer is set to, or 0 if unknown.
func (p *pass) resetTimer(timer *time.Timer, due time.Duration) time.Duration {
	next := time.Duration(0)
	for i := range p.subqueries {
		if at := p.subqueries[i].nextActionAt; at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 || next == due {
		return next
	}
	timer.Reset(max(0, next-p.service.now()))
	return next
}

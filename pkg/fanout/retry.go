package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/target"
)

func missingReason(k target.Kind) query.MissingReason {
	switch k {
	case target.KindShed, target.KindBusy:
		return query.MissingShed
	case target.KindNotHeld:
		return query.MissingNotHeld
	case target.KindMismatched:
		return query.MissingMismatched
	case target.KindCancelled:
		return query.MissingDeadline
	case target.KindDraining:
		return query.MissingNoTarget
	}
	return query.MissingFailed
}

func reasonWithoutTarget(sq *subquery) query.MissingReason {
	if sq.missingReason != "" {
		return sq.missingReason
	}
	return query.MissingNoTarget
}

// requeue queues a subquery again after a target has shed it. The refused attempt
// was not run and does not count as an attempt. The backoff of the target bounds the
// rate of requests to it, and the time that subqueries wait for capacity makes
// admission control admit fewer queries.
func (p *pass) requeue(i int) {
	p.subqueries[i].attemptCount--
	p.queueForCapacity(i, p.service.now())
}

// queueForCapacity makes a subquery wait for a target with capacity, or gives it up
// if the queue of the leaf is full.
func (p *pass) queueForCapacity(i int, now time.Duration) {
	sq := &p.subqueries[i]
	if !sq.waiting {
		sq.waiting, sq.waitSince = true, now
	}
	sq.nextActionAt = now + pollInterval
	if !sq.leaf.enqueue(p, i) {
		p.giveUp(sq, query.MissingShed)
	}
}

// retry sends a failed subquery again if maxAttempts and extraBudget allow it,
// and gives it up otherwise.
func (p *pass) retry(i int) {
	sq := &p.subqueries[i]
	if sq.attemptCount >= maxAttempts || !p.collection.takeRetry() {
		p.endTrialOfSubquery(i)
		p.giveUp(sq, sq.missingReason)
		return
	}
	p.startOrQueue(i)
}

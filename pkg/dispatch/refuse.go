package dispatch

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

// checkTargets refuses a query before anything is sent if too few shards have a
// usable target.
func (q *query) checkTargets() *failure.Error {
	current, now, usable := q.engine.current(), q.engine.now(), 0
	var pauses []time.Duration
	for _, s := range q.call.Route.Fanout.Shards {
		wait := current.connectionWait(s, now)
		if current.hasUsableTarget(s, now) && now+wait <= q.latestUseful() {
			usable++
			continue
		}
		if wait > 0 {
			pauses = append(pauses, spreadRetry(wait))
			continue
		}
		q.trace.Unanswered = append(q.trace.Unanswered, string(s))
		if left := current.pauseLeft(s, now); left > 0 {
			pauses = append(pauses, left)
		}
	}
	if usable >= q.plan.Required {
		return nil
	}
	retryAfter := q.engine.startQueueOf(q.call.Route.Fanout.Shards).retryAfter(now, retryAfterPauses(pauses, q.plan.Required-usable))
	return newRefusal(failure.NoTarget, failure.NotRun, "find targets", "", retryAfter,
		"%d of %d shards have a usable target, %d required", usable, len(q.call.Route.Fanout.Shards), q.plan.Required)
}

// latestUseful returns when the requests of the query are to be sent at the latest, so that it
// can meet its objective. Later ones are not worth waiting for: a caller that is refused at
// once is served sooner.
func (q *query) latestUseful() time.Duration {
	return max(q.engine.now(), q.plan.ObjectiveEnd-q.plan.UsualLatency)
}

// retryAfterPauses returns the Retry-After time of a query that lacks so many shards:
// when that many of those whose targets are paused can be asked again.
func retryAfterPauses(pauses []time.Duration, missing int) time.Duration {
	if len(pauses) < missing {
		return noTargetRetryAfter
	}
	slices.Sort(pauses)
	return max(noTargetRetryAfter, pauses[missing-1])
}

// refuseExpired refuses a call whose deadline has passed before anything is sent.
func refuseExpired(now, deadline time.Duration) *failure.Error {
	if now < deadline {
		return nil
	}
	return failure.New(failure.DeadlineExceeded, failure.NotRun, "check deadline", "", "the caller waits no longer")
}

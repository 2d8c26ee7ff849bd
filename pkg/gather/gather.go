// Package gather controls a scatter-gather query over many shards: it decides
// which shards get another request, and when to answer with the parts that have
// arrived. It is a state machine without I/O; pkg/dispatch sends the requests.
//
// It is meant for targets that stall independently of each other for longer than
// the latency objective, so that with many shards nearly every query meets a
// stalled target. A hedge is sent once a request is overdue, as measured by the
// usual latency or by what is expected of its target, and the end of the latency
// objective ends the wait for the remaining shards.
//
// A part is the reply of one shard, a list of records. pkg/query and pkg/fanout
// have other terms for the same things: a shard corresponds to a leaf there, a
// record to a hit, and the required number of parts to the minimum coverage.
package gather

import "time"

const (
	// MaxSends is the maximum number of requests to one shard.
	MaxSends = 6
	// firstBackoff is the pause before the second retry to a shard; it doubles
	// with each further one. The first retry is sent at once.
	firstBackoff = 40 * time.Millisecond
	// noTargetPause is the pause before a shard without a usable target is tried
	// again.
	noTargetPause = 8 * time.Millisecond
	// budgetDeniedPause is the pause before a shard is tried again after the retry
	// budget denied it a request.
	budgetDeniedPause = 60 * time.Millisecond
)

// Plan holds the parameters of a query. All times are on one clock, that of the
// user of the Run.
type Plan struct {
	// ObjectiveEnd is when the latency objective ends the wait, provided that the
	// required parts have arrived.
	ObjectiveEnd time.Duration
	// Deadline is when the query ends in any case.
	Deadline time.Duration
	// UsualLatency is the usual latency of one request.
	UsualLatency time.Duration
	// Required is the minimum number of parts in an answer.
	Required int
	// MaxTargets limits hedges: a request is hedged only while fewer than MaxTargets
	// targets run it or may have executed it. Retries of a shard without a request
	// in flight are not limited here.
	MaxTargets int
}

// Run is the execution of one query.
type Run struct {
	plan   Plan
	shards []shard
	parts  int
	// hedgeDelay is HedgeDelay, which is needed for each shard after each reply.
	hedgeDelay time.Duration
}

type shard struct {
	done bool
	// inFlight and sends count requests; executed counts the failed ones that a
	// target may have executed.
	inFlight, sends, executed int
	failures                  int
	// hedgeFrom is when the hedge delay begins: when the last request was sent, or
	// later if a hedge could not be sent.
	hedgeFrom time.Duration
	// expected is what is expected of the last request, if anything is.
	expected Expectation
	// retryAt is when a shard without a request in flight is retried; 0 means at
	// once.
	retryAt time.Duration
	// unreachable is set while no target can be sent a request.
	unreachable bool
}

// New returns a Run over the given number of shards.
func New(p Plan, shards int) *Run {
	return &Run{
		plan: p, shards: make([]shard, shards),
		hedgeDelay: max(minHedgeDelay, time.Duration(hedgeFactor*float64(p.UsualLatency))),
	}
}

// RecordSent records a request to shard i.
func (r *Run) RecordSent(i int, now time.Duration) {
	s := &r.shards[i]
	s.inFlight++
	s.sends++
	s.hedgeFrom = now
	s.expected = Expectation{}
	s.unreachable = false
}

// RecordUnsent records that no request could be sent to shard i, for lack of a
// target or of a connection. reachable is false if no target can be sent a request.
func (r *Run) RecordUnsent(i int, now time.Duration, reachable bool) {
	s := &r.shards[i]
	s.retryAt = now + noTargetPause
	if s.inFlight > 0 {
		// The shard is checked again after a full hedge delay.
		s.hedgeFrom = now
	}
	s.unreachable = !reachable
}

// RecordWaiting records that shard i, to which no request could be sent, waits for a
// connection until a time.
func (r *Run) RecordWaiting(i int, until time.Duration) { r.shards[i].retryAt = until }

// RecordFreed records that a connection to shard i may be free.
func (r *Run) RecordFreed(i int) { r.shards[i].retryAt = 0 }

// RecordDenied records that the retry budget denied shard i a further request.
func (r *Run) RecordDenied(i int, now time.Duration) {
	s := &r.shards[i]
	s.retryAt = now + budgetDeniedPause
	s.hedgeFrom = max(s.hedgeFrom, now+budgetDeniedPause-r.HedgeDelay())
}

// NeedsPart reports whether required parts are still missing, and shard i either has no
// request in flight or the latency objective has passed. A request to the shard is then
// needed for the answer, so pkg/dispatch lets it use the part of the retry budget that
// it keeps for such requests.
func (r *Run) NeedsPart(i int, now time.Duration) bool {
	return r.parts < r.plan.Required && (now >= r.plan.ObjectiveEnd || r.shards[i].inFlight == 0)
}

// RecordPart records a successful reply of shard i and reports whether it is the
// shard's first.
func (r *Run) RecordPart(i int) bool {
	s := &r.shards[i]
	s.inFlight--
	if s.done {
		return false
	}
	s.done = true
	r.parts++
	return true
}

// RecordFailure records a request without a successful reply. executed is set if
// a target may have executed it.
func (r *Run) RecordFailure(i int, now time.Duration, executed bool) {
	s := &r.shards[i]
	s.inFlight--
	s.failures++
	if executed {
		s.executed++
	}
	s.retryAt = 0
	if s.failures > 1 {
		s.retryAt = now + firstBackoff<<min(s.failures-2, maxBackoffDoublings)
	}
}

// maxBackoffDoublings bounds the pause between retries.
const maxBackoffDoublings = 3

// Parts returns the number of shards whose part has arrived.
func (r *Run) Parts() int { return r.parts }

// Done reports whether the part of shard i has arrived.
func (r *Run) Done(i int) bool { return r.shards[i].done }

// InFlight reports whether a request to shard i is unanswered.
func (r *Run) InFlight(i int) bool { return r.shards[i].inFlight > 0 }

// Due returns the shards to send a request to now: those without one in flight
// whose retry pause is over, and those whose request is overdue.
func (r *Run) Due(now time.Duration) []int {
	var due []int
	for i := range r.shards {
		if at, ok := r.dueAt(i); ok && now >= at {
			due = append(due, i)
		}
	}
	return due
}

func (r *Run) dueAt(i int) (time.Duration, bool) {
	s := &r.shards[i]
	switch {
	case s.done || s.sends >= MaxSends || s.executed+s.inFlight >= max(r.plan.MaxTargets, 1) && s.inFlight > 0:
		return 0, false
	case s.inFlight == 0:
		return s.retryAt, true
	default:
		return r.hedgeAt(s)
	}
}

// Decision states how a query proceeds.
type Decision uint8

// Values of Decision.
const (
	// Wait means to wait for replies until NextCheck.
	Wait Decision = iota
	// Answer means to answer with the parts that have arrived.
	Answer
	// TimedOut means that the deadline passed with too few parts.
	TimedOut
	// Unreachable means that too few shards can still answer.
	Unreachable
)

// Decide returns how the query proceeds at now.
func (r *Run) Decide(now time.Duration) Decision {
	enough := r.parts >= r.plan.Required
	switch {
	case r.parts == len(r.shards):
		return Answer
	case enough && (now >= r.plan.ObjectiveEnd || r.exhausted()):
		return Answer
	case now >= r.plan.Deadline:
		return TimedOut
	case !enough && r.reachable() < r.plan.Required:
		return Unreachable
	}
	return Wait
}

// exhausted reports whether no further part can arrive.
func (r *Run) exhausted() bool { return r.reachable() == r.parts }

// reachable counts the shards whose part has arrived or may still arrive.
func (r *Run) reachable() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		if s.done || s.inFlight > 0 || !s.unreachable && s.sends < MaxSends {
			n++
		}
	}
	return n
}

// NextCheck returns when to call Due and Decide again if no reply arrives before.
func (r *Run) NextCheck(now time.Duration) time.Duration {
	next := r.plan.Deadline
	if r.parts >= r.plan.Required || now < r.plan.ObjectiveEnd {
		next = min(next, r.plan.ObjectiveEnd)
	}
	for i := range r.shards {
		if at, ok := r.dueAt(i); ok {
			next = min(next, at)
		}
	}
	return next
}

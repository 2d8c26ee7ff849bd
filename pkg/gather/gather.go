// Package gather decides how one query over many shards goes on: which shards
// get a second request, and when the answer is given with what is there. It is
// a pure state machine; the caller does the sending.
//
// It answers this load: targets stand still for longer than the latency
// objective at times of their own, so with many shards nearly every query meets
// one. The second request goes out when the first is overdue by the usual
// latency, and the end of the objective ends the wait for the rest.
package gather

import "time"

const (
	// hedgeFactor is after how many usual latencies a request is sent to a
	// second target.
	hedgeFactor = 2.2
	// minHedgeDelay keeps the delays of the network out.
	minHedgeDelay = 6 * time.Millisecond
	// MaxSends bounds the requests to one shard.
	MaxSends = 6
	// firstBackoff is the pause before the second repeat to a shard; it doubles
	// with each further one. The first repeat goes out at once.
	firstBackoff = 40 * time.Millisecond
	// noTargetPause is how long a shard without a usable target waits for one.
	noTargetPause = 8 * time.Millisecond
	// budgetDeniedPause is how long a shard waits after the retry budget allowed it no
	// request.
	budgetDeniedPause = 60 * time.Millisecond
)

// Plan holds the times of a query, on the caller's clock.
type Plan struct {
	// End is when the latency objective ends the wait, if coverage allows.
	End time.Duration
	// Deadline is when the query ends in any case.
	Deadline time.Duration
	// Usual is the usual latency of one request.
	Usual time.Duration
	// Required is the least number of parts in an answer.
	Required int
	// MaxTargets bounds the targets for each shard.
	MaxTargets int
}

// Run is one query.
type Run struct {
	plan   Plan
	shards []shard
	parts  int
}

type shard struct {
	done bool
	// inFlight and sends count requests; ran counts those that a target may
	// have run.
	inFlight, sends, executed int
	failures                  int
	lastSent                  time.Duration
	// retryAt is when a shard without a request in flight is tried again; 0
	// means at once.
	retryAt time.Duration
	// unreachable is set while no target can get a request.
	unreachable bool
}

// New returns a query over a number of shards.
func New(p Plan, shards int) *Run {
	return &Run{plan: p, shards: make([]shard, shards)}
}

// RecordSent notes a request to a shard.
func (r *Run) RecordSent(i int, now time.Duration) {
	s := &r.shards[i]
	s.inFlight++
	s.sends++
	s.lastSent = now
	s.unreachable = false
}

// RecordUnsent notes that a shard got no request: no target, or no budget, allows one.
func (r *Run) RecordUnsent(i int, now time.Duration, reachable bool) {
	s := &r.shards[i]
	s.retryAt = now + noTargetPause
	if s.inFlight > 0 {
		// The next look comes a whole hedge delay later.
		s.lastSent = now
	}
	s.unreachable = !reachable
}

// RecordDenied notes that the retry budget allows a shard no further request now.
func (r *Run) RecordDenied(i int, now time.Duration) {
	s := &r.shards[i]
	s.retryAt = now + budgetDeniedPause
	s.lastSent = max(s.lastSent, now+budgetDeniedPause-r.HedgeDelay())
}

// NeedsPart reports whether a shard's part is needed for the required coverage: it
// has no request in flight, or the objective has passed.
func (r *Run) NeedsPart(i int, now time.Duration) bool {
	return r.parts < r.plan.Required && (now >= r.plan.End || r.shards[i].inFlight == 0)
}

// RecordPart notes a good reply. It reports whether it is the shard's first.
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

// RecordFailure notes a request without a good reply. Ran is set if a target may have
// run it.
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

// maxBackoffDoublings bounds the pause between repeats.
const maxBackoffDoublings = 3

// Parts returns the number of shards that are in.
func (r *Run) Parts() int { return r.parts }

// Done reports whether a shard is in.
func (r *Run) Done(i int) bool { return r.shards[i].done }

// InFlight reports whether a request to a shard is unanswered.
func (r *Run) InFlight(i int) bool { return r.shards[i].inFlight > 0 }

// HedgeDelay returns how long a request may take before the next one.
func (r *Run) HedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(r.plan.Usual)))
}

// Due returns the shards that need a request now: those without one in flight,
// and those whose request is overdue.
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
		return s.lastSent + r.HedgeDelay(), true
	}
}

// Decision says how the query goes on.
type Decision uint8

// Verdicts.
const (
	// Wait for replies until Next.
	Wait Decision = iota
	// Answer with the parts that are in.
	Answer
	// TimedOut: the deadline came with too few parts.
	TimedOut
	// Unreachable: too few shards have a target that could answer.
	Unreachable
)

// Decide decides at a moment.
func (r *Run) Decide(now time.Duration) Decision {
	enough := r.parts >= r.plan.Required
	switch {
	case r.parts == len(r.shards):
		return Answer
	case enough && (now >= r.plan.End || r.exhausted()):
		return Answer
	case now >= r.plan.Deadline:
		return TimedOut
	case !enough && r.reachable() < r.plan.Required:
		return Unreachable
	}
	return Wait
}

// exhausted reports whether no shard can still come in.
func (r *Run) exhausted() bool { return r.reachable() == r.parts }

// reachable counts the shards that are in or may still come in.
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

// NextCheck returns when the run needs a look even if no reply comes.
func (r *Run) NextCheck(now time.Duration) time.Duration {
	next := r.plan.Deadline
	if r.parts >= r.plan.Required || now < r.plan.End {
		next = min(next, r.plan.End)
	}
	for i := range r.shards {
		if at, ok := r.dueAt(i); ok {
			next = min(next, at)
		}
	}
	return next
}

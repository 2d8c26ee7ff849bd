package fanout

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/snapshots"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/target"
)

// attemptOutcome is the outcome of an attempt as reported to its leaf: what it shows
// about the target. The pass receives an attemptResult instead.
type attemptOutcome struct {
	result      *target.Result
	snapshot    model.SnapshotID
	fingerprint model.Fingerprint
	elapsed     time.Duration
	now         time.Duration
	// cancelledByPass is set if the pass cancelled the attempt, because another
	// attempt of the subquery answered first or the request was quarantined.
	cancelledByPass bool
	// expired is set if the query's deadline ended the attempt.
	expired bool
	alone   bool
	// lostBoot is the boot ID of the target process that died of this or another
	// request; empty if none died.
	lostBoot model.BootID
	// cold is set by finish if cold start still restricts the target's load.
	cold bool
}

// finish applies the outcome of an attempt to the state of the target and wakes a
// waiting subquery. It returns the change of warmth to report to control.
func (l *leaf) finish(t *targetState, outcome *attemptOutcome) warmth.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	inFlight := t.inFlight
	t.inFlight--
	if outcome.alone {
		t.alone = false
	}
	t.removeRunning(outcome.fingerprint)
	change := l.applyResult(t, outcome, inFlight)
	outcome.cold = !t.unrestricted()
	l.wakeOne()
	return change
}

func (t *targetState) removeRunning(f model.Fingerprint) {
	if i := slices.IndexFunc(t.running, func(r timedRequest) bool { return r.fingerprint == f }); i >= 0 {
		last := len(t.running) - 1
		t.running[i] = t.running[last]
		t.running = t.running[:last]
	}
}

func (l *leaf) applyResult(t *targetState, outcome *attemptOutcome, inFlight int) warmth.Change {
	switch outcome.result.Kind {
	case target.KindOK:
		return l.recordAnswer(t, outcome, inFlight)
	case target.KindNotHeld:
		t.snapshotRecord(outcome.snapshot).RecordRefusal(outcome.now)
	case target.KindShed:
		t.limit.RecordShed(outcome.now)
	case target.KindDraining:
		l.recordDraining(t, outcome)
	case target.KindCancelled:
		l.recordCancelled(t, outcome)
	case target.KindReset, target.KindUnreachable:
		l.recordFailure(t, outcome)
		return l.applyWarmthChange(t, t.warmth.RecordConnectionLoss(), outcome.now)
	case target.KindFailed, target.KindMismatched:
		l.recordFailure(t, outcome)
	}
	return warmth.Unchanged
}

func (l *leaf) recordAnswer(t *targetState, outcome *attemptOutcome, inFlight int) warmth.Change {
	if outcome.snapshot != "" {
		t.snapshotRecord(outcome.snapshot).RecordAnswer()
	}
	l.recentAnswers.add(outcome.fingerprint, outcome.now)
	t.answersSinceReport++
	boot := t.warmth.Boot()
	change := l.applyWarmthChange(t, t.warmth.RecordAnswer(warmth.Answer{
		Boot: outcome.result.Meta.Boot, State: outcome.result.Meta.State, Latency: outcome.elapsed, Usual: l.medianLatency,
	}), outcome.now)
	if change == warmth.TurnedCold && boot == t.warmth.Boot() {
		l.collection.turnedColdAt.Store(int64(outcome.now))
	}
	t.meanLatency.Add(outcome.elapsed, outcome.now)
	t.limit.RecordAnswer(inFlight, t.meanLatency.Value(outcome.now, l.expectedLatency()), l.medianLatency, outcome.now)
	if t.ejection.RecordSuccess() {
		events.Emit(events.TargetReadmitted, t.target.ID)
	}
	if t.unrestricted() {
		l.sampleLatency(outcome.elapsed)
	}
	return change
}

// sampleLatency adds the latency of a warm target to the leaf's distribution.
func (l *leaf) sampleLatency(elapsed time.Duration) {
	l.latencies.Add(elapsed)
	l.samples++
	if l.samples%samplesPerRefresh == 0 || l.medianLatency == 0 {
		l.medianLatency = l.latencies.Quantile(medianQuantile)
		l.hedgeDelay, l.hedgingEnabled = l.collection.hedgeDelay(&l.latencies)
	}
}

func (l *leaf) recordDraining(t *targetState, outcome *attemptOutcome) {
	if !t.draining {
		events.Emit(events.TargetLeaving, t.target.ID, "target refused a request because it is draining")
	}
	t.draining, t.drainingAt, t.drainingBoot = true, outcome.now, outcome.result.Meta.Boot
}

// recordCancelled counts the elapsed time of an attempt that lost to another one or
// reached the deadline as a lower bound of its latency. An attempt that was still
// open at the deadline also counts as failed.
func (l *leaf) recordCancelled(t *targetState, outcome *attemptOutcome) {
	if outcome.cancelledByPass || outcome.expired {
		t.meanLatency.AddLowerBound(outcome.elapsed, outcome.now)
	}
	if outcome.expired {
		l.recordFailure(t, outcome)
	}
}

func (l *leaf) recordFailure(t *targetState, outcome *attemptOutcome) {
	if t.ejection.RecordFailure(outcome.now) {
		events.Emit(events.TargetEjected, t.target.ID, outcome.result.Kind.String())
	}
}

// bestHolding returns the best Holding of a snapshot among the leaf's targets that are
// in service, not draining and have a grant (see acceptsWork): Held, then HoldingUnknown, then NotHeld.
func (l *leaf) bestHolding(id model.SnapshotID, now time.Duration) snapshots.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := snapshots.NotHeld
	for _, t := range l.targets {
		if !t.inService || t.draining || t.grant.Connections == 0 {
			continue
		}
		switch t.holding(id, now) {
		case snapshots.Held:
			return snapshots.Held
		case snapshots.HoldingUnknown:
			best = snapshots.HoldingUnknown
		}
	}
	return best
}

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

// attemptOutcome is the outcome of an attempt as reported to its leaf.
type attemptOutcome struct {
	result      *target.Result
	snapshot    model.SnapshotID
	fingerprint model.Fingerprint
	elapsed     time.Duration
	now         time.Duration
	// superseded is set if another attempt of the subquery answered first.
	superseded bool
	// expired is set if the query's deadline ended the attempt.
	expired bool
	alone   bool
	// lostBoot is the incarnation of the target that died of this or another
	// request; empty if none died.
	lostBoot model.BootID
	// cold is set by finish if cold start still restricts the target's load.
	cold bool
}

// finish applies the outcome of an attempt to the state of the target and wakes a
// waiting subquery. It returns the change of warmth to report to control.
func (l *leaf) finish(t *targetState, e *attemptOutcome) warmth.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	inFlight := t.inFlight
	t.inFlight--
	if e.alone {
		t.alone = false
	}
	t.removeRunning(e.fingerprint)
	change := l.applyResult(t, e, inFlight)
	e.cold = !t.unrestricted()
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

func (l *leaf) applyResult(t *targetState, e *attemptOutcome, inFlight int) warmth.Change {
	switch e.result.Kind {
	case target.KindOK:
		return l.recordAnswer(t, e, inFlight)
	case target.KindNotHeld:
		t.snapshotRecord(e.snapshot).RecordRefusal(e.now)
	case target.KindShed:
		t.limit.RecordShed(e.now)
	case target.KindDraining:
		l.recordDraining(t, e)
	case target.KindCancelled:
		l.recordCancelled(t, e)
	case target.KindReset, target.KindUnreachable:
		l.recordFailure(t, e)
		return l.applyWarmthChange(t, t.warmth.RecordConnectionLoss(), e.now)
	case target.KindFailed, target.KindMismatched:
		l.recordFailure(t, e)
	}
	return warmth.Unchanged
}

func (l *leaf) recordAnswer(t *targetState, e *attemptOutcome, inFlight int) warmth.Change {
	if e.snapshot != "" {
		t.snapshotRecord(e.snapshot).RecordAnswer()
	}
	l.recentAnswers.add(e.fingerprint, e.now)
	t.answersSinceReport++
	boot := t.warmth.Boot()
	change := l.applyWarmthChange(t, t.warmth.RecordAnswer(warmth.Answer{
		Boot: e.result.Meta.Boot, State: e.result.Meta.State, Latency: e.elapsed, Usual: l.medianLatency,
	}), e.now)
	if change == warmth.TurnedCold && boot == t.warmth.Boot() {
		l.collection.turnedColdAt.Store(int64(e.now))
	}
	t.meanLatency.Add(e.elapsed, e.now)
	t.limit.RecordAnswer(inFlight, t.meanLatency.Value(e.now, l.expectedLatency()), l.medianLatency, e.now)
	if t.ejection.RecordSuccess() {
		events.Emit(events.TargetReadmitted, t.target.ID)
	}
	if t.unrestricted() {
		l.sampleLatency(e.elapsed)
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

func (l *leaf) recordDraining(t *targetState, e *attemptOutcome) {
	if !t.draining {
		events.Emit(events.TargetLeaving, t.target.ID, "target refused a request because it is draining")
	}
	t.draining, t.drainingAt, t.drainingBoot = true, e.now, e.result.Meta.Boot
}

// recordCancelled counts the elapsed time of an attempt that lost to another one or
// reached the deadline as a lower bound of its latency. An attempt that was still
// open at the deadline also counts as failed.
func (l *leaf) recordCancelled(t *targetState, e *attemptOutcome) {
	if e.superseded || e.expired {
		t.meanLatency.AddLowerBound(e.elapsed, e.now)
	}
	if e.expired {
		l.recordFailure(t, e)
	}
}

func (l *leaf) recordFailure(t *targetState, e *attemptOutcome) {
	if t.ejection.RecordFailure(e.now) {
		events.Emit(events.TargetEjected, t.target.ID, e.result.Kind.String())
	}
}

// bestHolding returns the best Holding of a snapshot among the leaf's targets that are
// admitted, not draining and have a grant: Held, then HoldingUnknown, then NotHeld.
func (l *leaf) bestHolding(id model.SnapshotID, now time.Duration) snapshots.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := snapshots.NotHeld
	for _, t := range l.targets {
		if !t.admitted || t.draining || t.grant.Connections == 0 {
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

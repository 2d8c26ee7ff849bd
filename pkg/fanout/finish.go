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

// ended is what an attempt tells its leaf.
type ended struct {
	result      *target.Result
	snapshot    model.SnapshotID
	fingerprint model.Fingerprint
	elapsed     time.Duration
	now         time.Duration
	// beaten is set when another attempt answered first.
	beaten bool
	// expired is set when the query's deadline ended the attempt.
	expired bool
	alone   bool
	// lost is the incarnation that died of this or another request, if any.
	lost model.BootID
	// cold is set by finish if the target does not count as warm.
	cold bool
}

// finish takes in the end of an attempt and wakes a waiting leg. It returns
// the signs that go to control.
func (l *leaf) finish(t *targetState, e *ended) warmth.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	inFlight := t.inFlight
	t.inFlight--
	if e.alone {
		t.alone = false
	}
	t.stopRunning(e.fingerprint)
	change := l.learn(t, e, inFlight)
	e.cold = !t.full()
	l.wakeOne()
	return change
}

func (t *targetState) stopRunning(f model.Fingerprint) {
	if i := slices.IndexFunc(t.running, func(r running) bool { return r.fingerprint == f }); i >= 0 {
		last := len(t.running) - 1
		t.running[i] = t.running[last]
		t.running = t.running[:last]
	}
}

func (l *leaf) learn(t *targetState, e *ended, inFlight int) warmth.Change {
	switch e.result.Kind {
	case target.KindOK:
		return l.answered(t, e, inFlight)
	case target.KindNotHeld:
		t.record(e.snapshot).RecordRefusal(e.now)
	case target.KindShed:
		t.limit.RecordShed(e.now)
	case target.KindDraining:
		l.drained(t, e)
	case target.KindCancelled:
		l.cancelled(t, e)
	case target.KindReset, target.KindUnreachable:
		l.failed(t, e)
		return l.noteWarmth(t, t.warmth.RecordConnectionLoss(), e.now)
	case target.KindFailed, target.KindMismatched:
		l.failed(t, e)
	}
	return warmth.Unchanged
}

func (l *leaf) answered(t *targetState, e *ended, inFlight int) warmth.Change {
	if e.snapshot != "" {
		t.record(e.snapshot).RecordAnswer()
	}
	l.answers.add(e.fingerprint, e.now)
	t.warmAnswers++
	boot := t.warmth.Boot()
	change := l.noteWarmth(t, t.warmth.RecordAnswer(warmth.Answer{
		Boot: e.result.Meta.Boot, State: e.result.Meta.State, Latency: e.elapsed, Usual: l.usual,
	}), e.now)
	if change == warmth.TurnedCold && boot == t.warmth.Boot() {
		l.collection.coldAt.Store(int64(e.now))
	}
	t.mean.Add(e.elapsed, e.now)
	t.limit.RecordAnswer(inFlight, t.mean.Value(e.now, l.prior()), l.usual, e.now)
	if t.ejection.RecordSuccess() {
		events.Emit(events.TargetReadmitted, t.target.ID)
	}
	if t.full() {
		l.sample(e.elapsed)
	}
	return change
}

// sample counts a latency of a warm target.
func (l *leaf) sample(elapsed time.Duration) {
	l.latencies.Add(elapsed)
	l.samples++
	if l.samples%refreshSamples == 0 || l.usual == 0 {
		l.usual = l.latencies.Quantile(medianQuantile)
		l.delay, l.hedged = l.collection.hedgeDelay(&l.latencies)
	}
}

func (l *leaf) drained(t *targetState, e *ended) {
	if !t.draining {
		events.Emit(events.TargetLeaving, t.target.ID, "refused work")
	}
	t.draining, t.drainingAt, t.drainingBoot = true, e.now, e.result.Meta.Boot
}

// cancelled learns that the attempt would have taken longer than it did. An
// attempt that was still open at the deadline counts as failed.
func (l *leaf) cancelled(t *targetState, e *ended) {
	if e.beaten || e.expired {
		t.mean.AddLowerBound(e.elapsed, e.now)
	}
	if e.expired {
		l.failed(t, e)
	}
}

func (l *leaf) failed(t *targetState, e *ended) {
	if t.ejection.RecordFailure(e.now) {
		events.Emit(events.TargetEjected, t.target.ID, e.result.Kind.String())
	}
}

// holding returns the best holding of a snapshot among the open targets.
func (l *leaf) holding(id model.SnapshotID, now time.Duration) snapshots.Holding {
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

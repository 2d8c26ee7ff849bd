package fanout

import (
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/eject"
	"radishturn.example/radishturn/pkg/query/latency"
	"radishturn.example/radishturn/pkg/query/limit"
	"radishturn.example/radishturn/pkg/query/snapshots"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// maxAttempts bounds the attempts of one query at one leaf.
	maxAttempts = 4
	// maxWaiters bounds the requests that wait for capacity at one leaf.
	maxWaiters = 256
	// maxConsideredTargets bounds the targets of one leaf that are considered for
	// an attempt.
	maxConsideredTargets = 16
	// samplesPerRefresh is how many answers arrive between two computations of the
	// leaf's median latency.
	samplesPerRefresh = 32
	medianQuantile    = 0.5
	// stallFactor is how many times the leaf's median latency a request may be in
	// flight before its target counts as stalled.
	stallFactor = 4
	// reservationTimeout is how long a target stays reserved for a suspect request
	// that does not renew the reservation.
	reservationTimeout = 5 * pollInterval
)

// targetState is what this instance knows of one target. It is guarded by the
// mutex of its leaf, except for target, client and leaf, which never change.
type targetState struct {
	target model.Target
	client *target.Client
	leaf   *leaf

	// inService is false for targets that an operator or the platform took out of
	// service.
	inService bool
	// draining is set when the target refused a request because it is about to
	// stop. Targets that the platform lists as Leaving or that operators drained
	// (View.Drained) are not inService.
	draining     bool
	drainingAt   time.Duration
	drainingBoot model.BootID
	// drainHinted is set while the health hint says that the target is draining.
	drainHinted bool

	grant view.Grant
	// inFlight counts the requests and health reads in flight; running holds the
	// requests only.
	inFlight int
	// locallyLimited is set when the target shows that it is cold, or may have
	// restarted. It is cleared once a grant's ColdLoad is at most localColdLoad and it
	// is known whether the target restarted, or once the target is warm or is known
	// not to have restarted. localColdLoad limits the cold load meanwhile, to this
	// instance's share of the load that a target is given right after its start.
	locallyLimited bool
	localColdLoad  int
	// answersSinceReport counts the answers since the last report of the target in
	// Evidence.Warm, which also holds cold targets that handle their load;
	// warmReportedAt is the time of that report.
	answersSinceReport int
	warmReportedAt     time.Duration
	// alone is set while a suspect request has exclusive use of the target.
	alone bool
	// reservedFor is the suspect request that waits for the target to become idle.
	// The reservation expires at reservedUntil unless it is renewed.
	reservedFor   model.Fingerprint
	reservedUntil time.Duration

	meanLatency latency.Mean
	ejection    eject.State
	warmth      warmth.State
	limit       limit.State
	snapshots   map[model.SnapshotID]*snapshots.Record
	running     []timedRequest
	deathCheck  *deathCheck
	// readingHealth is set while a health hint is read.
	readingHealth bool
}

// timedRequest is a request in flight at a target and the time at which it was
// sent, or an answered request and the time of its answer.
type timedRequest struct {
	fingerprint model.Fingerprint
	at          time.Duration
}

// leaf is the state of one leaf and its targets. Each leaf has a lock of its own,
// so that decisions for different leaves do not contend.
type leaf struct {
	id         model.LeafID
	collection *collection

	mu             sync.Mutex
	targets        []*targetState
	latencies      latency.Histogram
	medianLatency  time.Duration
	hedgeDelay     time.Duration
	hedgingEnabled bool
	samples        int
	recentAnswers  recentAnswers
	waiters        []waiter
}

// stalled reports whether a request has been in flight for much longer than the
// median latency. It detects a target that froze or turned cold before its
// answers show that.
func (t *targetState) stalled(now, median time.Duration) bool {
	if median == 0 {
		return false
	}
	return slices.ContainsFunc(t.running, func(r timedRequest) bool { return now-r.at > stallFactor*median })
}

// acceptsWork reports whether the target may receive new requests at all.
func (t *targetState) acceptsWork() bool {
	return t.inService && !t.draining && t.grant.Connections > 0
}

// loadLimit returns how many requests this instance may have in flight at the
// target, given whether it is warm.
func (t *targetState) loadLimit() int {
	switch {
	case t.warmth.Warm():
		return t.limit.Max()
	case t.locallyLimited:
		return min(t.grant.ColdLoad, t.localColdLoad)
	}
	return t.grant.ColdLoad
}

// unmeasured reports whether the target is not known to be warm and has no latency
// samples.
func (t *targetState) unmeasured() bool { return !t.warmth.Warm() && !t.meanLatency.HasSample() }

// unrestricted reports whether cold start does not limit the load of the target.
func (t *targetState) unrestricted() bool { return t.loadLimit() >= t.limit.Max() }

// hasCapacity reports whether the target can take the request now.
func (t *targetState) hasCapacity(required *targetRequirements, now time.Duration) bool {
	switch {
	case t.alone || t.reservedForOther(required, now) || !t.limit.Allows(t.inFlight, now):
		return false
	case required.alone:
		return t.inFlight == 0
	case !t.unrestricted():
		return !required.hedge && t.inFlight < t.loadLimit()
	}
	return true
}

func (t *targetState) holding(id model.SnapshotID, now time.Duration) snapshots.Holding {
	if id == "" {
		return snapshots.Held
	}
	r := t.snapshots[id]
	if r == nil {
		return snapshots.HoldingUnknown
	}
	return r.Holding(now)
}

func (t *targetState) snapshotRecord(id model.SnapshotID) *snapshots.Record {
	r := t.snapshots[id]
	if r == nil {
		r = new(snapshots.Record)
		t.snapshots[id] = r
	}
	return r
}

// expectedLatency is the latency that a target without samples is expected to
// have.
func (l *leaf) expectedLatency() time.Duration {
	if l.medianLatency > 0 {
		return l.medianLatency
	}
	return time.Millisecond
}

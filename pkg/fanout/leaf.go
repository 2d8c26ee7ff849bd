package fanout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/eject"
	"radishturn.example/radishturn/pkg/query/latency"
	"radishturn.example/radishturn/pkg/query/limit"
	"radishturn.example/radishturn/pkg/query/pick"
	"radishturn.example/radishturn/pkg/query/snapshots"
	"radishturn.example/radishturn/pkg/query/versions"
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

// waiter is a subquery of a query that waits for capacity.
type waiter struct {
	pass     *pass
	subquery int
}

// targetRequirements are what an attempt requires of a target.
type targetRequirements struct {
	// snapshot is empty for an order.
	snapshot model.SnapshotID
	choice   versions.Choice
	// tried are the targets of earlier attempts. They are used only if there are no
	// others, and never for a hedge.
	tried []*targetState
	// hedgedZone is the availability zone of the attempt that is hedged; empty if
	// this is no hedge.
	hedgedZone model.AvailabilityZoneID
	hedge      bool
	// waitForColdTargets makes the request wait if all targets that could run it are
	// cold and this instance has no share of their load.
	waitForColdTargets bool
	// alone requires a target without other requests.
	alone       bool
	fingerprint model.Fingerprint
}

// availability says whether a target was chosen, and if not, why.
type availability int

const (
	// available means that a target was chosen.
	available availability = iota
	// noTarget means that the leaf has no target for the request, or that the lease
	// forbids sending it.
	noTarget
	// noSnapshot means that the leaf has no usable target, and at least one that
	// lacks the snapshot.
	noSnapshot
	// noCapacity means that no target may be sent the request now, but that one may
	// be later.
	noCapacity
)

// acquireTarget chooses a target and counts the attempt as in flight there.
func (l *leaf) acquireTarget(required *targetRequirements, random *rand.Rand, now time.Duration) (*targetState, availability) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquireTargetLocked(required, random, now)
}

// acquireTargetLocked is acquireTarget for callers that hold the mutex.
func (l *leaf) acquireTargetLocked(required *targetRequirements, random *rand.Rand, now time.Duration) (*targetState, availability) {
	t, why := l.chooseTarget(required, random, now)
	if why == noCapacity && required.alone {
		l.reserve(required, now)
	}
	if why != available {
		return nil, why
	}
	t.inFlight++
	t.alone = required.alone
	if t.reservedFor == required.fingerprint {
		t.reservedFor = 0
	}
	t.running = append(t.running, timedRequest{required.fingerprint, now})
	return t, available
}

// reserve reserves the target with the fewest requests in flight, so that it
// receives no new requests and becomes idle.
func (l *leaf) reserve(required *targetRequirements, now time.Duration) {
	var buffer [maxConsideredTargets]*targetState
	usable, why := l.usableTargets(required, buffer[:0], now)
	if why != available {
		return
	}
	leastBusy := slices.MinFunc(usable, func(a, b *targetState) int { return a.inFlight - b.inFlight })
	if leastBusy.reservedForOther(required, now) {
		return
	}
	leastBusy.reservedFor, leastBusy.reservedUntil = required.fingerprint, now+reservationTimeout
}

// reservedForOther reports whether the target is reserved for another request.
func (t *targetState) reservedForOther(required *targetRequirements, now time.Duration) bool {
	return t.reservedFor != 0 && now < t.reservedUntil && !(required.alone && t.reservedFor == required.fingerprint)
}

// chooseTarget returns the target for an attempt.
func (l *leaf) chooseTarget(required *targetRequirements, random *rand.Rand, now time.Duration) (*targetState, availability) {
	var buffer [maxConsideredTargets]*targetState
	usable, why := l.usableTargets(required, buffer[:0], now)
	if why != available {
		return nil, why
	}
	var candidateBuffer [maxConsideredTargets]pick.Candidate
	candidates := candidateBuffer[:0]
	for i, t := range usable {
		if !t.hasCapacity(required, now) {
			continue
		}
		candidates = append(candidates, pick.Candidate{
			Index:            i,
			AvailabilityZone: t.target.AvailabilityZone,
			Latency:          t.meanLatency.Value(now, l.expectedLatency()),
			InFlight:         t.inFlight,
			// Targets restricted by cold start count as well, whatever their samples.
			Unproven: !t.unrestricted() || t.unmeasured(),
		})
	}
	index, ok := 0, false
	if required.hedge {
		index, ok = pick.ChooseHedge(candidates, required.hedgedZone)
	} else {
		index, ok = pick.Choose(candidates, random)
	}
	if !ok {
		return nil, noCapacity
	}
	return usable[index], available
}

// usableTargets returns the targets that may run the request once they have
// capacity. Ejected targets are included only if there are no others, so that
// ejection never removes the last targets of a leaf.
func (l *leaf) usableTargets(required *targetRequirements, buffer []*targetState, now time.Duration) ([]*targetState, availability) {
	usable, why := buffer, noTarget
	noColdLoad := false
	for _, t := range l.targets {
		if !t.acceptsWork() || required.choice.Rank(t.target.Version) == versions.Excluded || len(usable) == maxConsideredTargets {
			continue
		}
		if t.holding(required.snapshot, now) == snapshots.NotHeld {
			why = noSnapshot
			continue
		}
		if t.loadLimit() == 0 {
			noColdLoad = true
			continue
		}
		usable = append(usable, t)
	}
	switch {
	case len(usable) == 0 && noColdLoad && required.waitForColdTargets:
		return nil, noCapacity
	case len(usable) == 0:
		return nil, why
	}
	usable = prefer(usable, func(t *targetState) bool { return !t.drainHinted })
	usable = prefer(usable, func(t *targetState) bool { return required.choice.Rank(t.target.Version) == versions.Primary })
	usable = prefer(usable, func(t *targetState) bool { return !t.ejection.Ejected(t.inFlight, now) })
	usable = prefer(usable, func(t *targetState) bool { return !t.stalled(now, l.medianLatency) })
	candidates := prefer(usable, func(t *targetState) bool { return !slices.Contains(required.tried, t) })
	if required.hedge && slices.Contains(required.tried, candidates[0]) {
		return nil, noTarget
	}
	return candidates, available
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

// prefer moves the targets that satisfy preferred to the front and returns them,
// or all targets if none does.
func prefer(targets []*targetState, preferred func(*targetState) bool) []*targetState {
	n := 0
	for i, t := range targets {
		if preferred(t) {
			targets[n], targets[i] = targets[i], targets[n]
			n++
		}
	}
	if n == 0 {
		return targets
	}
	return targets[:n]
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

// enqueue queues a subquery until a target of the leaf has capacity. It reports false
// if the queue is full.
func (l *leaf) enqueue(p *pass, subquery int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) >= maxWaiters {
		return false
	}
	l.waiters = append(l.waiters, waiter{p, subquery})
	return true
}

// wakeOne wakes the subquery that has waited longest, since capacity may be available.
func (l *leaf) wakeOne() {
	for len(l.waiters) > 0 {
		w := l.waiters[0]
		l.waiters[0] = waiter{}
		l.waiters = l.waiters[1:]
		if w.pass.ctx.Err() == nil {
			w.pass.queue.addWakeup(w.subquery)
			return
		}
	}
	l.waiters = nil
}

// removeWaiters removes the subqueries of a pass from the queue.
func (l *leaf) removeWaiters(p *pass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return w.pass == p })
}

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
	// maxSlots bounds the targets of one leaf that are considered.
	maxSlots = 16
	// refreshSamples is how many answers arrive between two computations of the
	// leaf's median.
	refreshSamples = 32
	medianQuantile = 0.5
	// stallFactor times the usual latency without an answer makes a target stalled.
	stallFactor = 4
	// reservationLasts is how long a target is kept for a suspect request that
	// does not ask again.
	reservationLasts = 5 * capacityPoll
)

// targetState is what this instance knows of one target. It is guarded by the
// mutex of its leaf; the client and the identity never change.
type targetState struct {
	target model.Target
	client *target.Client
	leaf   *leaf

	// admitted is false for targets that operators or the platform took out.
	admitted bool
	// draining is set when the target refused work because it is about to stop.
	draining     bool
	drainingAt   time.Duration
	drainingBoot model.BootID
	// drainHinted is set while the health hint says that the target drains.
	drainHinted bool

	grant    view.Grant
	inFlight int
	// clamped is set from a sign of cold until control has answered it. The
	// cold load is then this instance's part of what a target bears at first.
	clamped     bool
	clampedLoad int
	// warmAnswers counts the answers since warmth was last reported.
	warmAnswers  int
	warmReported time.Duration
	// alone is set while a suspect request has the target to itself.
	alone bool
	// reservedFor is the suspect request that waits for the target to be idle;
	// the reservation ends at reservedUntil unless it is renewed.
	reservedFor   model.Fingerprint
	reservedUntil time.Duration

	mean      latency.Mean
	ejection  eject.State
	warmth    warmth.State
	limit     limit.State
	snapshots map[model.SnapshotID]*snapshots.Record
	running   []running
	probe     *deathProbe
	// readingHealth is set while a hint is read.
	readingHealth bool
}

// running is a request in flight at a target.
type running struct {
	fingerprint model.Fingerprint
	since       time.Duration
}

// leaf is one shard of the decisions: the targets of a leaf, under one lock.
type leaf struct {
	id         model.LeafID
	collection *collection

	mu        sync.Mutex
	targets   []*targetState
	latencies latency.Histogram
	usual     time.Duration
	delay     time.Duration
	hedged    bool
	samples   int
	answers   answers
	waiters   []waiter
}

// waiter is a leg of a query that waits for capacity.
type waiter struct {
	run *run
	leg int
}

// need is what an attempt asks of a target.
type need struct {
	snapshot model.SnapshotID
	choice   versions.Choice
	// tried are the targets of earlier attempts, which come last.
	tried []*targetState
	// late is the availability zone of the attempt that is hedged; empty for others.
	late  model.AvailabilityZoneID
	hedge bool
	// patient requests wait for a share of what cold targets bear.
	patient bool
	// alone asks for a target without other requests.
	alone       bool
	fingerprint model.Fingerprint
}

// availability says why no target was chosen.
type availability int

const (
	// available means that a target was chosen.
	available availability = iota
	// noTarget means that the leaf has no target for the request.
	noTarget
	// noSnapshot means that no target of the leaf holds the snapshot.
	noSnapshot
	// noCapacity means that every target of the leaf is busy.
	noCapacity
)

// start chooses a target and counts the attempt at it.
func (l *leaf) start(n *need, random *rand.Rand, now time.Duration) (*targetState, availability) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startLocked(n, random, now)
}

func (l *leaf) startLocked(n *need, random *rand.Rand, now time.Duration) (*targetState, availability) {
	t, why := l.choose(n, random, now)
	if why == noCapacity && n.alone {
		l.reserve(n, now)
	}
	if why != available {
		return nil, why
	}
	t.inFlight++
	t.alone = n.alone
	if t.reservedFor == n.fingerprint {
		t.reservedFor = 0
	}
	t.running = append(t.running, running{n.fingerprint, now})
	return t, available
}

// reserve keeps new requests from the target that is idle soonest.
func (l *leaf) reserve(n *need, now time.Duration) {
	var space [maxSlots]*targetState
	usable, why := l.usable(n, space[:0], now)
	if why != available {
		return
	}
	soonest := slices.MinFunc(usable, func(a, b *targetState) int { return a.inFlight - b.inFlight })
	if soonest.reserved(n, now) {
		return
	}
	soonest.reservedFor, soonest.reservedUntil = n.fingerprint, now+reservationLasts
}

// reserved reports whether the target is kept for another request.
func (t *targetState) reserved(n *need, now time.Duration) bool {
	return t.reservedFor != 0 && now < t.reservedUntil && !(n.alone && t.reservedFor == n.fingerprint)
}

// choose finds the target for an attempt.
func (l *leaf) choose(n *need, random *rand.Rand, now time.Duration) (*targetState, availability) {
	var space [maxSlots]*targetState
	usable, why := l.usable(n, space[:0], now)
	if why != available {
		return nil, why
	}
	var candidateSpace [maxSlots]pick.Candidate
	candidates := candidateSpace[:0]
	for i, t := range usable {
		if !t.hasCapacity(n, now) {
			continue
		}
		candidates = append(candidates, pick.Candidate{
			Index:            i,
			AvailabilityZone: t.target.AvailabilityZone,
			Latency:          t.mean.Value(now, l.prior()),
			InFlight:         t.inFlight,
			Unproven:         !t.full() || t.unwarmed(),
		})
	}
	index, ok := 0, false
	if n.hedge {
		index, ok = pick.ChooseHedge(candidates, n.late)
	} else {
		index, ok = pick.Choose(candidates, random)
	}
	if !ok {
		return nil, noCapacity
	}
	return usable[index], available
}

// usable returns the targets that may run the request once they have
// capacity. Ejected targets are among them only if there are no others, so
// that ejection never takes the last targets of a leaf.
func (l *leaf) usable(n *need, space []*targetState, now time.Duration) ([]*targetState, availability) {
	usable, why := space, noTarget
	withoutCredit := false
	for _, t := range l.targets {
		if !t.open() || n.choice.Rank(t.target.Version) == versions.Excluded || len(usable) == maxSlots {
			continue
		}
		if t.holding(n.snapshot, now) == snapshots.NotHeld {
			why = noSnapshot
			continue
		}
		if t.load() == 0 {
			withoutCredit = true
			continue
		}
		usable = append(usable, t)
	}
	switch {
	case len(usable) == 0 && withoutCredit && n.patient:
		return nil, noCapacity
	case len(usable) == 0:
		return nil, why
	}
	usable = prefer(usable, func(t *targetState) bool { return !t.drainHinted })
	usable = prefer(usable, func(t *targetState) bool { return n.choice.Rank(t.target.Version) == versions.Primary })
	usable = prefer(usable, func(t *targetState) bool { return !t.ejection.Ejected(t.inFlight, now) })
	usable = prefer(usable, func(t *targetState) bool { return !t.stalled(now, l.usual) })
	untried := prefer(usable, func(t *targetState) bool { return !slices.Contains(n.tried, t) })
	if n.hedge && slices.Contains(n.tried, untried[0]) {
		return nil, noTarget
	}
	return untried, available
}

// stalled reports whether a request has been in flight for much longer than
// usual. It tells of a target that froze or turned cold before an answer does.
func (t *targetState) stalled(now, usual time.Duration) bool {
	if usual == 0 {
		return false
	}
	return slices.ContainsFunc(t.running, func(r running) bool { return now-r.since > stallFactor*usual })
}

// prefer moves the targets that fulfil the wish to the front and returns them,
// or all if there are none.
func prefer(targets []*targetState, wish func(*targetState) bool) []*targetState {
	n := 0
	for i, t := range targets {
		if wish(t) {
			targets[n], targets[i] = targets[i], targets[n]
			n++
		}
	}
	if n == 0 {
		return targets
	}
	return targets[:n]
}

// open reports whether the target may get new work at all.
func (t *targetState) open() bool {
	return t.admitted && !t.draining && t.grant.Connections > 0
}

// load returns how many requests at a time the target bears from this
// instance, as far as cold start is concerned.
func (t *targetState) load() int {
	switch {
	case t.warmth.Warm():
		return t.limit.Max()
	case t.clamped:
		return min(t.grant.ColdLoad, t.clampedLoad)
	}
	return t.grant.ColdLoad
}

// unwarmed reports whether the target has not yet shown that it is warm.
func (t *targetState) unwarmed() bool { return !t.warmth.Warm() && !t.mean.HasSample() }

// full reports whether cold start does not restrict the target.
func (t *targetState) full() bool { return t.load() >= t.limit.Max() }

// hasCapacity reports whether the target can take the request now.
func (t *targetState) hasCapacity(n *need, now time.Duration) bool {
	switch {
	case t.alone || t.reserved(n, now) || !t.limit.Allows(t.inFlight, now):
		return false
	case n.alone:
		return t.inFlight == 0
	case !t.full():
		return !n.hedge && t.inFlight < t.load()
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

func (t *targetState) record(id model.SnapshotID) *snapshots.Record {
	r := t.snapshots[id]
	if r == nil {
		r = new(snapshots.Record)
		t.snapshots[id] = r
	}
	return r
}

// prior is the latency that a target without samples is expected to have.
func (l *leaf) prior() time.Duration {
	if l.usual > 0 {
		return l.usual
	}
	return time.Millisecond
}

// wait queues a leg until a target of the leaf has capacity. It reports false
// if the queue is full.
func (l *leaf) wait(r *run, leg int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) >= maxWaiters {
		return false
	}
	l.waiters = append(l.waiters, waiter{r, leg})
	return true
}

// wakeOne tells the longest waiting leg that capacity may be free.
func (l *leaf) wakeOne() {
	for len(l.waiters) > 0 {
		w := l.waiters[0]
		l.waiters[0] = waiter{}
		l.waiters = l.waiters[1:]
		if w.run.ctx.Err() == nil {
			w.run.mail.wake(w.leg)
			return
		}
	}
	l.waiters = nil
}

// leave removes the legs of a run that has ended.
func (l *leaf) leave(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return w.run == r })
}

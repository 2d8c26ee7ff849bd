package fanout

import (
	"math/rand/v2"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/pick"
	"radishturn.example/radishturn/pkg/query/snapshots"
	"radishturn.example/radishturn/pkg/query/versions"
)

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

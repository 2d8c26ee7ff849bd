package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// minWeight is the weight of one reply in the means of slowness and failures.
	// It grows with the time since the last reply, in evidenceTime, up to the
	// bound of either mean: a target that gets few requests is judged by few. A
	// slow reply says less, since targets stand still for a moment at times.
	minWeight         = 0.15
	maxSlownessWeight = 0.3
	maxFailureWeight  = 0.7
	evidenceTime      = 1500 * time.Millisecond
	// minMemory and maxMemory bound the time after which old evidence has lost
	// most of its weight, so that a target that has recovered is tried again. It
	// is longer for targets that get few requests.
	minMemory = 4 * time.Second
	maxMemory = 10 * time.Second
	// memoryGaps is the memory in mean times between two replies.
	memoryGaps = 3
	// gapWeight is the weight of one gap in their mean.
	gapWeight = 0.2
	// overdueFactor is how many times the usual latency an unanswered request
	// may take before it counts against the target.
	overdueFactor = 1.8
	// failureCost is what a certain failure costs, in usual latencies.
	failureCost = 6
	// firstEjection and longestEjection bound the time for which a target that
	// cannot be reached gets nothing.
	firstEjection   = 150 * time.Millisecond
	longestEjection = 2 * time.Second
	// shedPause is how long a target that sheds gets nothing if others are there.
	shedPause = 60 * time.Millisecond
	// maxSlowness bounds the evidence of one slow reply.
	maxSlowness = 30
)

// health is what this instance has seen of one target. It is pure; times are on
// the monotonic clock.
type health struct {
	// slowness is the mean latency in multiples of the usual one.
	slowness float64
	failures float64
	seen     time.Duration
	// gap is the mean time between replies.
	gap, lastReply time.Duration
	// pending are the times at which unanswered requests were sent, with the
	// usual latency of their route.
	pending []pendingRequest
	// unreachable counts failures to connect in a row.
	unreachable  int
	ejectedUntil time.Duration
	shedUntil    time.Duration
	// queued is what the target last told of its work, beside ours.
	queued      int
	queuedUntil time.Duration
	slots       int
}

type pendingRequest struct {
	sent, usual time.Duration
}

// loadMemory is how long a target's statement of its load counts.
const loadMemory = 200 * time.Millisecond

// age moves the evidence towards that of a healthy target.
func (h *health) age(now time.Duration) {
	if h.slowness == 0 {
		h.slowness = 1
	}
	if now <= h.seen {
		return
	}
	memory := min(maxMemory, max(minMemory, memoryGaps*h.gap))
	keep := math.Exp(-float64(now-h.seen) / float64(memory))
	h.slowness = 1 + (h.slowness-1)*keep
	h.failures *= keep
	h.seen = now
}

func (h *health) begin(now, usual time.Duration) {
	h.pending = append(h.pending, pendingRequest{sent: now, usual: usual})
}

func (h *health) end(sent time.Duration) {
	if i := slices.IndexFunc(h.pending, func(p pendingRequest) bool { return p.sent == sent }); i >= 0 {
		h.pending = slices.Delete(h.pending, i, i+1)
	}
}

// weigh returns the weight of a reply that comes now, before it is bounded.
func (h *health) weigh(now time.Duration) float64 {
	gap := now - h.lastReply
	h.gap += time.Duration(gapWeight * float64(gap-h.gap))
	h.lastReply = now
	return max(minWeight, 1-math.Exp(-float64(gap)/float64(evidenceTime)))
}

// replied takes in a reply that came after latency.
func (h *health) replied(now, latency, usual time.Duration, failed bool) {
	h.age(now)
	weight := h.weigh(now)
	h.unreachable, h.ejectedUntil = 0, 0
	outcome := 0.0
	if failed {
		outcome = 1
	}
	h.failures += min(weight, maxFailureWeight) * (outcome - h.failures)
	if failed || usual <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(usual), maxSlowness)
	h.slowness += min(weight, maxSlownessWeight) * (ratio - h.slowness)
}

// broke takes in a connection that ended during a request.
func (h *health) broke(now time.Duration) { h.failed(now) }

func (h *health) failed(now time.Duration) {
	h.age(now)
	h.failures += min(h.weigh(now), maxFailureWeight) * (1 - h.failures)
}

// unreached takes in a failure to connect.
func (h *health) unreached(now time.Duration) {
	h.failed(now)
	pause := min(firstEjection<<min(h.unreachable, 6), longestEjection)
	h.unreachable++
	h.ejectedUntil = now + pause
}

// shed takes in a request that the target turned away. A target that does so
// often is as dear as one that fails: each repeat draws on the retry budget.
func (h *health) shed(now time.Duration) {
	h.failed(now)
	h.shedUntil = now + shedPause
}

func (h *health) told(now time.Duration, running, waiting, slots int) {
	h.slots = slots
	h.queued = max(0, running+waiting-1)
	h.queuedUntil = now + loadMemory
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// cost is the expected time of another request, in usual latencies. Unanswered
// requests count as soon as they are overdue: a target that stands still holds
// up all that it has.
func (h *health) cost(now time.Duration) float64 {
	h.age(now)
	slow := max(h.slowness, 0.5)
	for _, p := range h.pending {
		if p.usual > 0 && now-p.sent > time.Duration(overdueFactor*float64(p.usual)) {
			slow = max(slow, float64(now-p.sent)/float64(p.usual))
		}
	}
	busy := len(h.pending)
	if now < h.queuedUntil {
		busy = max(busy, h.queued)
	}
	slots := max(h.slots, 1)
	if wait := busy + 1 - slots; wait > 0 {
		slow *= 1 + float64(wait)/float64(slots)
	}
	cost := slow + failureCost*h.failures
	if now < h.shedUntil {
		cost += failureCost
	}
	return cost
}

package dispatch

import (
	"math"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/query/expected"
)

const (
	// minWeight is the minimum weight of one result in the moving averages of
	// slowness and failures. The weight grows with the time since the last result,
	// with time constant weightTime, up to the maximum for the average, so that a
	// target that gets few requests is judged by few results. The maximum is lower
	// for slowness, since healthy targets stall briefly at times.
	minWeight         = 0.15
	maxSlownessWeight = 0.3
	maxFailureWeight  = 0.7
	weightTime        = 1500 * time.Millisecond
	// minDecayTime and maxDecayTime bound the time constant of the decay of old
	// results, so that a target that has recovered is tried again. The decay is
	// slower for targets that get few requests.
	minDecayTime = 4 * time.Second
	maxDecayTime = 10 * time.Second
	// decayIntervals is the decay time in mean intervals between results.
	decayIntervals = 3
	// intervalWeight is the weight of one interval in the mean interval.
	intervalWeight = 0.2
	// overdueFactor is how many times the usual latency an unanswered request
	// may take before it counts against the target.
	overdueFactor = 1.8
	// failureCost is the additional cost of a request that is sure to fail, as a
	// multiple of the route's usual latency (see routeStats).
	failureCost = 6
	// firstUnreachablePause and maxUnreachablePause bound the time for which a target
	// that cannot be connected to gets no requests. It doubles with each consecutive
	// failure to connect.
	firstUnreachablePause = 150 * time.Millisecond
	maxUnreachablePause   = 2 * time.Second
	// shedPenaltyTime is how long failureCost is added to the cost of a target that
	// shed a request, so that other targets are preferred.
	shedPenaltyTime = 60 * time.Millisecond
	// maxSlowness bounds the slowness counted for one reply.
	maxSlowness = 30
)

// health is what this instance has observed of one target. It performs no I/O and
// reads no clock; times are passed in, on the monotonic clock. In package fanout,
// health is instead what a target's health endpoint reports.
type health struct {
	// slowness is the moving average of the latency, in usual latencies. failureShare
	// is the moving average of failures, from 0 to 1.
	slowness     float64
	failureShare float64
	decayedAt    time.Duration
	// meanInterval is the mean time between results, and lastResult the time of the
	// last one: a reply, a shed or abandoned request, a lost connection or a failure
	// to connect.
	meanInterval, lastResult time.Duration
	// pending holds the send times of unanswered requests, with the usual latency
	// of their route.
	pending []pendingRequest
	// connectFailures counts consecutive failures to connect.
	connectFailures  int
	unreachableUntil time.Duration
	shedPenaltyUntil time.Duration
	// reportedBusy is the number of running and waiting requests that the target last
	// reported, without the one that it was replying to.
	reportedBusy     int
	reportValidUntil time.Duration
	// concurrency is the number of requests that the target runs at a time.
	concurrency int
	// expected is used in place of slowness for a target that reports its pace.
	expected expected.Estimate
}

type pendingRequest struct {
	sent, usual time.Duration
}

// loadReportLifetime is how long a target's report of its load is used.
const loadReportLifetime = 200 * time.Millisecond

// decay moves the averages towards those of a healthy target.
func (h *health) decay(now time.Duration) {
	if h.slowness == 0 {
		h.slowness = 1
	}
	if now <= h.decayedAt {
		return
	}
	decayTime := min(maxDecayTime, max(minDecayTime, decayIntervals*h.meanInterval))
	keep := math.Exp(-float64(now-h.decayedAt) / float64(decayTime))
	h.slowness = 1 + (h.slowness-1)*keep
	h.failureShare *= keep
	h.decayedAt = now
}

func (h *health) begin(now, usual time.Duration) {
	h.pending = append(h.pending, pendingRequest{sent: now, usual: usual})
}

func (h *health) end(sent time.Duration) {
	if i := slices.IndexFunc(h.pending, func(p pendingRequest) bool { return p.sent == sent }); i >= 0 {
		h.pending = slices.Delete(h.pending, i, i+1)
	}
}

// nextWeight returns the weight of a result at now, before the maximum is applied,
// and updates the mean interval.
func (h *health) nextWeight(now time.Duration) float64 {
	interval := now - h.lastResult
	h.meanInterval += time.Duration(intervalWeight * float64(interval-h.meanInterval))
	h.lastResult = now
	return max(minWeight, 1-math.Exp(-float64(interval)/float64(weightTime)))
}

// reached records the result, after latency, of a request to a target that could be
// connected to: a reply, or none by the time that the request was abandoned.
func (h *health) reached(now, latency, usual time.Duration, failed bool) {
	h.decay(now)
	weight := h.nextWeight(now)
	h.connectFailures, h.unreachableUntil = 0, 0
	outcome := 0.0
	if failed {
		outcome = 1
	}
	h.failureShare += min(weight, maxFailureWeight) * (outcome - h.failureShare)
	if failed || usual <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(usual), maxSlowness)
	h.slowness += min(weight, maxSlownessWeight) * (ratio - h.slowness)
}

// disconnected records a connection that ended during a request.
func (h *health) disconnected(now time.Duration) { h.failed(now) }

func (h *health) failed(now time.Duration) {
	h.decay(now)
	h.failureShare += min(h.nextWeight(now), maxFailureWeight) * (1 - h.failureShare)
}

// connectFailed records a failure to connect.
func (h *health) connectFailed(now time.Duration) {
	h.failed(now)
	pause := min(firstUnreachablePause<<min(h.connectFailures, 6), maxUnreachablePause)
	h.connectFailures++
	h.unreachableUntil = now + pause
}

// shed records a request that the target shed. It counts as a failure, since each
// retry draws on the retry budget, and adds a penalty for shedPenaltyTime.
func (h *health) shed(now time.Duration) {
	h.failed(now)
	h.shedPenaltyUntil = now + shedPenaltyTime
}

func (h *health) loadReported(now time.Duration, l exchange.Load) {
	h.concurrency = l.MaxRunning
	h.reportedBusy = max(0, l.Running+l.Waiting-1)
	h.reportValidUntil = now + loadReportLifetime
	h.expected.ReportPace(now, l.Pace)
}

func (h *health) unreachable(now time.Duration) bool { return now < h.unreachableUntil }

// cost returns the expected cost of another request, in usual latencies and including
// penalties. Unanswered requests count as soon as they are overdue, since a stalled
// target delays all of its requests.
func (h *health) cost(now time.Duration) float64 {
	h.decay(now)
	slow, overdue := max(h.slowness, 0.5), float64(overdueFactor)
	if h.expected.Known() {
		slow = h.expected.Slowness(now)
		overdue *= max(1, slow)
	}
	for _, p := range h.pending {
		if p.usual > 0 && now-p.sent > time.Duration(overdue*float64(p.usual)) {
			slow = max(slow, float64(now-p.sent)/float64(p.usual))
		}
	}
	busy := len(h.pending)
	if now < h.reportValidUntil {
		busy = max(busy, h.reportedBusy)
	}
	concurrency := max(h.concurrency, 1)
	if queued := busy + 1 - concurrency; queued > 0 {
		slow *= 1 + float64(queued)/float64(concurrency)
	}
	cost := slow + failureCost*h.failureShare
	if now < h.shedPenaltyUntil {
		cost += failureCost
	}
	return cost
}

// Package simulate runs the move controller against synthetic traffic in virtual
// time, for tests and for the figures in docs/MEASUREMENTS.md.
package simulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/view"
)

// VersionChoice is how entries select the version for a query.
type VersionChoice string

// Ways of selecting the version.
const (
	ByCaller  VersionChoice = "by caller"
	ByRequest VersionChoice = "by request"
)

const (
	// Duration is the time from the start of each move to its deadline.
	Duration = 30 * time.Minute
	// runAfterDeadline is how long a run continues after the deadline.
	runAfterDeadline        = 30 * time.Second
	entries                 = 9
	callers                 = 200
	leaves                  = 10
	buckets                 = 24
	medianMs                = 8
	deviation               = 0.5
	inFlightPerTarget       = 8 // requests in flight at a target that crashes
	crashingRequestAttempts = 2
	collection              = model.CollectionID("shopfront")
	oldVersion              = model.VersionID("41")
	newVersion              = model.VersionID("42")
)

// routeWeights is the distribution of callers over routes.
var routeWeights = []float64{0.70, 0.25, 0.05}

// Result is the outcome of one simulated move.
type Result struct {
	Phase move.Phase
	// InTime is set when the move was done by its deadline.
	InTime bool
	// Harmed is the expected number of queries affected by a fault of the new
	// version.
	Harmed float64
	// FaultDuration is the time from the first affected query until the new
	// version has no traffic.
	FaultDuration time.Duration
	// ShareAtStop is the share at which the move was rolled back.
	ShareAtStop float64
}

type caller struct {
	weight float64
	route  int
	hash   float64
}

type run struct {
	scenario         Scenario
	choice           VersionChoice
	rand             *rand.Rand
	callers          []caller
	state            move.State
	controller       *move.Controller
	lastIncrease     int
	firstFaultSecond int
	result           Result
	normalPMF        []float64
	// fingerprint and crashingRequestHash belong to the last request that crashes
	// targets; crashingRequestHash selects its version.
	fingerprint         uint64
	crashingRequestHash float64
}

// Run simulates one move; the same arguments give the same result.
func Run(s Scenario, choice VersionChoice, seed uint64) Result {
	r := newRun(s, choice, seed)
	for second := range int((Duration + runAfterDeadline) / time.Second) {
		r.traffic(second)
		r.decide(second + 1)
		if r.state.Phase != move.PhaseUnderWay {
			break
		}
	}
	r.result.Phase = r.state.Phase
	return r.result
}

var origin = time.Date(2026, 12, 5, 3, 0, 0, 0, time.UTC)

func newRun(s Scenario, choice VersionChoice, seed uint64) *run {
	r := &run{
		scenario: s, choice: choice, firstFaultSecond: -1,
		rand:      rand.New(rand.NewPCG(seed, 1)),
		normalPMF: latencyPMF(1),
	}
	r.state = move.State{
		Rule:  rules.Move{Collection: collection, From: oldVersion, To: newVersion, By: origin.Add(Duration)},
		Phase: move.PhaseUnderWay, Started: origin, SteppedAt: origin,
	}
	r.controller = move.NewController(r.state)
	var total float64
	for i := range callers {
		c := caller{weight: 1 / float64(i+1), route: r.pickRoute(), hash: r.rand.Float64()}
		r.callers = append(r.callers, c)
		total += c.weight
	}
	for i := range r.callers {
		r.callers[i].weight /= total
	}
	return r
}

func (r *run) pickRoute() int {
	x := r.rand.Float64()
	for i, w := range routeWeights {
		if x < w {
			return i
		}
		x -= w
	}
	return 0
}

// routeTraffic returns the fraction of all queries that a route has, and the
// fraction of these that the new version receives.
func (r *run) routeTraffic(route int) (weight, share float64) {
	var toNew float64
	for _, c := range r.callers {
		if c.route != route {
			continue
		}
		weight += c.weight
		if c.hash < r.state.Share {
			toNew += c.weight
		}
	}
	if r.choice == ByRequest || weight == 0 {
		return weight, r.state.Share
	}
	return weight, toNew / weight
}

// traffic simulates the queries of one second and reports their outcomes.
func (r *run) traffic(second int) {
	for route := range routeWeights {
		weight, share := r.routeTraffic(route)
		rate := weight * r.scenario.QueriesPerSecond
		r.answerQueries(second, route, poisson(r.rand, rate*(1-share)), false)
		r.answerQueries(second, route, poisson(r.rand, rate*share), true)
	}
	if every := int(r.scenario.CrashingRequestEvery / time.Second); every > 0 {
		if since := second % every; since < crashingRequestAttempts {
			r.sendCrashingRequest(second, since > 0)
		}
	}
}

func (r *run) answerQueries(second, route, queries int, isNew bool) {
	if queries == 0 {
		return
	}
	a := r.scenario.behavior(conditions{second, route, isNew, r.state.Share, second - r.lastIncrease})
	attempts := queries * leaves
	failed := binomial(r.rand, attempts, a.fail)
	for range binomial(r.rand, attempts-failed, a.crash) {
		failed = min(attempts, failed+inFlightPerTarget)
		r.reportCrash(r.rand.Uint64(), isNew)
	}
	if isNew && r.scenario.Bad {
		r.countHarmed(second, float64(queries), a)
	}
	o := outcome(route, isNew)
	o.Window, o.OK, o.Failed = uint64(second), uint64(attempts-failed), uint64(failed)
	if !a.cold {
		o.LatencyBuckets = r.latencies(attempts-failed, a)
	}
	r.report(view.Evidence{Outcomes: []view.Outcome{o}})
}

// countHarmed adds the expected number of queries affected by a fault of the new
// version.
func (r *run) countHarmed(second int, queries float64, a attemptModel) {
	faults := a.fail + a.crash*inFlightPerTarget - baseFailureRate
	if a.slow > 0 {
		faults = 1
	}
	if faults <= 0 {
		return
	}
	if r.firstFaultSecond < 0 {
		r.firstFaultSecond = second
	}
	r.result.Harmed += queries * (1 - math.Pow(1-min(1, faults), leaves))
}

// sendCrashingRequest sends a request that crashes every target that runs it.
// Its caller retries it a second later, before the fleet rejects it.
func (r *run) sendCrashingRequest(second int, again bool) {
	if !again || r.choice == ByRequest {
		r.crashingRequestHash = r.rand.Float64()
	}
	if !again {
		r.fingerprint = r.rand.Uint64()
	}
	isNew := r.crashingRequestHash < r.state.Share
	r.reportCrash(r.fingerprint, isNew)
	o := outcome(0, isNew)
	o.Window, o.Failed = uint64(second), inFlightPerTarget
	r.report(view.Evidence{Outcomes: []view.Outcome{o}})
}

func (r *run) reportCrash(fingerprint uint64, isNew bool) {
	target := fmt.Sprintf("%s/svc-00/leaf-%d/slot-0", collection, r.rand.IntN(leaves))
	if isNew {
		target += "@" + string(newVersion)
	}
	suspects := []model.Fingerprint{model.Fingerprint(fingerprint)}
	for range inFlightPerTarget - 1 {
		suspects = append(suspects, model.Fingerprint(r.rand.Uint64()))
	}
	r.report(view.Evidence{Crashes: []view.TargetCrash{{Target: model.TargetID(target), Suspects: suspects}}})
}

func (r *run) report(e view.Evidence) {
	from := model.InstanceID(fmt.Sprintf("entry-%d", r.rand.IntN(entries)))
	r.controller.Observe(from, e)
}

func outcome(route int, isNew bool) view.Outcome {
	o := view.Outcome{Collection: collection, Version: oldVersion, Route: model.Route(fmt.Sprintf("route-%d", route))}
	if isNew {
		o.Version = newVersion
	}
	return o
}

func (r *run) latencies(n int, a attemptModel) []uint64 {
	counts := make([]uint64, buckets)
	slow := binomial(r.rand, n, a.slow)
	r.drawLatencies(counts, n-slow, r.normalPMF)
	if slow > 0 {
		r.drawLatencies(counts, slow, latencyPMF(a.slowBy))
	}
	return counts
}

// drawLatencies draws n latencies from pmf and adds them to counts.
func (r *run) drawLatencies(counts []uint64, n int, pmf []float64) {
	left := 1.0
	for i, p := range pmf {
		if n == 0 || left <= 0 {
			return
		}
		k := binomial(r.rand, n, min(1, p/left))
		counts[i] += uint64(k)
		n, left = n-k, left-p
	}
}

// latencyPMF returns the probability of each bucket for a log-normal latency with
// median factor*medianMs.
func latencyPMF(factor float64) []float64 {
	pmf := make([]float64, buckets)
	below := 0.0
	for i := range pmf {
		upper := math.Pow(2, float64(i)/2)
		cumulative := 0.5 * math.Erfc(-math.Log(upper/(medianMs*factor))/deviation/math.Sqrt2)
		if i == buckets-1 {
			cumulative = 1
		}
		pmf[i], below = cumulative-below, cumulative
	}
	return pmf
}

// decide asks the controller for a step, which is in force from the next second.
func (r *run) decide(second int) {
	at := time.Duration(second) * time.Second
	step, _ := r.controller.Decide(r.state, move.DecisionTime{Wall: origin.Add(at), Monotonic: at})
	if step == nil {
		return
	}
	if step.Share > r.state.Share {
		r.lastIncrease = second
	}
	if step.Phase == move.PhaseRolledBack {
		r.recordRollback(second)
	}
	r.result.InTime = step.Phase == move.PhaseDone && !step.At.After(r.state.Rule.By)
	r.state.Step++
	r.state.Phase, r.state.Share, r.state.SteppedAt, r.state.Evidence = step.Phase, step.Share, step.At, step.Evidence
}

// propagationDelay is how long entries continue with the previous share.
const propagationDelay = time.Second

func (r *run) recordRollback(second int) {
	r.result.ShareAtStop = r.state.Share
	if r.firstFaultSecond >= 0 {
		r.result.FaultDuration = time.Duration(second-r.firstFaultSecond)*time.Second + propagationDelay
	}
}

package move

import (
	"fmt"

	"radishturn.example/radishturn/pkg/view"
)

// versionTally counts the answers of one version on one route.
type versionTally struct {
	ok, failed float64
	latencies  []float64
}

func (t *versionTally) add(o view.Outcome) {
	t.ok += float64(o.OK)
	t.failed += float64(o.Failed)
	for len(t.latencies) < len(o.LatencyBuckets) {
		t.latencies = append(t.latencies, 0)
	}
	for i, n := range o.LatencyBuckets {
		t.latencies[i] += float64(n)
	}
}

// addTo adds an outcome to the tally of its version.
func (t *tally) addTo(isNew bool, o view.Outcome) {
	if isNew {
		t.new.add(o)
		return
	}
	t.old.add(o)
}

func (t *versionTally) total() float64 { return t.ok + t.failed }

// tally holds the outcomes that entries reported for one window of a route.
type tally struct {
	old, new versionTally
}

// comparable reports whether the window has enough answers of both versions. It
// depends only on the number of answers, never on their outcomes, so that it does
// not bias the tests.
func (t *tally) comparable() bool { return t.old.total() >= minOldAnswers && t.new.total() >= 1 }

// failures returns the counts for the failure test, without the explained failures
// of the new version.
func (t *tally) failures(explained float64) counts {
	bad := max(0, t.new.failed-explained)
	return counts{
		oldTotal: t.old.total(), oldBad: t.old.failed,
		newTotal: t.new.ok + bad, newBad: bad,
	}
}

// slow returns the counts for a latency test; answers above bucket count as bad.
func (t *tally) slow(bucket int) counts {
	return counts{
		oldTotal: sum(t.old.latencies), oldBad: above(t.old.latencies, bucket),
		newTotal: sum(t.new.latencies), newBad: above(t.new.latencies, bucket),
	}
}

// latencyTest compares the fractions of answers slower than a latency quantile of
// the old version.
type latencyTest struct {
	quantile float64
	test     *sequentialTest
}

const (
	// minOldAnswers is the minimum number of answers of the old version in a
	// comparable window.
	minOldAnswers = 20
	// maxPendingPeriods is the number of periods after which a window that is still
	// not comparable is dropped.
	maxPendingPeriods = 30
	// failureFloor is the failure rate that is never counted against a version.
	failureFloor = 0.002
	// slowFloorFactor times 1-quantile is the rate of slow answers that is always
	// allowed.
	slowFloorFactor = 0.5
)

var testedQuantiles = []float64{0.9, 0.99}

// routeEvidence is the evidence on one route, or on all routes combined.
type routeEvidence struct {
	name string
	// limit is the evidence at which a test of this route triggers a rollback.
	limit float64
	// pending is the window that is being collected; it ends once it is comparable.
	// pendingPeriods is the number of periods that it spans.
	pending        tally
	pendingPeriods int
	// sincePeriodStart holds the outcomes reported in the current period.
	sincePeriodStart tally
	oldLatencies     histogram
	failures         *sequentialTest
	latency          []*latencyTest
	// baseline tests the failures while the old version has no traffic.
	baseline baselineTest
}

func newRouteEvidence(name string, limit float64) *routeEvidence {
	r := &routeEvidence{name: name, limit: limit, failures: newSequentialTest(failureFloor)}
	for _, q := range testedQuantiles {
		r.latency = append(r.latency, &latencyTest{q, newSequentialTest(slowFloorFactor * (1 - q))})
	}
	return r
}

func (r *routeEvidence) add(isNew bool, o view.Outcome) {
	r.pending.addTo(isNew, o)
	r.sincePeriodStart.addTo(isNew, o)
}

// endPeriod ends the current period. If the pending window is comparable, it ends
// too; if it has spanned too many periods, it is dropped.
func (r *routeEvidence) endPeriod(explained float64) {
	if r.sincePeriodStart.old.total() == 0 {
		r.baseline.add(&r.sincePeriodStart.new, explained)
	}
	r.sincePeriodStart = tally{}
	r.pendingPeriods++
	if r.pending.comparable() {
		r.compare(explained)
	} else if r.pendingPeriods >= maxPendingPeriods {
		r.oldLatencies.add(r.pending.old.latencies)
		r.dropWindow()
	}
}

// dropWindow discards the pending window.
func (r *routeEvidence) dropWindow() { r.pending, r.pendingPeriods = tally{}, 0 }

func (r *routeEvidence) compare(explained float64) {
	failures := r.pending.failures(explained)
	r.failures.add(failures, r.limit)
	for _, l := range r.latency {
		if bucket := r.oldLatencies.quantileBucket(l.quantile); bucket >= 0 {
			l.test.add(r.pending.slow(bucket), r.limit)
		}
	}
	r.oldLatencies.add(r.pending.old.latencies)
	r.baseline.updateBaseline(failures)
	r.dropWindow()
}

// strongest returns the strongest evidence among the route's tests as a fraction
// of the limit, and a description of what that test counts.
func (r *routeEvidence) strongest() (fraction float64, description string) {
	fraction, description = r.failures.evidence()/r.limit, "failures"
	for _, l := range r.latency {
		if p := l.test.evidence() / r.limit; p > fraction {
			fraction, description = p, fmt.Sprintf("answers above the %g quantile", l.quantile)
		}
	}
	return fraction, description
}

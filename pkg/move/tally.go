package move

import (
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// versionTally sums the answers of one version on one route.
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

func (t *versionTally) all() float64 { return t.ok + t.failed }

// tally sums what the entries reported for one window of a route.
type tally struct {
	old, new versionTally
}

// comparable reports whether the window holds enough of both versions. It
// depends on the numbers of answers only, never on how they turned out.
func (t *tally) comparable() bool { return t.old.all() >= minimumOld && t.new.all() >= 1 }

// failures returns the counts for the test of errors. Explained failures of the
// new version are left out.
func (t *tally) failures(explained float64) counts {
	bad := max(0, t.new.failed-explained)
	return counts{
		oldAll: t.old.all(), oldBad: t.old.failed,
		newAll: t.new.ok + bad, newBad: bad,
	}
}

// slow returns the counts for the test of latencies above a bucket.
func (t *tally) slow(bucket int) counts {
	return counts{
		oldAll: sum(t.old.latencies), oldBad: above(t.old.latencies, bucket),
		newAll: sum(t.new.latencies), newBad: above(t.new.latencies, bucket),
	}
}

// routeEvidence is what the controller knows of one route.
type routeEvidence struct {
	route model.Route
	// limit is the evidence at which a test of this route decides.
	limit    float64
	pending  tally
	oldTimes histogram
	failures *sequentialTest
	latency  []*latencyTest
	// baseline watches the failures while the old version has no traffic.
	baseline *baselineTest
}

// latencyTest compares the shares of answers above a quantile of the old version.
type latencyTest struct {
	quantile float64
	test     *sequentialTest
}

const (
	// minimumOld is the least number of the old version's answers in a window.
	minimumOld = 20
	// failureFloor is a rate of failures that is never held against a version.
	failureFloor = 0.002
	// slowFloorFactor times 1-quantile is the rate of slow answers always allowed.
	slowFloorFactor = 0.5
)

var watchedQuantiles = []float64{0.9, 0.99}

func newRouteEvidence(route model.Route, limit float64) *routeEvidence {
	r := &routeEvidence{
		route: route, limit: limit,
		failures: newSequentialTest(failureFloor),
		baseline: &baselineTest{},
	}
	for _, q := range watchedQuantiles {
		r.latency = append(r.latency, &latencyTest{q, newSequentialTest(slowFloorFactor * (1 - q))})
	}
	return r
}

// close ends the window if it can be compared.
func (r *routeEvidence) close(explained float64) {
	if r.pending.old.all() < minimumOld {
		r.baseline.add(&r.pending.new, explained)
	}
	if !r.pending.comparable() {
		r.dropOld()
		return
	}
	failures := r.pending.failures(explained)
	r.failures.add(failures, r.limit)
	for _, l := range r.latency {
		if bucket := r.oldTimes.quantileBucket(l.quantile); bucket >= 0 {
			l.test.add(r.pending.slow(bucket), r.limit)
		}
	}
	r.oldTimes.add(r.pending.old.latencies)
	r.baseline.learn(failures)
	r.pending = tally{}
}

// dropOld keeps a window without answers of the new version from growing for
// the whole move.
func (r *routeEvidence) dropOld() {
	if r.pending.new.all() == 0 && r.pending.old.all() > maximumOldOnly {
		r.oldTimes.add(r.pending.old.latencies)
		r.pending = tally{}
	}
}

// maximumOldOnly bounds the old version's answers in a window without the new one.
const maximumOldOnly = 1000

// strongest returns the greatest evidence of the route's tests as a part of
// its limit, and which test it is.
func (r *routeEvidence) strongest() (part float64, what string) {
	part, what = r.failures.evidence()/r.limit, "failures"
	for _, l := range r.latency {
		if p := l.test.evidence() / r.limit; p > part {
			part, what = p, "latency"
		}
	}
	return part, what
}

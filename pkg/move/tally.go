package move

import (
	"fmt"

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

// addTo adds an outcome to the tally of its version.
func (t *tally) addTo(isNew bool, o view.Outcome) {
	if isNew {
		t.new.add(o)
		return
	}
	t.old.add(o)
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

// latencyTest compares the shares of answers above a quantile of the old version.
type latencyTest struct {
	quantile float64
	test     *sequentialTest
}

const (
	// minimumOld is the least number of the old version's answers in a window.
	minimumOld = 20
	// maximumOpen is the number of windows after which a window that cannot be
	// compared is dropped.
	maximumOpen = 30
	// failureFloor is a rate of failures that is never held against a version.
	failureFloor = 0.002
	// slowFloorFactor times 1-quantile is the rate of slow answers always allowed.
	slowFloorFactor = 0.5
)

var watchedQuantiles = []float64{0.9, 0.99}

// routeEvidence is what the controller knows of one route, or of all together.
type routeEvidence struct {
	name string
	// limit is the evidence at which a test of this route decides.
	limit float64
	// pending is the open window; it stays open until it can be compared.
	pending tally
	open    int
	// fresh holds what came in since the last call of close.
	fresh    tally
	oldTimes histogram
	failures *sequentialTest
	latency  []*latencyTest
	// baseline watches the failures while the old version has no traffic.
	baseline baselineTest
}

func newRouteEvidence(name string, limit float64) *routeEvidence {
	r := &routeEvidence{name: name, limit: limit, failures: newSequentialTest(failureFloor)}
	for _, q := range watchedQuantiles {
		r.latency = append(r.latency, &latencyTest{q, newSequentialTest(slowFloorFactor * (1 - q))})
	}
	return r
}

func (r *routeEvidence) add(isNew bool, o view.Outcome) {
	r.pending.addTo(isNew, o)
	r.fresh.addTo(isNew, o)
}

// close ends the window if it can be compared.
func (r *routeEvidence) close(explained float64) {
	if r.fresh.old.all() == 0 {
		r.baseline.add(&r.fresh.new, explained)
	}
	r.fresh = tally{}
	r.open++
	if r.pending.comparable() {
		r.compare(explained)
	} else if r.open >= maximumOpen {
		r.oldTimes.add(r.pending.old.latencies)
		r.drop()
	}
}

// drop forgets the open window.
func (r *routeEvidence) drop() { r.pending, r.open = tally{}, 0 }

func (r *routeEvidence) compare(explained float64) {
	failures := r.pending.failures(explained)
	r.failures.add(failures, r.limit)
	for _, l := range r.latency {
		if bucket := r.oldTimes.quantileBucket(l.quantile); bucket >= 0 {
			l.test.add(r.pending.slow(bucket), r.limit)
		}
	}
	r.oldTimes.add(r.pending.old.latencies)
	r.baseline.learn(failures)
	r.drop()
}

// strongest returns the greatest evidence of the route's tests as a part of
// its limit, and which test it is.
func (r *routeEvidence) strongest() (part float64, what string) {
	part, what = r.failures.evidence()/r.limit, "failures"
	for _, l := range r.latency {
		if p := l.test.evidence() / r.limit; p > part {
			part, what = p, fmt.Sprintf("answers above the %g quantile", l.quantile)
		}
	}
	return part, what
}

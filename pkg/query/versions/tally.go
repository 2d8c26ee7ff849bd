package versions

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// maxRoutes is the average number of routes per version that are counted
	// separately: together, the two versions of a move have at most 2*maxRoutes
	// entries. Further routes are counted as otherRoute.
	maxRoutes  = 32
	otherRoute = model.Route("other")
)

// Tally counts the answers of one collection by version and route in consecutive
// time windows. The collection that its methods take is only copied into the
// result. Windows are numbered by the user of the Tally, one a second. It is not
// safe for concurrent use.
type Tally struct {
	window uint64
	counts map[tallyKey]*view.Outcome
}

type tallyKey struct {
	version model.VersionID
	route   model.Route
}

// AdvanceWindow begins the given window and returns the counts of the previous
// one, or nil if the window is unchanged.
func (t *Tally) AdvanceWindow(window uint64) []view.Outcome {
	if window == t.window {
		return nil
	}
	ended := make([]view.Outcome, 0, len(t.counts))
	for _, entry := range t.counts {
		ended = append(ended, *entry)
	}
	t.window, t.counts = window, nil
	return ended
}

// RecordFailure counts a failure of a version.
func (t *Tally) RecordFailure(c model.CollectionID, v model.VersionID, route model.Route) {
	t.entry(c, v, route).Failed++
}

// RecordSuccess counts an answer of a version. A negative latency is not
// recorded.
func (t *Tally) RecordSuccess(c model.CollectionID, v model.VersionID, route model.Route, latency time.Duration) {
	entry := t.entry(c, v, route)
	entry.OK++
	if latency >= 0 {
		entry.LatencyBuckets[view.LatencyBucket(latency)]++
	}
}

func (t *Tally) entry(c model.CollectionID, v model.VersionID, route model.Route) *view.Outcome {
	if t.counts == nil {
		t.counts = make(map[tallyKey]*view.Outcome)
	}
	key := tallyKey{v, route}
	if t.counts[key] == nil && len(t.counts) >= 2*maxRoutes {
		key.route = otherRoute
	}
	entry := t.counts[key]
	if entry == nil {
		entry = &view.Outcome{
			Collection: c, Version: v, Route: key.route, Window: t.window,
			LatencyBuckets: make([]uint64, view.LatencyBucketCount),
		}
		t.counts[key] = entry
	}
	return entry
}

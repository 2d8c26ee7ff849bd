package fanout

import (
	"math"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/view"
)

// versionChoice is short for the choice of versions of one query.
type versionChoice = versions.Choice

const (
	// latencyBuckets is the number of buckets of view.Outcome.
	latencyBuckets = 24
	// bucketsPerDoubling matches view.Outcome: bucket i ends at 1 ms × 2^(i/2).
	bucketsPerDoubling = 2
	// outcomeWindow is the length of a window of view.Outcome.
	outcomeWindow = time.Second
	// maxRoutes bounds the routes that are told apart; others count as one.
	maxRoutes  = 32
	otherRoute = model.Route("other")
)

type outcomeKey struct {
	version model.VersionID
	route   model.Route
}

// outcomes counts the answers of one collection by version and route while a
// move of the collection is on.
type outcomes struct {
	mu     sync.Mutex
	window uint64
	counts map[outcomeKey]*view.Outcome
	local  versions.Evidence
}

func (o *outcomes) stopped(v model.VersionID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local.Stopped(v)
}

// add counts the end of an attempt, if a move is on.
func (o *outcomes) add(s *Service, t *targetState, route model.Route, e *ended) {
	c := t.leaf.collection.id
	move, ok := s.view.View().Moves[c]
	if !ok || !counts(e.result.Kind) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn(s, c, e.now)
	entry := o.entry(c, t.target.Version, route)
	o.count(entry, e.result.Kind == target.KindOK, e)
	if reason := o.judge(move, t, e); reason != "" {
		events.Emit(events.VersionStopped, c, t.target.Version, reason)
		s.reporter.Report(view.Evidence{Stop: []view.VersionStop{{Collection: c, Version: t.target.Version, Reason: reason}}})
	}
}

// judge returns why the new version is stopped here by the end of an attempt.
func (o *outcomes) judge(move view.Move, t *targetState, e *ended) string {
	if e.lost != "" {
		return o.local.AddDeath(move, t.target.Version, versions.Incarnation{Target: t.target.ID, Boot: e.lost})
	}
	return o.local.Add(move, t.target.Version, e.result.Kind == target.KindOK)
}

// counts reports whether a result says something about the version.
func counts(k target.Kind) bool {
	switch k {
	case target.KindOK, target.KindFailed, target.KindMismatched, target.KindReset:
		return true
	}
	return false
}

func (o *outcomes) count(entry *view.Outcome, ok bool, e *ended) {
	if !ok {
		entry.Failed++
		return
	}
	entry.OK++
	if !e.cold {
		entry.LatencyBuckets[latencyBucket(e.elapsed)]++
	}
}

func (o *outcomes) entry(c model.CollectionID, v model.VersionID, route model.Route) *view.Outcome {
	if o.counts == nil {
		o.counts = make(map[outcomeKey]*view.Outcome)
	}
	key := outcomeKey{v, route}
	if o.counts[key] == nil && len(o.counts) >= 2*maxRoutes {
		key.route = otherRoute
	}
	entry := o.counts[key]
	if entry == nil {
		entry = &view.Outcome{
			Collection: c, Version: v, Route: key.route, Window: o.window,
			LatencyBuckets: make([]uint64, latencyBuckets),
		}
		o.counts[key] = entry
	}
	return entry
}

// turn reports the counts of a window that has ended.
func (o *outcomes) turn(s *Service, c model.CollectionID, now time.Duration) {
	window := s.window(now)
	if window == o.window {
		return
	}
	if len(o.counts) > 0 {
		report := view.Evidence{Outcomes: make([]view.Outcome, 0, len(o.counts))}
		for _, entry := range o.counts {
			report.Outcomes = append(report.Outcomes, *entry)
		}
		s.reporter.Report(report)
	}
	o.window, o.counts = window, nil
}

// flush reports a window that ended without further answers, and forgets a
// stopped version once its move is gone.
func (o *outcomes) flush(s *Service, now time.Duration, c model.CollectionID, move view.Move, moving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn(s, c, now)
	o.local.Follow(move, moving)
}

// latencyBucket returns the bucket of view.Outcome.
func latencyBucket(d time.Duration) int {
	if d < time.Millisecond {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(time.Millisecond))
	return min(int(bucketsPerDoubling*doublings)+1, latencyBuckets-1)
}

// window numbers the seconds since this instance's lease was first held.
func (s *Service) window(now time.Duration) uint64 {
	s.windowMu.Lock()
	defer s.windowMu.Unlock()
	if !s.windowKnown {
		s.windowOrigin, s.windowKnown = now, true
	}
	return uint64((now - s.windowOrigin) / outcomeWindow)
}

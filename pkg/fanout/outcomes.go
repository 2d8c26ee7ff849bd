package fanout

import (
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

// outcomeWindow is the length of a window of view.Outcome.
const outcomeWindow = time.Second

// outcomes counts the answers of one collection by version and route while a
// move of the collection is on.
type outcomes struct {
	mu    sync.Mutex
	tally versions.Tally
	local versions.Evidence
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
	o.turn(s, e.now)
	o.count(c, t.target.Version, route, e)
	if reason := o.judge(move, t, e); reason != "" {
		events.Emit(events.VersionStopped, c, t.target.Version, reason)
		s.reporter.Report(view.Evidence{VersionStops: []view.VersionStop{{Collection: c, Version: t.target.Version, Reason: reason}}})
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

func (o *outcomes) count(c model.CollectionID, v model.VersionID, route model.Route, e *ended) {
	switch {
	case e.result.Kind != target.KindOK:
		o.tally.Failed(c, v, route)
	case e.cold:
		o.tally.OK(c, v, route, -1)
	default:
		o.tally.OK(c, v, route, e.elapsed)
	}
}

// turn reports the counts of a window that has ended.
func (o *outcomes) turn(s *Service, now time.Duration) {
	if ended := o.tally.Turn(s.window(now)); len(ended) > 0 {
		s.reporter.Report(view.Evidence{Outcomes: ended})
	}
}

// flush reports a window that ended without further answers, and forgets a
// stopped version once its move is gone.
func (o *outcomes) flush(s *Service, now time.Duration, move view.Move, moving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn(s, now)
	o.local.Follow(move, moving)
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

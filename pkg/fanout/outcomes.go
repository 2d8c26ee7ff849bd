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

// outcomeWindow is the length of the windows in which view.Outcome counts.
const outcomeWindow = time.Second

// outcomes counts the answers of one collection by version and route while a
// move of the collection is in progress.
type outcomes struct {
	mu           sync.Mutex
	tally        versions.Tally
	stopEvidence versions.StopDetector
}

func (o *outcomes) isStopped(v model.VersionID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopEvidence.Stopped(v)
}

// addAttempt counts an attempt that has ended, if a move is in progress, and
// stops the new version if the attempt gives a reason.
func (o *outcomes) addAttempt(s *Service, t *targetState, route model.Route, outcome *attemptOutcome) {
	c := t.leaf.collection.id
	move, ok := s.views.View().Moves[c]
	if !ok || !isVersionEvidence(outcome.result.Kind) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportEndedWindow(s, outcome.now)
	o.tallyAttempt(c, t.target.Version, route, outcome)
	if reason := o.stopReason(move, t, outcome); reason != "" {
		events.Emit(events.VersionUseStopped, c, t.target.Version, reason)
		s.reporter.Report(view.Evidence{VersionStops: []view.VersionStop{{Collection: c, Version: t.target.Version, Reason: reason}}})
	}
}

// stopReason returns why this instance stops using the new version after an
// attempt; empty if it does not.
func (o *outcomes) stopReason(move view.Move, t *targetState, outcome *attemptOutcome) string {
	if outcome.lostBoot != "" {
		return o.stopEvidence.AddCrash(move, t.target.Version, versions.Incarnation{Target: t.target.ID, Boot: outcome.lostBoot})
	}
	return o.stopEvidence.Add(move, t.target.Version, outcome.result.Kind == target.KindOK)
}

// isVersionEvidence reports whether a result says something about the version.
func isVersionEvidence(k target.Kind) bool {
	switch k {
	case target.KindOK, target.KindFailed, target.KindMismatched, target.KindReset:
		return true
	}
	return false
}

// tallyAttempt counts an attempt in the current window. The latency of an answer of a
// cold target is passed as -1, which leaves it out.
func (o *outcomes) tallyAttempt(c model.CollectionID, v model.VersionID, route model.Route, outcome *attemptOutcome) {
	switch {
	case outcome.result.Kind != target.KindOK:
		o.tally.RecordFailure(c, v, route)
	case outcome.cold:
		o.tally.RecordSuccess(c, v, route, -1)
	default:
		o.tally.RecordSuccess(c, v, route, outcome.elapsed)
	}
}

// reportEndedWindow reports the counts of a window that has ended.
func (o *outcomes) reportEndedWindow(s *Service, now time.Duration) {
	if ended := o.tally.AdvanceWindow(s.windowNumber(now)); len(ended) > 0 {
		s.reporter.Report(view.Evidence{Outcomes: ended})
	}
}

// flush reports a window that ended without further answers, and drops the
// evidence against a stopped version once its move has ended.
func (o *outcomes) flush(s *Service, now time.Duration, move view.Move, moving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportEndedWindow(s, now)
	o.stopEvidence.Track(move, moving)
}

// windowNumber returns the number of the window at now. Windows are counted from the
// first call of windowNumber, that is the first Refresh with a list. It comes at about
// the time at which the lease is first held.
func (s *Service) windowNumber(now time.Duration) uint64 {
	s.windowMu.Lock()
	defer s.windowMu.Unlock()
	if !s.windowKnown {
		s.windowOrigin, s.windowKnown = now, true
	}
	return uint64((now - s.windowOrigin) / outcomeWindow)
}

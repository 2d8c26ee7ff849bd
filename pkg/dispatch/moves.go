package dispatch

import (
	"errors"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/view"
)

// versionOutcomeWindow is the length of a window of view.Outcome, the counts of a
// version's results. Windows are numbered from the start of the Engine, unlike those
// of package fanout, which count from its first refresh. This makes no difference:
// control adds up the counts as they arrive and does not read the number.
const versionOutcomeWindow = time.Second

// versionTracker holds what this instance observes of the versions of one service
// while its traffic moves from one version to another.
type versionTracker struct {
	mu           sync.Mutex
	tally        versions.Tally
	stopEvidence versions.StopDetector
}

func (tracker *versionTracker) stopped(v model.VersionID) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.stopEvidence.Stopped(v)
}

// moveKey returns the key of a service's move in view.View.Moves.
func moveKey(s model.ServiceID) model.CollectionID { return model.CollectionID(s) }

// versionTrackerOf returns the tracker of a service, and creates it if needed.
func (e *Engine) versionTrackerOf(s model.ServiceID) *versionTracker {
	e.mu.Lock()
	defer e.mu.Unlock()
	tracker := e.versionTrackers[s]
	if tracker == nil {
		tracker = &versionTracker{}
		e.versionTrackers[s] = tracker
	}
	return tracker
}

// versionRank returns a function that ranks targets for a request, or nil if the
// service has no move in progress. A further request goes to the old version until
// the move is complete, so that a bad version fails a request at most once.
func (e *Engine) versionRank(c *Call, current currentView, s model.ServiceID, further bool) func(*target) versions.Rank {
	move, ok := current.moveOf(s)
	if !ok {
		return nil
	}
	// A Call names no caller account. The request ID stands in for it, so traffic is
	// split by request at every share.
	position := versions.SplitPosition(move, moveKey(s), model.CallerID(c.Request.ID), c.Request.ID)
	// A position of 1 always gets the old version.
	if further && move.Share < 1 {
		position = 1
	}
	allowed := versions.ForMove(move, position, e.versionTrackerOf(s).stopped)
	return func(t *target) versions.Rank { return allowed.Rank(moveVersionOf(move, t)) }
}

// moveVersionOf returns the version of the move that a target counts as: any
// version other than the new one counts as the old one.
func moveVersionOf(move view.Move, t *target) model.VersionID {
	if t.Version == move.To {
		return move.To
	}
	return move.From
}

// recordVersionOutcome counts the result of a request for the move of its service that
// was in progress when the request was sent. An abandoned request counts as a success with the time
// until it was abandoned as its latency.
func (e *Engine) recordVersionOutcome(c *Call, t *target, move view.Move, r pool.Result, latency time.Duration) {
	if errors.Is(r.Err, pool.ErrNotSent) || errors.Is(r.Err, pool.ErrNoCapacity) || r.Reply != nil && (r.Reply.NotRun || r.Reply.WrongTarget) {
		return
	}
	good := errors.Is(r.Err, pool.ErrAbandoned) || r.Reply != nil && r.Reply.OK()
	collection, version, route := moveKey(t.Service), moveVersionOf(move, t), model.Route(c.Route.Name)
	tracker := e.versionTrackerOf(t.Service)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	e.reportEndedWindow(tracker)
	if good {
		tracker.tally.RecordSuccess(collection, version, route, latency)
	} else {
		tracker.tally.RecordFailure(collection, version, route)
	}
	if reason := tracker.stopEvidence.Add(move, version, good); reason != "" {
		events.Emit(events.VersionUseStopped, collection, version, reason)
		e.report(view.Evidence{VersionStops: []view.VersionStop{{Collection: collection, Version: version, Reason: reason}}})
	}
}

// reportEndedWindow reports the counts of the previous window once it has ended. The
// caller holds the tracker's lock.
func (e *Engine) reportEndedWindow(tracker *versionTracker) {
	if ended := tracker.tally.AdvanceWindow(uint64(e.now() / versionOutcomeWindow)); len(ended) > 0 {
		e.report(view.Evidence{Outcomes: ended})
	}
}

// refreshMoves reports windows that ended without further replies, and removes the
// trackers of services whose move is over.
func (e *Engine) refreshMoves() {
	moves := e.opts.Views.View().Moves
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, tracker := range e.versionTrackers {
		move, on := moves[moveKey(s)]
		tracker.mu.Lock()
		e.reportEndedWindow(tracker)
		tracker.stopEvidence.Track(move, on)
		tracker.mu.Unlock()
		if !on {
			delete(e.versionTrackers, s)
		}
	}
}

func (e *Engine) report(ev view.Evidence) {
	if e.opts.Reporter != nil {
		e.opts.Reporter.Report(ev)
	}
}

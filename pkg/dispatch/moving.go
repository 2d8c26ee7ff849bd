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

// outcomeWindow is the length of a window of view.Outcome.
const outcomeWindow = time.Second

// moving is what this instance sees of the versions of one service while its
// traffic moves from one to another.
type moving struct {
	mu    sync.Mutex
	tally versions.Tally
	local versions.Evidence
}

func (m *moving) stopped(v model.VersionID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.local.Stopped(v)
}

// collectionOf returns the name under which the moves of a service are kept.
func collectionOf(s model.ServiceID) model.CollectionID { return model.CollectionID(s) }

// movingOf returns what is seen of a service whose traffic moves.
func (e *Engine) movingOf(s model.ServiceID) *moving {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.moves[s]
	if m == nil {
		m = &moving{}
		e.moves[s] = m
	}
	return m
}

// rankFor returns the rank of targets for a request, or nil if no move of their
// service is on. A repeat keeps to the version before while that runs, so
// that a bad version harms a request once.
func (e *Engine) rankFor(c *Call, s model.ServiceID, repeat bool) func(*target) versions.Rank {
	m, ok := c.page.view.Moves[collectionOf(s)]
	if !ok {
		return nil
	}
	fraction := versions.Fraction(m, collectionOf(s), model.CallerID(c.Request.ID), c.Request.ID)
	if repeat && m.Share < 1 {
		fraction = 1
	}
	allowed := versions.ForMove(m, fraction, e.movingOf(s).stopped)
	return func(t *target) versions.Rank { return allowed.Rank(sideOf(m, t)) }
}

// sideOf returns the version of the move that a target counts for: all others
// than the new one are the version before.
func sideOf(m view.Move, t *target) model.VersionID {
	if t.Version == m.To {
		return m.To
	}
	return m.From
}

// noteVersion counts the end of a request for the move of its service, if one is
// on. A request that was given up counts as one that took as long as that.
func (e *Engine) noteVersion(c *Call, t *target, r pool.Result, latency time.Duration) {
	m, ok := c.page.view.Moves[collectionOf(t.Service)]
	if !ok || errors.Is(r.Err, pool.ErrNotSent) || r.Reply != nil && (r.Reply.NotRun || r.Reply.WrongTarget) {
		return
	}
	good := errors.Is(r.Err, pool.ErrAbandoned) || r.Reply != nil && r.Reply.OK()
	collection, side, route := collectionOf(t.Service), sideOf(m, t), model.Route(c.Route.Name)
	seen := e.movingOf(t.Service)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	e.turnWindow(seen)
	if good {
		seen.tally.OK(collection, side, route, latency)
	} else {
		seen.tally.Failed(collection, side, route)
	}
	if reason := seen.local.Add(m, side, good); reason != "" {
		events.Emit(events.VersionStopped, collection, side, reason)
		e.report(view.Evidence{VersionStops: []view.VersionStop{{Collection: collection, Version: side, Reason: reason}}})
	}
}

// turnWindow reports the counts of a window that has ended; seen is locked.
func (e *Engine) turnWindow(seen *moving) {
	if ended := seen.tally.Turn(uint64(e.now() / outcomeWindow)); len(ended) > 0 {
		e.report(view.Evidence{Outcomes: ended})
	}
}

// followMoves reports windows that ended without further answers, and forgets
// what was seen of moves that are gone.
func (e *Engine) followMoves() {
	moves := e.opts.Views.View().Moves
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, seen := range e.moves {
		m, on := moves[collectionOf(s)]
		seen.mu.Lock()
		e.turnWindow(seen)
		seen.local.Follow(m, on)
		seen.mu.Unlock()
		if !on {
			delete(e.moves, s)
		}
	}
}

func (e *Engine) report(ev view.Evidence) {
	if e.opts.Reporter != nil {
		e.opts.Reporter.Report(ev)
	}
}

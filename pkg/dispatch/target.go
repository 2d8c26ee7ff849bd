package dispatch

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// target is a target as it is listed, with the process behind it.
type target struct {
	model.Target
	*process
}

// process is what this instance knows of a target's process. It outlives
// changes of the list that concern the same address.
type process struct {
	pool *pool.Pool
	// warmed is set once a connection ahead of use was asked for.
	warmed atomic.Bool

	mu     sync.Mutex
	health health
	// mistaken is set once the process at the address denied to be the target;
	// only a listing at another address clears it.
	mistaken bool
	// coldGap is the least time between requests while the target is cold; 0
	// means no limit. coldSentAt is when the last one was sent, if coldSent is set.
	coldGap, coldSentAt time.Duration
	coldSent            bool
}

// send starts an attempt. It returns false if no connection is to be had. Done
// is called after the target's health took in the result.
func (t *target) send(e *Engine, call *Call, timeout time.Duration, done func(pool.Result)) (*pool.Attempt, bool) {
	sent := e.now()
	usual := call.stats.usual()
	a := &pool.Attempt{
		Request: call.Request,
		Order:   exchange.Order{Target: t.ID, Timeout: timeout},
	}
	a.Done = func(r pool.Result) {
		now := e.now()
		t.finished(now, sent, usual, timeout, r).announce(t.ID, r.Err)
		e.noteCost(t.ID, sampleCost(r, now-sent, usual))
		e.noteVersion(call, t, r, now-sent)
		if r.Reply != nil && r.Reply.OK() {
			call.stats.add(now - sent)
			targetSeconds.Update((now - sent).Seconds())
		}
		done(r)
	}
	if !t.begin(sent, usual) {
		return nil, false
	}
	if !t.pool.Start(a) {
		t.mu.Lock()
		t.health.end(sent)
		t.mu.Unlock()
		return nil, false
	}
	return a, true
}

// begin notes a request, or returns false if the target bears none now.
func (t *target) begin(now, usual time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bearsCold(now) {
		return false
	}
	if t.coldGap > 0 {
		t.coldSent, t.coldSentAt = true, now
	}
	t.health.begin(now, usual)
	return true
}

// finished takes in the end of a request. It returns what is believed anew of
// the target.
func (t *target) finished(now, sent, usual, timeout time.Duration, r pool.Result) belief {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.health
	unreached, mistaken := h.unreachable, t.mistaken
	h.end(sent)
	switch {
	case wasNotNeeded(r.Err):
	case errors.Is(r.Err, pool.ErrNotSent):
		h.unreached(now)
	case errors.Is(r.Err, pool.ErrAbandoned):
		// A reply that did not come within its own deadline is one from a target
		// that stands still.
		h.replied(now, now-sent, usual, false)
	case r.Err != nil:
		h.broke(now)
	case r.Reply.WrongTarget:
		t.mistaken = true
	case r.Reply.NotRun:
		h.shed(now)
	case r.Reply.Status == http.StatusGatewayTimeout && now-sent >= timeout:
		h.replied(now, now-sent, usual, false)
	default:
		h.replied(now, now-sent, usual, r.Reply.Status >= http.StatusInternalServerError || !r.Reply.OK())
	}
	if r.Reply != nil && r.Reply.Load.Known {
		l := r.Reply.Load
		h.told(now, l.Running, l.Waiting, l.Slots)
	}
	switch {
	case t.mistaken && !mistaken:
		return beliefMistaken
	case h.unreachable > 0 && unreached == 0:
		return beliefUnreached
	case h.unreachable == 0 && unreached > 0:
		return beliefReached
	}
	return beliefSame
}

// wasNotNeeded reports whether an attempt was given up before anything was sent,
// which says nothing of the target.
func wasNotNeeded(err error) bool {
	return errors.Is(err, pool.ErrNotSent) && errors.Is(err, pool.ErrAbandoned)
}

// belief is how the picture of a target has changed.
type belief uint8

const (
	beliefSame belief = iota
	// beliefMistaken: the process at the address is another target.
	beliefMistaken
	// beliefUnreached: it could not be reached, for the first time in a row.
	beliefUnreached
	// beliefReached: it answers again.
	beliefReached
)

// announce writes a line on a change of belief.
func (b belief) announce(id model.TargetID, err error) {
	switch b {
	case beliefMistaken:
		events.Emit(events.TargetEjected, id, "another target has its address")
	case beliefUnreached:
		events.Emit(events.TargetEjected, id, err)
	case beliefReached:
		events.Emit(events.TargetReadmitted, id)
	}
}

// cost returns the expected cost of another request, or false if the target
// gets none.
func (t *target) cost(now time.Duration) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mistaken || t.Leaving || t.health.ejected(now) || !t.bearsCold(now) {
		return 0, false
	}
	return t.health.cost(now), true
}

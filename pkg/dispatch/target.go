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

// target is a listed target with the state of its process.
type target struct {
	model.Target
	*process
}

// process is what this instance knows of a target's process. It is kept when the
// listing changes and the address does not.
type process struct {
	pool *pool.Pool
	// preconnectRequested is set once a first connection was requested, even if the
	// queue was full.
	preconnectRequested atomic.Bool

	mu     sync.Mutex
	health health
	notice notice
	// silentConnects counts the consecutive attempts to connect that were not accepted.
	silentConnects int
	// wrongTarget is set once the process at the address has replied that it is not
	// this target. Only a listing at another address clears it.
	wrongTarget bool
	// coldInterval is the minimum time between requests while the target is cold; 0
	// means no limit. coldLastSent is when the last one was sent, if coldSent is set.
	coldInterval, coldLastSent time.Duration
	coldSent                   bool
}

// send starts an attempt to a target chosen from the current view. It returns false if
// the target may not get a request now or no connection is available. done is called
// after the result is recorded.
func (t *target) send(e *Engine, call *Call, current currentView, timeout time.Duration, done func(pool.Result)) (*pool.Attempt, bool) {
	sent := e.now()
	usual := call.stats.usual()
	move, moving := current.moveOf(t.Service)
	a := &pool.Attempt{
		Request:   call.Request,
		Params:    exchange.TargetParams{Target: t.ID, Timeout: timeout},
		Withdrawn: func() bool { return e.withdraws(call, t) },
	}
	a.Done = func(r pool.Result) {
		now := e.now()
		t.recordResult(now, sent, usual, timeout, r).log(t.ID, r.Err)
		e.recordUsage(call, now-sent, r)
		e.learnCompletion(call.stats, t, now, sent, a.Reused(), r)
		e.recordCost(t.ID, observedCost(r, now-sent, usual))
		if moving {
			e.recordVersionOutcome(call, t, move, r, now-sent)
		}
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

// withdraws reports whether a request that has waited for a connection must not be sent.
func (e *Engine) withdraws(c *Call, t *target) bool {
	return !e.current().admits(t, e.now()) || e.checkAfterWait(c) != nil
}

// begin records a request, or returns false if the cold limit allows none now.
func (t *target) begin(now, usual time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.coldAllowed(now) || !t.notice.allows(now) {
		return false
	}
	if t.coldInterval > 0 {
		t.coldSent, t.coldLastSent = true, now
	}
	t.health.begin(now, usual)
	return true
}

// recordResult records the result of a request. It returns how the state of the
// target has changed.
func (t *target) recordResult(now, sent, usual, timeout time.Duration, r pool.Result) targetChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.health
	failuresBefore, wrongBefore := h.connectFailures, t.wrongTarget
	h.end(sent)
	// The report explains the latency of its reply.
	if r.Reply != nil && r.Reply.Load.Known {
		h.loadReported(now, r.Reply.Load)
	}
	switch {
	case neverTried(r.Err), errors.Is(r.Err, pool.ErrNoCapacity):
	case errors.Is(r.Err, pool.ErrNotSent):
		h.connectFailed(now)
	case errors.Is(r.Err, pool.ErrAbandoned):
		// A target that does not reply within the request's deadline is stalled, so
		// this counts as a slow reply.
		h.reached(now, now-sent, usual, false)
	case r.Err != nil:
		h.disconnected(now)
	case r.Reply.WrongTarget:
		t.wrongTarget = true
	case r.Reply.NotRun:
		h.shed(now)
	case r.Reply.Status == http.StatusGatewayTimeout && now-sent >= timeout:
		// The target gave up at the timeout itself, so this counts as a slow reply, like
		// an abandoned request.
		h.reached(now, now-sent, usual, false)
	default:
		h.reached(now, now-sent, usual, r.Reply.Status >= http.StatusInternalServerError || !r.Reply.OK())
	}
	switch {
	case notAccepted(r.Err):
		t.silentConnects++
	case !neverTried(r.Err):
		t.silentConnects = 0
	}
	noticeBefore := t.notice
	t.notice.record(now, r)
	switch {
	case t.wrongTarget && !wrongBefore:
		return changeWrongTarget
	case t.notice.leaving(now) && !noticeBefore.leaving(now):
		return changeLeaving
	case t.notice.paused(now) && !noticeBefore.paused(now):
		return changePaused
	case h.connectFailures > 0 && failuresBefore == 0:
		return changeUnreachable
	case h.connectFailures == 0 && failuresBefore > 0:
		return changeReachable
	}
	return changeNone
}

// neverTried reports whether an attempt was abandoned or withdrawn before anything was
// sent, which says nothing about the target.
func neverTried(err error) bool {
	return errors.Is(err, pool.ErrNotSent) && (errors.Is(err, pool.ErrAbandoned) || errors.Is(err, pool.ErrWithdrawn))
}

// targetChange is a change in the state of a target.
type targetChange uint8

const (
	changeNone targetChange = iota
	// changeWrongTarget: the process at the address is another target.
	changeWrongTarget
	// changeUnreachable: connecting to the target failed after it was reachable.
	changeUnreachable
	// changeReachable: the target could be connected to again.
	changeReachable
	// changeLeaving: the target has stated that it is going to stop.
	changeLeaving
	// changePaused: the target has stated that it wants no request for a time.
	changePaused
)

// log logs the change, if there is one.
func (c targetChange) log(id model.TargetID, err error) {
	switch c {
	case changeWrongTarget:
		events.Emit(events.TargetEjected, id, "another target uses its address")
	case changeUnreachable:
		events.Emit(events.TargetEjected, id, err)
	case changeReachable:
		events.Emit(events.TargetReadmitted, id)
	case changeLeaving:
		events.Emit(events.TargetLeaving, id, "stated in a reply")
	case changePaused:
		events.Emit(events.TargetPaused, id)
	}
}

// pauseLeft returns how long the target still wants no request; 0 if it is not paused.
func (t *target) pauseLeft(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notice.pauseLeft(now)
}

// cost returns the expected cost of another request, or false if the target must not
// get one. paced is set if the target reports its pace.
func (t *target) cost(now time.Duration) (cost float64, paced, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wrongTarget || t.Leaving || !t.notice.allows(now) || t.health.unreachable(now) || !t.coldAllowed(now) {
		return 0, false, false
	}
	return t.health.cost(now), t.health.expected.Known(), true
}

// usableAt returns when the target may get a request again by the passing of time; 0 if
// it may get one now, or nothing is known.
func (t *target) usableAt(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wrongTarget || t.Leaving || t.notice.leaving(now) || t.coldInterval < 0 {
		return 0
	}
	at := max(t.notice.pausedUntil, t.health.unreachableUntil)
	if t.coldInterval > 0 && t.coldSent {
		at = max(at, t.coldLastSent+t.coldInterval)
	}
	if at <= now {
		return 0
	}
	return at
}

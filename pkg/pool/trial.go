package pool

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/events"
)

var (
	resetsUnused  = metrics.GetOrCreateCounter(`radishturn_target_connections_reset_total{request="none"}`)
	resetsWritten = metrics.GetOrCreateCounter(`radishturn_target_connections_reset_total{request="sent"}`)
)

// trialState is what a connection has shown of its target's connection limit.
type trialState struct {
	// accepted is set once the connection has outlived the time within which a reset
	// is expected, and proven by the first byte of a reply.
	accepted, proven atomic.Bool
	// opened is when the connection was opened.
	opened time.Time
	// ended is set once the limiter no longer counts the connection as a trial.
	ended atomic.Bool
}

// accept records that the connection has outlived the time within which a reset arrives.
func (c *conn) accept() {
	c.trial.accepted.Store(true)
	c.leaveTrial()
}

// leaveTrial ends the trial of the connection at the pool's limiter, once.
func (c *conn) leaveTrial() {
	if c.trial.ended.Swap(true) {
		return
	}
	p := c.pool
	p.mu.Lock()
	limited := p.limiter.limited()
	p.limiter.end()
	p.mu.Unlock()
	if limited {
		p.freed()
	}
}

// prove records that bytes arrived on the connection, so that the target has accepted it.
func (c *conn) prove() {
	if c.trial.proven.Load() || c.trial.proven.Swap(true) {
		return
	}
	c.leaveTrial()
	p := c.pool
	p.mu.Lock()
	ended := p.limiter.proven()
	p.mu.Unlock()
	if ended {
		p.freed()
		events.Emit(events.TargetConnectionsAccepted, p.target)
	}
}

// maxPromptReset is the age up to which the reset of an unused connection shows that the
// target is above its connection limit. It covers a pause of the target before it accepts.
// The process of the target may have ended when an older one is reset.
const maxPromptReset = 300 * time.Millisecond

// OnUntestedConnection reports whether the request was sent on a new connection before it
// was known whether the target accepts it.
func (a *Attempt) OnUntestedConnection() bool {
	c := a.conn.Load()
	return c != nil && !c.trial.accepted.Load() && !c.trial.proven.Load()
}

// endTrial records the error with which the connection ended, and returns it, wrapped with
// ErrNoCapacity if the target's connection limit explains it. unused is set if no request
// was in progress.
func (c *conn) endTrial(err error, unused bool) error {
	// The reset is recorded first, so that no other connection is opened in between.
	defer c.leaveTrial()
	if c.trial.proven.Load() || !isReset(err) {
		return err
	}
	prompt := time.Since(c.trial.opened) < maxPromptReset
	return c.pool.recordReset(err, unused && prompt, c.trial.accepted.Load())
}

// fail closes the connection and ends the attempt in progress.
func (c *conn) fail(err error) {
	c.mu.Lock()
	a := c.attempt
	wasClosed := c.closed
	c.attempt, c.closed = nil, true
	reading := c.reading
	if !wasClosed {
		c.endErr = err
	}
	c.mu.Unlock()
	if reading != nil {
		reading.Release()
	}
	if !wasClosed {
		_ = c.net.Close()
	}
	if !wasClosed {
		err = c.endTrial(err, a == nil)
	}
	c.pool.remove(c)
	if !wasClosed {
		close(c.ended)
	}
	if a != nil {
		a.Done(Result{Err: err})
	}
}

// endedUnused returns why the connection ended before a request was written on it.
func (c *conn) endedUnused() error {
	c.mu.Lock()
	err := c.endErr
	c.mu.Unlock()
	if isReset(err) {
		return fmt.Errorf("%w: %w", ErrNoCapacity, err)
	}
	return errClosedUnused
}

// openFailed records that a connection could not be opened, and returns the error, wrapped
// with ErrNoCapacity if the target reset the connection.
func (p *Pool) openFailed(err error) error {
	if isReset(err) {
		err = p.recordReset(err, true, false)
	}
	p.mu.Lock()
	p.limiter.end()
	p.mu.Unlock()
	return err
}

// recordReset records that the target reset a connection that has carried no reply. It
// returns the error, wrapped with ErrNoCapacity if the connection limit explains it.
func (p *Pool) recordReset(err error, unused, accepted bool) error {
	p.resetGuard.recordReset()
	if unused {
		resetsUnused.Inc()
		p.resetGuard.recordLimit()
	} else {
		resetsWritten.Inc()
	}
	now := time.Now()
	p.mu.Lock()
	excused := p.limiter.excuses(accepted)
	began := p.limiter.reset(now, rand.Float64())
	pause := p.limiter.pauseLeft(now)
	p.mu.Unlock()
	time.AfterFunc(pause, p.freed)
	if began {
		events.Emit(events.TargetConnectionsLimited, p.target, pause.Milliseconds(), err)
	}
	if !unused && !accepted && began {
		p.testAfter(pause)
	}
	if !excused {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoCapacity, err)
}

package pool

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// guardDuration is how long new connections are delayed after one was reset.
	guardDuration = 3 * time.Second
	// minResetWait and maxResetWait bound how long a new connection waits for a reset. A
	// reset arrives one round trip after the connection was opened, and opening it took
	// one round trip; resetWaitFactor covers variations of it.
	minResetWait    = 5 * time.Millisecond
	maxResetWait    = 15 * time.Millisecond
	resetWaitFactor = 1.5
)

// ResetGuard delays the use of new connections while targets reset them. The pools
// of an instance share one.
//
// It is needed after a power loss of the whole fleet: targets still count the
// connections of the previous processes, accept new ones and reset those above
// their limit. A request that was sent before the reset may have run, which uses
// up an attempt and retry budget; a request that waits for the reset has not run.
type ResetGuard struct {
	// guardUntil and limitSeenUntil are on the monotonic clock, in nanoseconds since start.
	guardUntil, limitSeenUntil atomic.Int64
	start                      time.Time
}

// NewResetGuard returns a ResetGuard that has seen no resets.
func NewResetGuard() *ResetGuard { return &ResetGuard{start: time.Now()} }

// recordReset records that a target reset a connection that had carried no reply.
func (g *ResetGuard) recordReset() {
	if g != nil {
		g.ExpectResets(guardDuration)
	}
}

// recordLimit records that a connection limit was reached: a target reset a connection on
// which nothing was sent, or is alive after it reset one on which a request was sent.
func (g *ResetGuard) recordLimit() {
	if g != nil {
		extend(&g.limitSeenUntil, time.Since(g.start)+guardDuration)
	}
}

// ExpectResets makes new connections wait for a reset for at least d from now.
func (g *ResetGuard) ExpectResets(d time.Duration) { extend(&g.guardUntil, time.Since(g.start)+d) }

func extend(until *atomic.Int64, to time.Duration) {
	for old := until.Load(); int64(to) > old && !until.CompareAndSwap(old, int64(to)); old = until.Load() {
	}
}

// Active reports whether new connections are to wait for a reset.
func (g *ResetGuard) Active() bool {
	return g != nil && time.Since(g.start) < time.Duration(g.guardUntil.Load())
}

// LimitSeen reports whether a connection limit was recently reached. Resets of new
// connections are then no sign that a request crashes targets.
func (g *ResetGuard) LimitSeen() bool {
	return g != nil && time.Since(g.start) < time.Duration(g.limitSeenUntil.Load())
}

// resetWait returns how long a new connection that took opening to open waits for a reset.
func resetWait(opening time.Duration) time.Duration {
	return min(max(minResetWait, time.Duration(resetWaitFactor*float64(opening))), maxResetWait)
}

// isReset reports whether the other end of a connection reset it. A write after the reset
// was received fails with EPIPE.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

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
	// resetWait is how long a new connection waits for a reset: more than the
	// round-trip time to a target.
	resetWait = 5 * time.Millisecond
)

// ResetGuard delays the use of new connections while targets reset them. The pools
// of an instance share one.
//
// It is needed after a power loss of the whole fleet: targets still count the
// connections of the previous processes, accept new ones and reset those above
// their limit. A request that was sent before the reset may have run, which uses
// up an attempt and retry budget; a request that waits for the reset has not run.
type ResetGuard struct {
	// guardUntil is on the monotonic clock, in nanoseconds since start.
	guardUntil atomic.Int64
	start      time.Time
}

// NewResetGuard returns a ResetGuard that has seen no resets.
func NewResetGuard() *ResetGuard { return &ResetGuard{start: time.Now()} }

// recordError records the error that ended a connection without a reply.
func (g *ResetGuard) recordError(err error) {
	if g != nil && errors.Is(err, syscall.ECONNRESET) {
		g.guardUntil.Store(int64(time.Since(g.start) + guardDuration))
	}
}

// waitForReset waits until a new connection may be used.
func (g *ResetGuard) waitForReset() {
	if g != nil && time.Since(g.start) < time.Duration(g.guardUntil.Load()) {
		time.Sleep(resetWait)
	}
}

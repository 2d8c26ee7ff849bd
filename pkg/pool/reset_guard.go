package pool

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// guardDuration is how long new connections are watched after one was reset.
	guardDuration = 3 * time.Second
	// resetWait is how long a watched connection waits for its reset: more than
	// the way to a target and back.
	resetWait = 5 * time.Millisecond
)

// ResetGuard tells the pools of an instance that targets reset new connections.
//
// It answers this load: after a loss of power of the whole fleet, targets still
// count the connections of the processes before, accept new ones and reset those
// over their bound. A request that was sent on one meanwhile may have run, which
// costs an attempt and the retry budget; one that waits for the reset has not.
type ResetGuard struct {
	// guardUntil is on the monotonic clock, in nanoseconds since start.
	guardUntil atomic.Int64
	start      time.Time
}

// NewResetGuard returns a Caution without resets.
func NewResetGuard() *ResetGuard { return &ResetGuard{start: time.Now()} }

// recordError takes in how a connection ended that had carried no reply.
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

package pool

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// cautionTime is how long new connections are watched after one was reset.
	cautionTime = 3 * time.Second
	// settleTime is how long a watched connection waits for its reset: more than
	// the way to a target and back.
	settleTime = 5 * time.Millisecond
)

// Caution tells the pools of an instance that targets reset new connections.
//
// It answers this load: after a loss of power of the whole fleet, targets still
// count the connections of the processes before, accept new ones and reset those
// over their bound. A request that was sent on one meanwhile may have run, which
// costs an attempt and the retry budget; one that waits for the reset has not.
type Caution struct {
	// until is on the monotonic clock, in nanoseconds since start.
	until atomic.Int64
	start time.Time
}

// NewCaution returns a Caution without resets.
func NewCaution() *Caution { return &Caution{start: time.Now()} }

// note takes in how a connection ended that had carried no reply.
func (c *Caution) note(err error) {
	if c != nil && errors.Is(err, syscall.ECONNRESET) {
		c.until.Store(int64(time.Since(c.start) + cautionTime))
	}
}

// settle waits until a new connection may be used.
func (c *Caution) settle() {
	if c != nil && time.Since(c.start) < time.Duration(c.until.Load()) {
		time.Sleep(settleTime)
	}
}

package dispatch

import (
	"errors"
	"syscall"
	"time"

	"radishturn.example/radishturn/pkg/pool"
)

const (
	// maxPause bounds the pause that a target can ask for.
	maxPause = time.Minute
	// maxLeaving is how long a target is considered as leaving after the last reply that
	// says so: long enough for any target to stop, and then for its listing to end.
	maxLeaving = 10 * time.Minute
)

// notice is what a target's process has stated in its replies about the requests that
// it wants. It performs no I/O and reads no clock.
//
// Invariant: a process that is leaving or paused gets no request, neither first nor
// further ones, however few other targets there are.
type notice struct {
	// leavingUntil is set by each reply that says that the target is going to stop, and
	// pausedUntil is the end of the pause that the target has asked for.
	leavingUntil, pausedUntil time.Duration
}

func (n *notice) leaving(now time.Duration) bool { return now < n.leavingUntil }

func (n *notice) paused(now time.Duration) bool { return now < n.pausedUntil }

// allows reports whether the process wants a request at now.
func (n *notice) allows(now time.Duration) bool { return !n.leaving(now) && !n.paused(now) }

// record records the result of a request. A process whose address refuses connections
// has ended; what it stated says nothing about the next one there.
func (n *notice) record(now time.Duration, r pool.Result) {
	if errors.Is(r.Err, syscall.ECONNREFUSED) {
		*n = notice{}
		return
	}
	if r.Reply == nil {
		return
	}
	if r.Reply.Leaving {
		n.leavingUntil = now + maxLeaving
	}
	if r.Reply.RetryAfter > 0 {
		n.pausedUntil = max(n.pausedUntil, now+min(r.Reply.RetryAfter, maxPause))
	}
}

// pauseLeft returns how long it takes until a process that is paused, and not leaving,
// wants requests again; 0 for any other.
func (n *notice) pauseLeft(now time.Duration) time.Duration {
	if n.leaving(now) {
		return 0
	}
	return max(0, n.pausedUntil-now)
}

package dispatch

import (
	"cmp"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

const (
	// refusalShare is the share of its objective within which a request should be
	// refused, if at all.
	refusalShare = 0.25
	// minRetryAfter is the minimum Retry-After time of a request that was refused since
	// too many others are ahead.
	minRetryAfter = 25 * time.Millisecond
)

// kind identifies the calls that need about the same work, which are those of one route.
func (c *Call) kind() string { return c.Route.Host + c.Route.Prefix }

// refuseBy returns until when a call may be refused so that its caller receives the
// refusal within refusalShare of the objective; 0 if there is no objective.
func (e *Engine) refuseBy(c *Call, now time.Duration) time.Duration {
	if c.Route.Objective == 0 {
		return 0
	}
	began := now - time.Since(c.Arrived) - c.Elapsed
	return began + time.Duration(refusalShare*float64(c.Route.Objective)) - answerMargin
}

// checkAfterWait returns why a call that has waited, also for its body, must no longer be
// served, by the state in force now, or nil.
func (e *Engine) checkAfterWait(c *Call) *failure.Error {
	return cmp.Or(c.recheck(), refuseQuarantined(c, e.current()))
}

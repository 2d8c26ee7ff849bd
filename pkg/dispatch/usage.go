package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/boottime"
	"radishturn.example/radishturn/pkg/pool"
)

// mayHaveRun reports whether a target may have run a request with this result.
func mayHaveRun(r pool.Result) bool {
	return !isNotSent(r.Err) && (r.Reply == nil || !r.Reply.NotRun && !r.Reply.WrongTarget)
}

// recordUsage counts the call once for its caller, by the time of the first request that a
// target is known to have run, or may have run. The request was sent age ago.
func (e *Engine) recordUsage(c *Call, age time.Duration, r pool.Result) {
	if e.opts.Usage == nil || c.Caller == "" || !mayHaveRun(r) {
		return
	}
	if c.usageCounted.CompareAndSwap(false, true) {
		e.opts.Usage.RecordRun(c.Caller, boottime.Now()-age)
	}
}

package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/pool"
)

// UsageRule selects what counts as usage of a caller.
type UsageRule uint8

// Rules for counting usage.
const (
	// CountRuns counts each request to a target that may have run, so also the request
	// of each shard, hedges and retries.
	CountRuns UsageRule = iota
	// CountCalls counts each call of a caller once, if some target may have run it, by
	// the time of the first request that is known to have done so.
	CountCalls
)

// mayHaveRun reports whether a target may have run a request with this result.
func mayHaveRun(r pool.Result) bool {
	return !isNotSent(r.Err) && (r.Reply == nil || !r.Reply.NotRun && !r.Reply.WrongTarget)
}

// countsAsUsage reports whether the result of a request to a target counts as usage of
// the call's caller.
func (rule UsageRule) countsAsUsage(c *Call, r pool.Result) bool {
	if c.Caller == "" || !mayHaveRun(r) {
		return false
	}
	return rule == CountRuns || c.usageCounted.CompareAndSwap(false, true)
}

// recordUsage counts a request that was sent at the given boot time, if it is usage.
func (e *Engine) recordUsage(c *Call, sent time.Duration, r pool.Result) {
	if e.opts.Usage != nil && e.opts.UsageRule.countsAsUsage(c, r) {
		e.opts.Usage.RecordRun(c.Caller, sent)
	}
}

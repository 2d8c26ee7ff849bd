package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
)

// Outcome is how a call ended. Exactly one of Reply, Answer and Err is set.
type Outcome struct {
	// Reply is a target's reply, to be passed on unchanged.
	Reply *exchange.Reply
	// Answer is the merged answer to a query over shards.
	Answer *Answer
	Err    *failure.Error
	Trace  Trace
}

// NotRun reports whether no target ran the call.
func (o Outcome) NotRun() bool { return o.Err != nil && o.Err.Ran == failure.NotRun }

// Answer is merged from the parts of several shards.
type Answer struct {
	// Signatures are those of the parts, one for each shard that is in.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
	// Records are the greatest records of all parts, greatest first.
	Records []byte
}

// Trace is what the log tells of a call.
type Trace struct {
	// Sent counts requests to targets; Hedged and Retried those beyond the
	// first to each shard.
	Sent, Hedged, Retried int
	// Denied counts extra requests that the retry budget did not allow.
	Denied int
	// TableVersion is the version of the routing table that was used.
	TableVersion uint64
	// Late tells of shards that did not answer in time, or of the service of a
	// call that failed, what became of the requests to targets.
	Late []string
	// LeaseLeft is how long the lease held on when the call came; 0 if control is
	// lost. What the instance knows is no older than the lease.
	LeaseLeft time.Duration
	// Usual is the usual latency of the route's requests to targets.
	Usual time.Duration

	decisions []decision
}

func (e *Engine) newTrace(c *Call) Trace {
	return Trace{TableVersion: c.page.table().Version(), Usual: c.stats.usual(), LeaseLeft: e.opts.Views.LeaseLeft()}
}

func refuse(code failure.Code, ran failure.Ran, step, peer string, retryAfter time.Duration, format string, args ...any) *failure.Error {
	e := failure.New(code, ran, step, peer, format, args...)
	e.RetryAfter = retryAfter
	return e
}

package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
)

// Outcome is the result of a call. Exactly one of Reply, Answer and Err is set.
type Outcome struct {
	// Reply is a target's reply, to be forwarded unchanged.
	Reply *exchange.Reply
	// Answer is the merged answer to a query over shards.
	Answer *Answer
	Err    *failure.Error
	Trace  Trace
}

// NotRun reports whether no target ran the call.
func (o Outcome) NotRun() bool { return o.Err != nil && o.Err.Ran == failure.NotRun }

// Answer is the merged answer to a query over shards.
type Answer struct {
	// Signatures are the signatures of the parts, one per shard in the answer.
	Signatures []string
	// Missing is the number of shards that the answer lacks.
	Missing int
	// Records are the greatest records of all parts, greatest first.
	Records []byte
}

// Trace holds the details of a call for the log.
type Trace struct {
	// Sent counts requests to targets. Hedged and Retried count those beyond the
	// first to each shard.
	Sent, Hedged, Retried int
	// Denied counts extra requests that the retry budget did not allow.
	Denied int
	// TableVersion is the version of the routing table that was used.
	TableVersion uint64
	// Late describes the requests to targets and their results, for shards that
	// did not answer in time or for the service of a failed call.
	Late []string
	// LeaseLeft is the remaining lease time when the call arrived; 0 if control is
	// lost. The instance's view is no older than the lease.
	LeaseLeft time.Duration
	// Usual is the usual latency of the route's requests to targets.
	Usual time.Duration

	deferred []deferredEvent
}

func (e *Engine) newTrace(c *Call) Trace {
	return Trace{TableVersion: c.snapshot.table().Version(), Usual: c.stats.usual(), LeaseLeft: e.opts.Views.LeaseLeft()}
}

func refuse(code failure.Code, ran failure.Ran, step, peer string, retryAfter time.Duration, format string, args ...any) *failure.Error {
	e := failure.New(code, ran, step, peer, format, args...)
	e.RetryAfter = retryAfter
	return e
}

package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/pool"
)

// Outcome is the result of a call. Exactly one of Reply, Answer and Err is set.
type Outcome struct {
	// Reply is a target's reply, to be forwarded unchanged.
	Reply *exchange.Reply
	// Answer is the merged answer to a query over shards.
	Answer *Answer
	Err    *failure.Error
	Trace  Trace

	// attempt is the one whose reply is Reply.
	attempt *pool.Attempt
}

// Release returns the memory that the reply takes. It is called once the outcome is
// delivered.
func (o Outcome) Release() {
	if o.attempt != nil {
		o.attempt.Release()
	}
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
	// Sent counts requests to targets. For a query, Hedged counts all further requests
	// to its shards, also retries, and RetriesDue is 0. For a call to one service, Hedged
	// counts the hedges that were sent, and RetriesDue how often no request was left in
	// flight and a retry was due, whether or not it was sent.
	Sent, Hedged, RetriesDue int
	// Denied counts extra requests that the retry budget did not allow.
	Denied int
	// TableVersion is the version of the routing table that was used.
	TableVersion uint64
	// Unanswered describes the requests to targets and their results, for shards that
	// did not answer in time or for the service of a failed or refused call. A shard
	// without a usable target is listed by its name only.
	Unanswered []string
	// LeaseLeft is the remaining lease time when the call arrived; 0 unless the lease
	// is held. It tells how old the view may be: the view was current when the lease
	// was last renewed.
	LeaseLeft time.Duration
	// Usual is the usual latency of the route's requests to targets.
	Usual time.Duration

	deferred []deferredEvent
}

func (e *Engine) newTrace(c *Call) Trace {
	return Trace{TableVersion: c.pinned.tableVersion, Usual: c.stats.usual(), LeaseLeft: e.opts.Views.LeaseLeft()}
}

func newRefusal(code failure.Code, ran failure.Ran, step, peer string, retryAfter time.Duration, format string, args ...any) *failure.Error {
	e := failure.New(code, ran, step, peer, format, args...)
	e.RetryAfter = retryAfter
	return e
}

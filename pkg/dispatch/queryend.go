package dispatch

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

func (q *query) finish() Outcome {
	q.abandon(lingerTime)
	q.answer.Missing = len(q.call.Route.Fanout.Shards) - q.run.Parts()
	q.answer.Records = q.top.Bytes()
	q.traceUnanswered()
	return Outcome{Answer: &q.answer, Trace: q.trace}
}

func (q *query) fail(linger time.Duration, code failure.Code, step string) Outcome {
	q.abandon(linger)
	q.traceUnanswered()
	ran := failure.NotRun
	if q.mayHaveRun() {
		ran = failure.Unknown
	}
	err := failure.New(code, ran, step, "", "%d of %d parts received, %d required",
		q.run.Parts(), len(q.call.Route.Fanout.Shards), q.plan.Required)
	return Outcome{Err: err, Trace: q.trace}
}

// mayHaveRun reports whether some target may have run a request of the query.
func (q *query) mayHaveRun() bool {
	return slices.ContainsFunc(q.sentByShard, sentRequests.mayHaveRun)
}

// maxUnansweredShards is the maximum number of unanswered shards described in a
// trace; shards without a target are all listed.
const maxUnansweredShards = 4

// traceUnanswered records the shards without a part, and their requests, in the trace.
func (q *query) traceUnanswered() {
	q.trace.Unanswered = append(q.trace.Unanswered, q.unansweredShards()...)
	lines := 0
	for i, s := range q.call.Route.Fanout.Shards {
		if !q.run.Done(i) {
			q.engine.deferSentEvents(q.call, &q.trace, s, q.sentByShard[i], &lines)
		}
	}
}

// unansweredShards describes the requests to shards that have not answered, for at
// most maxUnansweredShards of them.
func (q *query) unansweredShards() []string {
	var unanswered []string
	for i, s := range q.call.Route.Fanout.Shards {
		if !q.run.Done(i) && len(unanswered) < maxUnansweredShards {
			unanswered = append(unanswered, describeRequests(s, q.sentByShard[i]))
		}
	}
	return unanswered
}

// abandon abandons the requests in flight.
func (q *query) abandon(linger time.Duration) {
	for _, sent := range q.sentByShard {
		for _, r := range sent {
			if !r.completed {
				r.attempt.Abandon(linger)
			}
		}
	}
}

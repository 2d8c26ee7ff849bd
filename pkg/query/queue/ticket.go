package queue

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Request is a request to be scheduled. All times are on one clock, that of the user
// of the queue.
type Request struct {
	Arrived time.Duration
	// OnTimeStart is the latest start at which the request meets its latency
	// objective, and LatestStart the latest one at which it meets its deadline.
	OnTimeStart, LatestStart time.Duration
	// RefuseBy is until when a waiting request may be refused since it is expected to
	// start too late; 0 means never. After it, the request waits until LatestStart.
	RefuseBy time.Duration
	// Priority 0 is the highest.
	Priority int
	// Kind identifies requests that need about the same work.
	Kind string
	// Work is the expected work, used until that of the kind is learned.
	Work time.Duration
	// Caller is the account; empty if there is none. Weight is its share relative to
	// other accounts; 0 means 1.
	Caller model.CallerID
	Weight float64
}

func (r *Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// late reports whether the request can no longer meet its objective.
func (r *Request) late(now time.Duration) bool { return now > r.OnTimeStart }

// Ticket is a request in the queue.
type Ticket struct {
	Request
	// Decided is closed when the request is started or refused; Refused tells which,
	// and RetryAfter when a refused request should return.
	Decided    chan struct{}
	Refused    bool
	RetryAfter time.Duration

	// owed is set if the request's kind or account is owed a start.
	owed bool
	// arrivedVirtual is the virtual time at its arrival, and tag the one at which it
	// begins to use its account's share.
	arrivedVirtual, tag float64
	// work is the expected work as of the last time that the queue was ordered.
	work work
	// startedAt and charged are when the request started and the work expected then.
	startedAt time.Duration
	charged   float64
}

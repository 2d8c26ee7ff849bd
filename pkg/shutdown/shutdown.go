// Package shutdown plans a graceful shutdown: until when an instance takes requests,
// and by when each request that it took has an answer.
package shutdown

import (
	"context"
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

// ErrStopping is the cause with which the contexts of requests end that are still in
// progress at Schedule.AnswerBy.
var ErrStopping = errors.New("the instance is stopping")

// IsStopping reports whether a shutdown has ended ctx, and not the caller.
func IsStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

const (
	// retryAfter is the Retry-After time of a refused request: another instance can take
	// it at once.
	retryAfter = 10 * time.Millisecond
	// closeShare and answerShare are the parts of the grace at whose end connections
	// close and the last answers are decided. The rest is for their delivery, and for
	// the modules that shut down afterwards.
	closeShare  = 11.0 / 12
	answerShare = 10.0 / 12
	// takeShare bounds, as a part of the time until AnswerBy, how long requests are taken.
	takeShare = 0.5
	// repeatableReserve and otherReserve are how many times its expected duration a
	// request must have left. One that may not be repeated has no second target to
	// turn to.
	repeatableReserve = 4
	otherReserve      = 10
)

// Schedule holds the moments of a graceful shutdown, counted from its start.
type Schedule struct {
	// TakeUntil is until when the instance takes requests. Later ones are refused as
	// not run.
	TakeUntil time.Duration
	// AnswerBy is when requests without a result end with a failure.
	AnswerBy time.Duration
	// CloseAt is when the remaining connections close.
	CloseAt time.Duration
}

// Plan returns the schedule for an instance whose process must end a grace after the
// start of the shutdown. The load balancer may send it new connections for balancerLag.
func Plan(grace, balancerLag time.Duration) Schedule {
	s := Schedule{CloseAt: share(closeShare, grace), AnswerBy: share(answerShare, grace)}
	s.TakeUntil = min(balancerLag, share(takeShare, s.AnswerBy))
	return s
}

func share(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}

// Request is what the admission of a request depends on.
type Request struct {
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Expected is the usual duration of such a request; 0 means unknown.
	Expected time.Duration
	// Repeatable is set if the request may run more than once.
	Repeatable bool
}

// Admit reports whether a request is taken that arrives so long after the start of the
// shutdown. It returns the request's timeout, which ends by AnswerBy.
func (s Schedule) Admit(since time.Duration, r Request) (time.Duration, bool) {
	left := s.AnswerBy - since
	switch {
	case since >= s.TakeUntil:
		return 0, false
	case r.Timeout <= left:
		return r.Timeout, true
	}
	reserve := time.Duration(otherReserve)
	if r.Repeatable {
		reserve = repeatableReserve
	}
	return left, left >= reserve*r.Expected
}

// Refuse returns the refusal of a request that is not taken. The caller finds another
// instance by a new connection.
func Refuse() *failure.Error {
	err := failure.New(failure.Draining, failure.NotRun, "admit request", "", "%w", ErrStopping)
	err.RetryAfter = retryAfter
	return err
}

// Began returns when the shutdown began that must be over by the deadline of ctx. It is
// now if ctx has no deadline.
func Began(ctx context.Context, grace time.Duration, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now
	}
	return deadline.Add(-grace)
}

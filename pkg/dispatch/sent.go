package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// sentRequest is one request to a target.
type sentRequest struct {
	shard   int
	target  *target
	attempt *pool.Attempt
	// sentAt and resultAt are relative to the arrival of the call; resultAt is 0 until
	// there is a result.
	sentAt, resultAt time.Duration
	// cost is the expected cost of the target, and fleetCost what the instances together
	// reported, both in usual latencies and as of sentAt.
	cost, fleetCost float64
	completed       bool
	// mayHaveArrived is false once it is known that the target did not receive the
	// request, and mayHaveRun once it is known that the target did not run it.
	mayHaveArrived, mayHaveRun bool
	// targetEnded is set once the target is known to have ended, or to be cut off, since
	// the request was sent. The request then no longer counts as one of the attempts
	// that the route allows, though the target may have run it.
	targetEnded bool
	// result is set by another goroutine before the request is delivered on the
	// results channel. It may be read once completed is set.
	result pool.Result
}

// newSentRequest returns a request that is to be sent now.
func newSentRequest(c *Call, current currentView, shard int, t *target, now time.Duration) *sentRequest {
	cost, _, _ := t.cost(now)
	return &sentRequest{shard: shard, target: t, sentAt: time.Since(c.Arrived), cost: cost, fleetCost: current.view.ExpensiveTargets[t.ID], mayHaveArrived: true, mayHaveRun: true}
}

// complete records that the result is available, and whether the request may have
// arrived and run.
func (r *sentRequest) complete(c *Call) {
	r.completed, r.resultAt = true, time.Since(c.Arrived)
	r.mayHaveArrived = !isNotSent(r.result.Err)
	r.mayHaveRun = mayHaveRun(r.result)
	// The connection times out if the target's machine acknowledges nothing.
	r.targetEnded = r.targetEnded || errors.Is(r.result.Err, syscall.ETIMEDOUT)
}

func isNotSent(err error) bool { return errors.Is(err, pool.ErrNotSent) }

// sentRequests are the requests to one shard of a query, or those of a call to one
// service.
type sentRequests []*sentRequest

// mayHaveArrived reports whether some target may have received a request. If so, a
// further request is an extra request.
func (s sentRequests) mayHaveArrived() bool {
	return slices.ContainsFunc(s, func(r *sentRequest) bool { return r.mayHaveArrived })
}

// mayHaveRun reports whether some target may have run a request.
func (s sentRequests) mayHaveRun() bool {
	return slices.ContainsFunc(s, func(r *sentRequest) bool { return r.mayHaveRun })
}

// requests returns how many of the requests were sent, or not sent for another reason than
// that the target accepted no connection.
func (s sentRequests) requests() int {
	n := 0
	for _, r := range s {
		if !r.noConnection() {
			n++
		}
	}
	return n
}

// attemptOf returns the attempt that got a reply, or nil.
func (s sentRequests) attemptOf(reply *exchange.Reply) *pool.Attempt {
	for _, r := range s {
		if reply != nil && r.completed && r.result.Reply == reply {
			return r.attempt
		}
	}
	return nil
}

// release returns the memory of all replies but one, which may be nil.
func (s sentRequests) release(kept *pool.Attempt) {
	for _, r := range s {
		if r.attempt != kept {
			r.attempt.Release()
		}
	}
}

// attempts returns how many targets may have run a request, without those that have
// ended since.
func (s sentRequests) attempts() int {
	targets := make(map[model.TargetID]bool)
	for _, r := range s {
		if r.mayHaveRun && !r.targetEnded {
			targets[r.target.ID] = true
		}
	}
	return len(targets)
}

// targets returns the targets that requests were sent to, without those that accepted no
// connection for it, and those that may have run one.
func (s sentRequests) targets() (asked, mayHaveRun map[model.TargetID]bool) {
	asked, mayHaveRun = make(map[model.TargetID]bool), make(map[model.TargetID]bool)
	for _, r := range s {
		asked[r.target.ID] = asked[r.target.ID] || !r.noConnection()
		if r.mayHaveRun {
			mayHaveRun[r.target.ID] = true
		}
	}
	return asked, mayHaveRun
}

// Results of a request to a target, as logged.
const (
	resultPending   = "pending"
	resultUnreached = "unreached"
	resultWithdrawn = "withdrawn"
	resultAbandoned = "abandoned"
	// resultNoCapacity: the target reset the connection before its first reply.
	resultNoCapacity  = "no-connection"
	resultBroken      = "broken"
	resultShed        = "shed"
	resultWrongTarget = "wrong-target"
)

// resultLabel returns the result of the request: one of the above, or the status of
// the reply.
func (r *sentRequest) resultLabel() string {
	if !r.completed {
		return resultPending
	}
	reply, err := r.result.Reply, r.result.Err
	switch {
	case errors.Is(err, pool.ErrWithdrawn):
		return resultWithdrawn
	case errors.Is(err, pool.ErrNoCapacity):
		return resultNoCapacity
	case isNotSent(err):
		return resultUnreached
	case errors.Is(err, pool.ErrAbandoned):
		return resultAbandoned
	case reply == nil:
		return resultBroken
	case reply.WrongTarget:
		return resultWrongTarget
	case reply.NotRun:
		return resultShed
	}
	return strconv.Itoa(reply.Status)
}

// String formats the request as "target@milliseconds:result".
func (r *sentRequest) String() string {
	return fmt.Sprintf("%s@%d:%s", r.target.ID, r.sentAt.Milliseconds(), r.resultLabel())
}

// describeRequests formats the requests to a shard or service, as in
// "name=a@0:shed+b@70:pending".
func describeRequests(name model.ServiceID, sent sentRequests) string {
	parts := make([]string, 0, len(sent))
	for _, r := range sent {
		parts = append(parts, r.String())
	}
	return strings.TrimSuffix(string(name)+"="+strings.Join(parts, "+"), "=")
}

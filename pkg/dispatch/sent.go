package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// sentPart is one request to a target.
type sentPart struct {
	shard   int
	target  *target
	attempt *pool.Attempt
	// sentAt and replyAt are times since the call arrived; replyAt is 0 without a
	// result.
	sentAt, replyAt time.Duration
	// cost is what the target was expected to cost, in usual latencies.
	cost  float64
	ended bool
	// arrived is false once it is known that the target did not get the request,
	// and mayHaveRun once it is known that the target did not run it.
	arrived, mayHaveRun bool
	// result is set by another goroutine before the part is delivered; it may be
	// read once ended is set.
	result pool.Result
}

// newSent returns a request that is about to be sent at now.
func newSent(c *Call, shard int, t *target, now time.Duration) *sentPart {
	cost, _ := t.cost(now)
	return &sentPart{shard: shard, target: t, sentAt: time.Since(c.Arrived), cost: cost, arrived: true, mayHaveRun: true}
}

// end notes that the result is there, and what it says of the request.
func (s *sentPart) end(c *Call) {
	reply := s.result.Reply
	s.ended, s.replyAt = true, time.Since(c.Arrived)
	s.arrived = !isNotSent(s.result.Err)
	s.mayHaveRun = s.arrived && (reply == nil || !reply.NotRun && !reply.WrongTarget)
}

// sends are the requests for one shard, or of a call to one service.
type sends []*sentPart

// haveArrived reports whether some target may have got a request. A further one
// is an extra request then.
func (s sends) haveArrived() bool {
	return slices.ContainsFunc(s, func(p *sentPart) bool { return p.arrived })
}

// mayHaveRun reports whether some target may have run a request.
func (s sends) mayHaveRun() bool {
	return slices.ContainsFunc(s, func(p *sentPart) bool { return p.mayHaveRun })
}

// targets returns the targets that requests were sent to, and those of them that
// may have run one.
func (s sends) targets() (asked, ran map[model.TargetID]bool) {
	asked, ran = make(map[model.TargetID]bool), make(map[model.TargetID]bool)
	for _, p := range s {
		asked[p.target.ID] = true
		if p.mayHaveRun {
			ran[p.target.ID] = true
		}
	}
	return asked, ran
}

// Words for what became of a request to a target.
const (
	fatePending   = "pending"
	fateUnreached = "unreached"
	fateAbandoned = "abandoned"
	fateBroken    = "broken"
	fateShed      = "shed"
	fateDenied    = "wrong-target"
)

// fate says what became of the request.
func (s *sentPart) fate() string {
	if !s.ended {
		return fatePending
	}
	reply, err := s.result.Reply, s.result.Err
	switch {
	case isNotSent(err):
		return fateUnreached
	case errors.Is(err, pool.ErrAbandoned):
		return fateAbandoned
	case reply == nil:
		return fateBroken
	case reply.WrongTarget:
		return fateDenied
	case reply.NotRun:
		return fateShed
	}
	return strconv.Itoa(reply.Status)
}

// String tells the request as "target@milliseconds:fate".
func (s *sentPart) String() string {
	return fmt.Sprintf("%s@%d:%s", s.target.ID, s.sentAt.Milliseconds(), s.fate())
}

// story tells the requests for a shard or service, as "name=a@0:shed+b@70:pending".
func story(name model.ServiceID, sent sends) string {
	parts := make([]string, 0, len(sent))
	for _, s := range sent {
		parts = append(parts, s.String())
	}
	return strings.TrimSuffix(string(name)+"="+strings.Join(parts, "+"), "=")
}

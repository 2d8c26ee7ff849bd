package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// sentPart is one request to a target.
type sentPart struct {
	shard   int
	target  *target
	attempt *pool.Attempt
	// sentAt is the time since the call arrived.
	sentAt time.Duration
	ended  bool
	// arrived is false once it is known that the target did not get the request,
	// and mayHaveRun once it is known that the target did not run it.
	arrived, mayHaveRun bool
	// result is set by another goroutine before the part is delivered; it may be
	// read once ended is set.
	result pool.Result
}

// hasArrived reports whether some target may have got a request for a shard. A
// further one is an extra request then.
func (q *query) hasArrived(i int) bool {
	return slices.ContainsFunc(q.sent[i], func(s *sentPart) bool { return s.arrived })
}

// targetsOf returns the targets that a shard's request was sent to, and those
// of them that may have run it.
func (q *query) targetsOf(i int) (asked, ran map[model.TargetID]bool) {
	asked, ran = make(map[model.TargetID]bool), make(map[model.TargetID]bool)
	for _, s := range q.sent[i] {
		asked[s.target.ID] = true
		if s.mayHaveRun {
			ran[s.target.ID] = true
		}
	}
	return asked, ran
}

// ran says whether some target may have run the query.
func (q *query) ran() failure.Ran {
	for _, sent := range q.sent {
		if slices.ContainsFunc(sent, func(s *sentPart) bool { return s.mayHaveRun }) {
			return failure.Unknown
		}
	}
	return failure.NotRun
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
func story(name model.ServiceID, sent []*sentPart) string {
	parts := make([]string, 0, len(sent))
	for _, s := range sent {
		parts = append(parts, s.String())
	}
	return strings.TrimSuffix(string(name)+"="+strings.Join(parts, "+"), "=")
}

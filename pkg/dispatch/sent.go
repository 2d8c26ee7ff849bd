package dispatch

import (
	"slices"
	"strings"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// sentPart is one request to a target.
type sentPart struct {
	shard   int
	target  *target
	attempt *pool.Attempt
	ended   bool
	// arrived is false once it is known that the target did not get the request,
	// and mayHaveRun once it is known that the target did not run it.
	arrived, mayHaveRun bool
	// result is set before the part is delivered.
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

// lateName names a shard with the targets that were asked, as "shard=a+b".
func lateName(shard model.ServiceID, sent []*sentPart) string {
	var name strings.Builder
	name.WriteString(string(shard))
	for i, s := range sent {
		name.WriteString([]string{"=", "+"}[min(i, 1)])
		name.WriteString(string(s.target.ID))
	}
	return name.String()
}

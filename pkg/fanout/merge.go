package fanout

import (
	"cmp"
	"slices"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

// covered returns the documents of the leaves that answered.
func (r *run) covered() int {
	n := 0
	for i := range r.legs {
		if r.legs[i].answered {
			n += r.plan.snapshot.Leaves[i].Documents
		}
	}
	return n
}

// coverage counts against the partition map of the pinned snapshot.
func (r *run) coverage() query.Coverage {
	c := query.Coverage{Answered: r.covered(), Total: r.plan.documents, Fraction: 1}
	for i := range r.legs {
		if l := &r.legs[i]; !l.answered {
			part := r.plan.snapshot.Leaves[i].Leaf
			c.Missing = append(c.Missing, query.MissingLeaf{Service: part.Service, Leaf: part.Leaf, Reason: l.missing})
		}
	}
	if c.Total > 0 {
		c.Fraction = float64(c.Answered) / float64(c.Total)
	}
	return c
}

// conclude merges the replies, or refuses an answer that covers too little.
func (s *Service) conclude(c *collection, o *outcome, r *run) (*query.Answer, error) {
	coverage := r.coverage()
	s.metrics.coverage(coverage.Fraction)
	answered := len(r.legs) - len(coverage.Missing)
	if answered == 0 {
		return nil, r.failureWithoutAnswer(coverage.Missing)
	}
	if least := leastCoverage(c.settings, o.request); coverage.Fraction < least {
		return nil, failure.New(failure.CoverageTooLow, failure.DidRun, stepFanout, "",
			"%d of %d documents covered, %g wanted", coverage.Answered, coverage.Total, least)
	}
	return &query.Answer{
		RequestID: o.request.ID,
		Snapshot:  r.plan.snapshot.ID,
		Coverage:  coverage,
		Hits:      r.merge(o.request.Limit),
		Version:   r.mainVersion(),
	}, nil
}

// mainVersion returns the version that answered for most leaves.
func (r *run) mainVersion() model.VersionID {
	counts := make(map[model.VersionID]int, 2)
	var most model.VersionID
	for i := range r.legs {
		for _, a := range r.legs[i].attempts[:r.legs[i].count] {
			if !a.ended || a.kind != target.KindOK {
				continue
			}
			v := a.target.target.Version
			counts[v]++
			if counts[v] > counts[most] {
				most = v
			}
		}
	}
	return most
}

// leastCoverage is what the caller asks for, else what the collection's policy does.
func leastCoverage(c settings.Collection, r *query.Request) float64 {
	if r.MinCoverage >= 0 {
		return r.MinCoverage
	}
	if c.Policy == settings.PreferCoverage {
		return c.MinCoverage
	}
	return 0
}

func (r *run) failureWithoutAnswer(missing []query.MissingLeaf) error {
	code := failure.NoTarget
	if len(missing) > 0 {
		code = codeOfMissing(missing[0].Reason)
	}
	return &failure.Error{Code: code, Ran: r.ran(), Step: stepFanout, RetryAfter: retryAfterOverload}
}

func codeOfMissing(reason query.MissingReason) failure.Code {
	switch reason {
	case query.MissingDeadline:
		return failure.DeadlineExceeded
	case query.MissingShed:
		return failure.Overloaded
	case query.MissingNotHeld:
		return failure.NotHeld
	case query.MissingMismatched:
		return failure.MismatchedReply
	case query.MissingFailed:
		return failure.TargetFailed
	}
	return failure.NoTarget
}

// merge returns the best hits of all replies, best first.
func (r *run) merge(limit int) []targetproto.Hit {
	top := make([]targetproto.Hit, 0, max(limit, 0))
	for i := range r.legs {
		if !r.legs[i].answered {
			continue
		}
		for _, hit := range r.legs[i].reply.Hits {
			top = insert(top, hit, limit)
		}
	}
	return top
}

// insert puts hit into its place among the best limit hits.
func insert(top []targetproto.Hit, hit targetproto.Hit, limit int) []targetproto.Hit {
	if limit <= 0 || (len(top) == limit && compareHits(hit, top[limit-1]) >= 0) {
		return top
	}
	place, _ := slices.BinarySearchFunc(top, hit, compareHits)
	if len(top) == limit {
		top = top[:limit-1]
	}
	return slices.Insert(top, place, hit)
}

// compareHits orders by falling score, then by ID.
func compareHits(a, b targetproto.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

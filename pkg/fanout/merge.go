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

// coveredDocuments returns the number of documents in the leaves that answered.
func (p *pass) coveredDocuments() int {
	n := 0
	for i := range p.subqueries {
		if p.subqueries[i].answered {
			n += p.plan.snapshot.Leaves[i].Documents
		}
	}
	return n
}

// coverage returns the share of documents covered, relative to all documents of the
// plan's snapshot, and the leaves that are missing. Answered and Total count documents.
func (p *pass) coverage() query.Coverage {
	c := query.Coverage{Answered: p.coveredDocuments(), Total: p.plan.documents, Fraction: 1}
	for i := range p.subqueries {
		if sq := &p.subqueries[i]; !sq.answered {
			id := p.plan.snapshot.Leaves[i].Leaf
			c.Missing = append(c.Missing, query.MissingLeaf{Service: id.Service, Leaf: id.Leaf, Reason: sq.missingReason})
		}
	}
	if c.Total > 0 {
		c.Fraction = float64(c.Answered) / float64(c.Total)
	}
	return c
}

// buildAnswer merges the replies into an answer. It fails if no leaf answered or if
// the coverage is below the required one.
func (s *Service) buildAnswer(c *collection, record *queryRecord, p *pass) (*query.Answer, error) {
	coverage := p.coverage()
	s.metrics.countAnswer(coverage.Fraction)
	answered := len(p.subqueries) - len(coverage.Missing)
	if answered == 0 {
		return nil, p.noAnswerError(coverage.Missing)
	}
	if required := requiredCoverage(c.settings, record.request); coverage.Fraction < required {
		return nil, failure.New(failure.CoverageTooLow, failure.DidRun, stepFanout, "",
			"%d of %d documents covered, but a coverage of %g is required", coverage.Answered, coverage.Total, required)
	}
	return &query.Answer{
		RequestID: record.request.ID,
		Snapshot:  p.plan.snapshot.ID,
		Coverage:  coverage,
		Hits:      p.merge(record.request.Limit),
		Version:   p.mostCommonVersion(),
	}, nil
}

// mostCommonVersion returns the target version that answered for the most leaves.
func (p *pass) mostCommonVersion() model.VersionID {
	counts := make(map[model.VersionID]int, 2)
	var mostCommon model.VersionID
	for i := range p.subqueries {
		for _, a := range p.subqueries[i].attempts[:p.subqueries[i].attemptCount] {
			if !a.ended || a.kind != target.KindOK {
				continue
			}
			v := a.target.target.Version
			counts[v]++
			if counts[v] > counts[mostCommon] {
				mostCommon = v
			}
		}
	}
	return mostCommon
}

// requiredCoverage returns the caller's minimum coverage or, if the caller gave none,
// that of the collection's policy.
func requiredCoverage(c settings.Collection, r *query.Request) float64 {
	if r.MinCoverage >= 0 {
		return r.MinCoverage
	}
	if c.Policy == settings.PreferCoverage {
		return c.MinCoverage
	}
	return 0
}

func (p *pass) noAnswerError(missing []query.MissingLeaf) error {
	code := failure.NoTarget
	if len(missing) > 0 {
		code = failureCode(missing[0].Reason)
	}
	return &failure.Error{Code: code, Ran: p.ran(), Step: stepFanout, RetryAfter: retryAfterOverload}
}

func failureCode(reason query.MissingReason) failure.Code {
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

// merge returns the best hits of all replies, at most limit, best first.
func (p *pass) merge(limit int) []targetproto.Hit {
	top := make([]targetproto.Hit, 0, max(limit, 0))
	for i := range p.subqueries {
		if !p.subqueries[i].answered {
			continue
		}
		for _, hit := range p.subqueries[i].reply.Hits {
			top = insertHit(top, hit, limit)
		}
	}
	return top
}

// insertHit inserts hit into the sorted list of the best limit hits.
func insertHit(top []targetproto.Hit, hit targetproto.Hit, limit int) []targetproto.Hit {
	if limit <= 0 || (len(top) == limit && compareHits(hit, top[limit-1]) >= 0) {
		return top
	}
	index, _ := slices.BinarySearchFunc(top, hit, compareHits)
	if len(top) == limit {
		top = top[:limit-1]
	}
	return slices.Insert(top, index, hit)
}

// compareHits orders hits by descending score, then by ID.
func compareHits(a, b targetproto.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

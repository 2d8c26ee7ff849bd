package load

import (
	"fmt"
	"math"
	"strings"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/standin"
	"radishturn.example/radishturn/pkg/standin/content"
	"radishturn.example/radishturn/pkg/targetproto"
)

// ViolationKind is the kind of a violation.
type ViolationKind string

// Kinds of violations of the invariants that hold for every answer and order.
const (
	// MixedAnswer is an answer with hits from a snapshot other than the one that
	// it states.
	MixedAnswer ViolationKind = "mixed-answer"
	// FalseCoverage is a stated coverage that contradicts the leaves of the
	// snapshot and their document counts.
	FalseCoverage ViolationKind = "false-coverage"
	// WrongHits is an answer whose hits are not the best ones of the leaves that
	// it claims to cover, or that has hits from a leaf listed as missing.
	WrongHits ViolationKind = "wrong-hits"
	// OtherRequest is an answer to another request.
	OtherRequest ViolationKind = "other-request"
	// UnknownSnapshot is an answer that names a snapshot that does not exist.
	UnknownSnapshot ViolationKind = "unknown-snapshot"
	// LowCoverage is an answer below the coverage that the caller asked for.
	LowCoverage ViolationKind = "low-coverage"
	// MalformedAnswer is an answer that does not follow the caller API.
	MalformedAnswer ViolationKind = "malformed-answer"
	// FalseNotRun is the answer "not-run" to a request that a target ran.
	FalseNotRun ViolationKind = "false-not-run"
	// MultipleRuns is an order that ran more than once under one idempotency key.
	MultipleRuns ViolationKind = "repeated-order"
	// FalseConfirmation is a confirmation that no target returned for the
	// idempotency key, or a second one that claims to be from the first run.
	FalseConfirmation ViolationKind = "false-confirmation"
	// UnseenRequest is an answered query that no target ran. It also detects
	// request IDs that differ between entries and targets, in which case
	// FalseNotRun cannot be detected.
	UnseenRequest ViolationKind = "unseen-request"
)

// Violation is one violation that a check found.
type Violation struct {
	Kind    ViolationKind   `json:"kind"`
	Request model.RequestID `json:"request,omitempty"`
	Detail  string          `json:"detail"`
}

// coverageTolerance is the accepted rounding error of the covered fraction.
const coverageTolerance = 1e-6

// answerChecker checks answers to queries on a collection. It computes the only
// correct answer to each query.
type answerChecker struct {
	collection model.CollectionID
	snapshots  map[model.SnapshotID]*snapshotChecker
}

type snapshotChecker struct {
	documents map[model.LeafID]int
	total     int
	// hits are those of all leaves, best first.
	hits []expectedHit
}

type expectedHit struct {
	id   string
	leaf model.LeafID
}

func newAnswerChecker(c model.CollectionID, t standin.Truth) *answerChecker {
	checker := &answerChecker{collection: c, snapshots: make(map[model.SnapshotID]*snapshotChecker)}
	for _, s := range t.Snapshots {
		if s.Collection == c {
			checker.snapshots[s.ID] = newSnapshotChecker(s)
		}
	}
	return checker
}

func newSnapshotChecker(s model.Snapshot) *snapshotChecker {
	c := &snapshotChecker{documents: make(map[model.LeafID]int)}
	leafOf := make(map[string]model.LeafID)
	var hits []targetproto.Hit
	for _, leaf := range s.Leaves {
		c.documents[leaf.Leaf] = leaf.Documents
		c.total += leaf.Documents
		for _, hit := range content.Hits(s.Collection, s.ID, leaf.Leaf, "") {
			leafOf[hit.ID] = leaf.Leaf
			hits = append(hits, hit)
		}
	}
	content.SortHits(hits)
	for _, hit := range hits {
		c.hits = append(c.hits, expectedHit{id: hit.ID, leaf: leafOf[hit.ID]})
	}
	return c
}

// check returns the violations of an answer to a query.
func (c *answerChecker) check(a *query.Answer, text string, limit int, minCoverage float64) []Violation {
	found := findings{request: a.RequestID}
	if a.RequestID == "" {
		found.add(MalformedAnswer, "answer without a request ID")
	}
	s, ok := c.snapshots[a.Snapshot]
	if !ok {
		found.add(UnknownSnapshot, "snapshot %q does not exist", a.Snapshot)
		return found.list
	}
	c.checkOrigin(&found, a, text)
	missing := s.checkCoverage(&found, a.Coverage, minCoverage)
	s.checkHits(&found, a.Hits, missing, limit)
	return found.list
}

// checkOrigin checks that every hit is from the answer's snapshot and query.
func (c *answerChecker) checkOrigin(found *findings, a *query.Answer, text string) {
	prefix := fmt.Sprintf("%s/%s/", c.collection, a.Snapshot)
	for _, hit := range a.Hits {
		if !strings.HasPrefix(hit.ID, prefix) {
			found.add(MixedAnswer, "hit %s in an answer from snapshot %s", hit.ID, a.Snapshot)
		}
		if hit.Title != text {
			found.add(OtherRequest, "hit for query %q in the answer to query %q", hit.Title, text)
		}
	}
}

// checkCoverage checks the document counts and returns the leaves that the
// answer lists as missing.
func (s *snapshotChecker) checkCoverage(found *findings, c query.Coverage, minCoverage float64) map[model.LeafID]bool {
	missing := make(map[model.LeafID]bool)
	missingDocuments := 0
	for _, m := range c.Missing {
		leaf := model.LeafID{Service: m.Service, Leaf: m.Leaf}
		documents, ok := s.documents[leaf]
		if !ok || missing[leaf] {
			found.add(FalseCoverage, "missing leaf %s is not in the snapshot or is listed twice", leaf)
		}
		missing[leaf] = true
		missingDocuments += documents
	}
	if c.Total != s.total || c.Answered != s.total-missingDocuments {
		found.add(FalseCoverage, "states %d of %d documents, but the correct count is %d of %d", c.Answered, c.Total, s.total-missingDocuments, s.total)
	}
	fraction := float64(s.total-missingDocuments) / float64(max(s.total, 1))
	if math.Abs(c.Fraction-fraction) > coverageTolerance {
		found.add(FalseCoverage, "states the fraction %v, but the correct one is %v", c.Fraction, fraction)
	}
	if fraction+coverageTolerance < minCoverage {
		found.add(LowCoverage, "fraction %v is below the requested minimum %v", fraction, minCoverage)
	}
	return missing
}

// checkHits checks that the hits are the best ones of the covered leaves.
func (s *snapshotChecker) checkHits(found *findings, hits []targetproto.Hit, missing map[model.LeafID]bool, limit int) {
	i := 0
	for _, expected := range s.hits {
		if i == limit {
			break
		}
		if missing[expected.leaf] {
			continue
		}
		if i >= len(hits) || hits[i].ID != expected.id {
			found.add(WrongHits, "hit %d is not the expected %s", i+1, expected.id)
			return
		}
		i++
	}
	if len(hits) > i {
		found.add(WrongHits, "got %d hits, expected %d", len(hits), i)
	}
}

// findings collects the violations of one request.
type findings struct {
	request model.RequestID
	list    []Violation
}

func (f *findings) add(kind ViolationKind, format string, args ...any) {
	f.list = append(f.list, Violation{Kind: kind, Request: f.request, Detail: fmt.Sprintf(format, args...)})
}

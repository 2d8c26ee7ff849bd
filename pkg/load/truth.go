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

// ViolationKind names what a checker found.
type ViolationKind string

// Violations of what must always hold.
const (
	// MixedAnswer is an answer with hits from more than its own snapshot.
	MixedAnswer ViolationKind = "mixed-answer"
	// FalseCoverage is a coverage that does not fit the snapshot's partition
	// map, or hits from a leaf that is stated as missing.
	FalseCoverage ViolationKind = "false-coverage"
	// WrongHits is an answer that is not the best hits of the leaves that it
	// claims to cover.
	WrongHits ViolationKind = "wrong-hits"
	// OtherRequest is an answer to another request.
	OtherRequest ViolationKind = "other-request"
	// UnknownSnapshot is an answer from a snapshot that does not exist.
	UnknownSnapshot ViolationKind = "unknown-snapshot"
	// LowCoverage is an answer below the coverage that the caller asked for.
	LowCoverage ViolationKind = "low-coverage"
	// MalformedAnswer is an answer outside the caller API.
	MalformedAnswer ViolationKind = "malformed-answer"
	// FalseNotRun is a "not-run" for a request that a target ran.
	FalseNotRun ViolationKind = "false-not-run"
	// RepeatedOrder is an idempotency key whose order ran more than once.
	RepeatedOrder ViolationKind = "repeated-order"
	// FalseConfirmation is a confirmation that no target gave for the key.
	FalseConfirmation ViolationKind = "false-confirmation"
	// UnseenRequest is an answered query that no target ran. It also shows that
	// request IDs at entries and targets differ, so that FalseNotRun is blind.
	UnseenRequest ViolationKind = "unseen-request"
)

// Violation is one finding of the checker.
type Violation struct {
	Kind    ViolationKind   `json:"kind"`
	Request model.RequestID `json:"request,omitempty"`
	Detail  string          `json:"detail"`
}

// coverageTolerance allows for rounding in the covered fraction.
const coverageTolerance = 1e-6

// truth knows the one right answer to every query on a collection.
type truth struct {
	collection model.CollectionID
	snapshots  map[model.SnapshotID]*snapshotTruth
}

type snapshotTruth struct {
	documents map[model.LeafID]int
	total     int
	// hits of all leaves, best first.
	hits []knownHit
}

type knownHit struct {
	id   string
	leaf model.LeafID
}

func newTruth(c model.CollectionID, t standin.Truth) *truth {
	known := &truth{collection: c, snapshots: make(map[model.SnapshotID]*snapshotTruth)}
	for _, s := range t.Snapshots {
		if s.Collection == c {
			known.snapshots[s.ID] = newSnapshotTruth(s)
		}
	}
	return known
}

func newSnapshotTruth(s model.Snapshot) *snapshotTruth {
	t := &snapshotTruth{documents: make(map[model.LeafID]int)}
	leafOf := make(map[string]model.LeafID)
	var hits []targetproto.Hit
	for _, part := range s.Leaves {
		t.documents[part.Leaf] = part.Documents
		t.total += part.Documents
		for _, hit := range content.Hits(s.Collection, s.ID, part.Leaf, "") {
			leafOf[hit.ID] = part.Leaf
			hits = append(hits, hit)
		}
	}
	content.SortHits(hits)
	for _, hit := range hits {
		t.hits = append(t.hits, knownHit{id: hit.ID, leaf: leafOf[hit.ID]})
	}
	return t
}

// check returns the violations of an answer to a query.
func (t *truth) check(a *query.Answer, text string, limit int, minCoverage float64) []Violation {
	found := findings{request: a.RequestID}
	if a.RequestID == "" {
		found.add(MalformedAnswer, "answer without a request ID")
	}
	s, ok := t.snapshots[a.Snapshot]
	if !ok {
		found.add(UnknownSnapshot, "snapshot %q", a.Snapshot)
		return found.list
	}
	t.checkOrigin(&found, a, text)
	missing := s.checkCoverage(&found, a.Coverage, minCoverage)
	s.checkHits(&found, a.Hits, missing, limit)
	return found.list
}

// checkOrigin checks that every hit is of the answer's snapshot and query.
func (t *truth) checkOrigin(found *findings, a *query.Answer, text string) {
	prefix := fmt.Sprintf("%s/%s/", t.collection, a.Snapshot)
	for _, hit := range a.Hits {
		if !strings.HasPrefix(hit.ID, prefix) {
			found.add(MixedAnswer, "hit %s in an answer from snapshot %s", hit.ID, a.Snapshot)
		}
		if hit.Title != text {
			found.add(OtherRequest, "hit for query %q in the answer to %q", hit.Title, text)
		}
	}
}

// checkCoverage checks the sums and returns the leaves stated as missing.
func (s *snapshotTruth) checkCoverage(found *findings, c query.Coverage, minCoverage float64) map[model.LeafID]bool {
	missing := make(map[model.LeafID]bool)
	lacking := 0
	for _, m := range c.Missing {
		leaf := model.LeafID{Service: m.Service, Leaf: m.Leaf}
		documents, ok := s.documents[leaf]
		if !ok || missing[leaf] {
			found.add(FalseCoverage, "missing leaf %s is not in the snapshot or stated twice", leaf)
		}
		missing[leaf] = true
		lacking += documents
	}
	if c.Total != s.total || c.Answered != s.total-lacking {
		found.add(FalseCoverage, "covers %d of %d, but %d of %d is true", c.Answered, c.Total, s.total-lacking, s.total)
	}
	fraction := float64(s.total-lacking) / float64(max(s.total, 1))
	if math.Abs(c.Fraction-fraction) > coverageTolerance {
		found.add(FalseCoverage, "fraction %v, but %v is true", c.Fraction, fraction)
	}
	if fraction+coverageTolerance < minCoverage {
		found.add(LowCoverage, "fraction %v, but %v was asked for", fraction, minCoverage)
	}
	return missing
}

// checkHits checks that the hits are the best ones of the leaves covered.
func (s *snapshotTruth) checkHits(found *findings, hits []targetproto.Hit, missing map[model.LeafID]bool, limit int) {
	i := 0
	for _, known := range s.hits {
		if i == limit {
			break
		}
		if missing[known.leaf] {
			continue
		}
		if i >= len(hits) || hits[i].ID != known.id {
			found.add(WrongHits, "hit %d is not %s", i+1, known.id)
			return
		}
		i++
	}
	if len(hits) > i {
		found.add(WrongHits, "%d hits instead of %d", len(hits), i)
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

// Package query defines a caller's query and its answer. The packages below it
// hold the decisions: snapshot choice, target choice, hedging, ejection,
// warmth, limits and quarantine.
package query

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Request is one query of a caller.
type Request struct {
	ID         model.RequestID
	Collection model.CollectionID
	Caller     model.CallerID
	Route      model.Route
	Query      string
	// Limit is the number of hits wanted.
	Limit int
	// MinCoverage is the least covered fraction that the caller accepts; a
	// negative value means that the collection's own applies.
	MinCoverage float64
	// Deadline is on the monotonic clock.
	Deadline time.Time
}

// Answer is the merged answer of all leaves, from one snapshot.
type Answer struct {
	RequestID model.RequestID   `json:"requestId"`
	Snapshot  model.SnapshotID  `json:"snapshot"`
	Coverage  Coverage          `json:"coverage"`
	Hits      []targetproto.Hit `json:"hits"`
	// Version is the one that served most leaves; callers are not told.
	Version model.VersionID `json:"-"`
}

// Coverage states how much of the snapshot an answer covers, in documents.
type Coverage struct {
	Answered int           `json:"answered"`
	Total    int           `json:"total"`
	Fraction float64       `json:"fraction"`
	Missing  []MissingLeaf `json:"missing,omitempty"`
}

// MissingLeaf is a leaf that the answer lacks.
type MissingLeaf struct {
	Service model.ServiceID `json:"service"`
	Leaf    int             `json:"leaf"`
	Reason  MissingReason   `json:"reason"`
}

// MissingReason says why a leaf is missing.
type MissingReason string

// Reasons for a missing leaf.
const (
	MissingDeadline   MissingReason = "deadline"
	MissingNoTarget   MissingReason = "no-target"
	MissingShed       MissingReason = "shed"
	MissingFailed     MissingReason = "failed"
	MissingNotHeld    MissingReason = "not-held"
	MissingMismatched MissingReason = "mismatched-reply"
)

// Service answers queries.
type Service interface {
	// Query runs r on every leaf of one snapshot. An error is a
	// *failure.Error; leaves that lack are stated in the coverage.
	Query(ctx context.Context, r Request) (*Answer, error)
}

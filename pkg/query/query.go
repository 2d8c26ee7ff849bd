// Package query defines a caller's query and its answer. Its subpackages hold
// the decision logic: snapshot choice, target choice, hedging, ejection, warm-up,
// limits and quarantine.
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
	// Limit is the maximum number of hits to return.
	Limit int
	// MinCoverage is the minimum coverage fraction that the caller accepts; if
	// negative, the collection's default applies.
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
	// Version is the back-end version that served most leaves; it is not sent
	// to callers.
	Version model.VersionID `json:"-"`
}

// Coverage is the part of the snapshot that an answer covers, in documents.
type Coverage struct {
	Answered int           `json:"answered"`
	Total    int           `json:"total"`
	Fraction float64       `json:"fraction"`
	Missing  []MissingLeaf `json:"missing,omitempty"`
}

// MissingLeaf is a leaf whose part is missing from the answer.
type MissingLeaf struct {
	Service model.ServiceID `json:"service"`
	Leaf    int             `json:"leaf"`
	Reason  MissingReason   `json:"reason"`
}

// MissingReason is the reason why a leaf is missing: the time ended before a reply
// (MissingDeadline), no target could get the request (MissingNoTarget), the targets or
// the queue for capacity had no room (MissingShed), the attempts failed
// (MissingFailed), the targets do not hold the snapshot (MissingNotHeld), or a reply
// did not match its request (MissingMismatched).
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

// Runner runs queries.
type Runner interface {
	// Query runs r on every leaf of one snapshot. Missing leaves are listed in
	// the coverage. Errors are of type *failure.Error.
	Query(ctx context.Context, r Request) (*Answer, error)
}

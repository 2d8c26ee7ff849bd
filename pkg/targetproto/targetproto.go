// Package targetproto defines the HTTP protocol between an instance and a
// target: paths, headers and JSON bodies. The client and the stand-in target both
// use it, so that they cannot diverge.
package targetproto

import (
	"fmt"

	"radishturn.example/radishturn/pkg/model"
)

// Headers of a request to a target.
const (
	// HeaderRequest is the model.RequestID.
	HeaderRequest = "Radishturn-Request"
	// HeaderAttempt is the number of the attempt of one request on one leaf, from 1.
	HeaderAttempt = "Radishturn-Attempt"
	// HeaderDeadline is the time left to the caller's deadline, in milliseconds.
	HeaderDeadline = "Radishturn-Deadline"
	// HeaderSnapshot is the snapshot that the target must search.
	HeaderSnapshot = "Radishturn-Snapshot"
	// HeaderRoute is the route as given by the caller.
	HeaderRoute = "Radishturn-Route"
	// HeaderIdempotencyKey is the caller's idempotency key of an order.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers of a reply, in addition to HeaderRequest and HeaderSnapshot, which it
// repeats.
const (
	// HeaderLeaf repeats the leaf as "service/leaf-N".
	HeaderLeaf = "Radishturn-Leaf"
	// HeaderVersion is the version of the target's program.
	HeaderVersion = "Radishturn-Version"
	// HeaderBoot is the model.BootID of the target process.
	HeaderBoot = "Radishturn-Boot"
	// HeaderState is a State; it is optional.
	HeaderState = "Radishturn-State"
	// HeaderLoad is the number of requests in progress at the target; it is optional.
	HeaderLoad = "Radishturn-Load"
	// HeaderRefusal is a Refusal on 409 and 503 replies.
	HeaderRefusal = "Radishturn-Refusal"
)

// State is the state that a target reports.
type State string

// States that a target reports.
const (
	StateCold     State = "cold"
	StateWarm     State = "warm"
	StateDraining State = "draining"
)

// Refusal says why a target did not run a request. Every refusal proves that
// the request was not run.
type Refusal string

// Reasons for a refusal.
const (
	// RefusalNotHeld comes with status 409: the target does not hold the snapshot.
	RefusalNotHeld Refusal = "not-held"
	// RefusalShed comes with status 503: the target is overloaded.
	RefusalShed Refusal = "shed"
	// RefusalDraining comes with status 503: the target is about to stop.
	RefusalDraining Refusal = "draining"
)

// QueryPath returns the path of a leaf query.
func QueryPath(l model.LeafID) string { return fmt.Sprintf("/leaf/%s/%d/query", l.Service, l.Leaf) }

// OrderPath returns the path of an order on a leaf.
func OrderPath(l model.LeafID) string { return fmt.Sprintf("/leaf/%s/%d/order", l.Service, l.Leaf) }

// Paths of the health and load reports.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

// QueryRequest is the body of a leaf query.
type QueryRequest struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

// Hit is one matching document. A higher score is a better match.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Title string  `json:"title,omitempty"`
}

// QueryReply is the body of the reply to a leaf query.
type QueryReply struct {
	Request  model.RequestID  `json:"request"`
	Leaf     model.LeafID     `json:"leaf"`
	Snapshot model.SnapshotID `json:"snapshot"`
	// Documents is the number of documents searched.
	Documents int   `json:"documents"`
	Hits      []Hit `json:"hits"`
}

// OrderRequest is the body of an order on a leaf.
type OrderRequest struct {
	LeafKey string `json:"leafKey"`
	Order   string `json:"order"`
}

// OrderReply is the body of the reply to an order.
type OrderReply struct {
	Request model.RequestID `json:"request"`
	Leaf    model.LeafID    `json:"leaf"`
	// Confirmation is the target's identifier of the order that it ran.
	Confirmation string `json:"confirmation"`
}

// Health is the body of the health report. It may be stale or wrong, so it is only
// a hint.
type Health struct {
	Healthy   bool               `json:"healthy"`
	State     State              `json:"state"`
	Boot      model.BootID       `json:"boot"`
	Version   model.VersionID    `json:"version"`
	Snapshots []model.SnapshotID `json:"snapshots"`
}

// Load is the body of the load report. It may be stale or wrong, so it is only a
// hint.
type Load struct {
	InFlight    int `json:"inFlight"`
	Connections int `json:"connections"`
}

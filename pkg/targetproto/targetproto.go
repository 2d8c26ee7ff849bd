// Package targetproto defines the HTTP protocol between an instance and a
// target: paths, headers and JSON bodies. Both the client and the stand-in use
// it, so that they cannot differ.
package targetproto

import (
	"fmt"

	"radishturn.example/radishturn/pkg/model"
)

// Headers of a request to a target.
const (
	// HeaderRequest carries the model.RequestID.
	HeaderRequest = "Radishturn-Request"
	// HeaderAttempt numbers the attempts of one request on one leaf, from 1.
	HeaderAttempt = "Radishturn-Attempt"
	// HeaderDeadline carries the milliseconds left to the caller's deadline.
	HeaderDeadline = "Radishturn-Deadline"
	// HeaderSnapshot carries the snapshot that the reply must come from.
	HeaderSnapshot = "Radishturn-Snapshot"
	// HeaderRoute carries the route as the caller stated it.
	HeaderRoute = "Radishturn-Route"
	// HeaderIdempotencyKey carries the caller's key of an order.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers of a reply. HeaderRequest and HeaderSnapshot are repeated in it.
const (
	// HeaderLeaf repeats the leaf as "service/leaf-N".
	HeaderLeaf = "Radishturn-Leaf"
	// HeaderVersion carries the version of the target's program.
	HeaderVersion = "Radishturn-Version"
	// HeaderBoot carries the incarnation of the target's process.
	HeaderBoot = "Radishturn-Boot"
	// HeaderState carries a State; it is optional.
	HeaderState = "Radishturn-State"
	// HeaderLoad carries the requests in progress at the target; it is optional.
	HeaderLoad = "Radishturn-Load"
	// HeaderRefusal carries a Refusal on 409 and 503 replies.
	HeaderRefusal = "Radishturn-Refusal"
)

// State is the condition that a target states of itself.
type State string

// States of a target.
const (
	StateCold     State = "cold"
	StateWarm     State = "warm"
	StateDraining State = "draining"
)

// Refusal says why a target did not run a request. Every refusal proves that
// the request was not run.
type Refusal string

// Refusals of a target.
const (
	// RefusalNotHeld comes with status 409: the snapshot is not here.
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

// Paths of the hints.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

// QueryRequest is the body of a leaf query.
type QueryRequest struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

// Hit is one found document. A higher score is better.
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
	// Confirmation is the target's name for the order that it ran.
	Confirmation string `json:"confirmation"`
}

// Health is the body of the health hint. It may lag or be wrong.
type Health struct {
	Healthy   bool               `json:"healthy"`
	State     State              `json:"state"`
	Boot      model.BootID       `json:"boot"`
	Version   model.VersionID    `json:"version"`
	Snapshots []model.SnapshotID `json:"snapshots"`
}

// Load is the body of the load hint. It may lag or be wrong.
type Load struct {
	InFlight    int `json:"inFlight"`
	Connections int `json:"connections"`
}

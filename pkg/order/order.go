// Package order defines the service that runs orders at most once. The caller's
// idempotency key is claimed in the replicated state before the first byte is
// sent to a target.
package order

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Request is one order of a caller.
type Request struct {
	ID             model.RequestID
	Collection     model.CollectionID
	Caller         model.CallerID
	IdempotencyKey string
	Body           targetproto.OrderRequest
	// Deadline carries a monotonic clock reading.
	Deadline time.Time
}

// Result is the outcome of an order that was run.
type Result struct {
	RequestID    model.RequestID `json:"requestId"`
	Confirmation string          `json:"confirmation"`
	// Repeated is set if an earlier request with the same key ran the order.
	Repeated bool `json:"repeated"`
}

// Service runs orders.
type Service interface {
	// Place runs the order, or returns the recorded outcome if its key has been
	// claimed before. An error is a *failure.Error; its Ran is NotRun only if it
	// is certain that no target ran the order.
	Place(ctx context.Context, r Request) (*Result, error)
}

// Dispatcher sends one order to one target; the query path's target client
// implements it.
type Dispatcher interface {
	// Dispatch sends the order to a target of its leaf. It calls allowed
	// immediately before the first byte is sent; if allowed returns false, nothing
	// is sent and Dispatch fails with failure.NotRun. It retries on another target
	// only if it is proven that no target has run the order.
	Dispatch(ctx context.Context, r Request, allowed func() bool) (*targetproto.OrderReply, error)
}

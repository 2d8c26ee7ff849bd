// Package order runs orders at most once: it claims the caller's idempotency
// key in the replicated state before the first byte goes to a target.
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
	// Deadline is on the monotonic clock.
	Deadline time.Time
}

// Result is the outcome of an order that ran.
type Result struct {
	RequestID    model.RequestID `json:"requestId"`
	Confirmation string          `json:"confirmation"`
	// Repeated is set when an earlier request with the key ran the order.
	Repeated bool `json:"repeated"`
}

// Service runs orders.
type Service interface {
	// Place runs the order unless its key was claimed before; then it gives
	// the recorded outcome. An error is a *failure.Error whose Ran is true to
	// the word: not-run only if no target ran it.
	Place(ctx context.Context, r Request) (*Result, error)
}

// Dispatcher sends one order to one target; the query path's target client
// implements it.
type Dispatcher interface {
	// Dispatch sends the order to a target of its leaf. It calls allowed right
	// before the first byte and gives up with ran not-run if that is false. It
	// tries another target only after a proof that none ran the order.
	Dispatch(ctx context.Context, r Request, allowed func() bool) (*targetproto.OrderReply, error)
}

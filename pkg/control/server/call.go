package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
)

// runCall carries an operator's call out by compare and set. Each try reads the state
// that the change builds on, makes sure by checkWaits that the operator still waits, and
// sends the change, which is refused with code conflict if the state has changed since.
// So a copy of the change that a relay or a leader gets to see late does nothing once a
// newer call was carried out, and a call that this instance gets to see late is not sent
// at all. A conflict with another call is tried again until ctx is done.
func (s *Server) runCall(ctx context.Context, call control.Call, kind mesh.Kind, item string, try func() error) error {
	events.Emit(events.ChangeRequested, string(call.ID), string(kind), item, string(s.group.Status().Leader.Instance))
	started := time.Now()
	err := try()
	for failure.CodeOf(err) == failure.Conflict && ctx.Err() == nil {
		err = try()
	}
	events.Emit(events.ChangeAnswered, string(call.ID), time.Since(started).Milliseconds(), err)
	return err
}

// checkWaits returns an error if the operator has given the call up.
func checkWaits(call control.Call) error {
	if call.Waits() {
		return nil
	}
	return failure.New(failure.DeadlineExceeded, failure.NotRun, "check operator", "", "the operator has given the call up")
}

package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
)

// conflictDelay is the delay before a call is tried again after a conflict.
const conflictDelay = 5 * time.Millisecond

// runCall carries an operator's call out by compare and set. Each try reads the state
// that the change builds on, asks checkCall, and sends the change, which is refused with
// code conflict if the state has changed since. So a copy of the change that a relay or a
// leader gets to see late does nothing once a newer call was carried out, and a call that
// this instance gets to see late is not sent at all. A conflict with another call is tried
// again as long as checkCall allows.
func (s *Server) runCall(ctx context.Context, call control.Call, kind mesh.Kind, item string, try func() error) error {
	events.Emit(events.ChangeRequested, string(call.ID), string(kind), item, string(s.group.Status().Leader.Instance))
	started := time.Now()
	err := try()
	for failure.CodeOf(err) == failure.Conflict && ctx.Err() == nil {
		time.Sleep(conflictDelay)
		err = try()
	}
	events.Emit(events.ChangeAnswered, string(call.ID), time.Since(started).Milliseconds(), err)
	return err
}

// checkCall returns an error if the call must not be sent any more.
func checkCall(call control.Call) error {
	if call.MayBeSent() {
		return nil
	}
	return failure.New(failure.DeadlineExceeded, failure.NotRun, "check operator", "", "the operator may have given the call up")
}

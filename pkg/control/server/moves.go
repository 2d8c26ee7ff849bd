package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/state"
)

// StartMove starts to move the traffic of a service to a version.
func (s *Server) StartMove(ctx context.Context, call control.Call, o control.MoveRequest) error {
	if o.Service == "" || o.To == "" || o.Duration <= 0 {
		return failure.New(failure.BadRequest, failure.NotRun, "check order", "", "a service, a version and a positive duration are required")
	}
	o.Call = call.ID
	return s.runCall(ctx, call, wire.KindStartMove, string(o.Service), func() error {
		newest, err := s.Move(ctx, o.Service)
		switch {
		case failure.CodeOf(err) == failure.NotFound:
			o.Expected = 0
		case err != nil:
			return err
		default:
			o.Expected = newest.Revision
		}
		if err := checkCall(call); err != nil {
			return err
		}
		_, err = route.Call[control.MoveRequest, wire.Empty](ctx, s.router, wire.KindStartMove, &o)
		return err
	})
}

// Move returns the latest move of a service.
func (s *Server) Move(ctx context.Context, service model.ServiceID) (*move.State, error) {
	return route.Call[wire.MoveQuery, move.State](ctx, s.router, wire.KindMove, &wire.MoveQuery{Service: service})
}

// startMove records the move. Its source is the version that most targets of the
// service run, not counting the new version.
func (n *leaderTerm) startMove(ctx context.Context, o *control.MoveRequest) (*wire.Empty, error) {
	n.termMu.Lock()
	running := n.catalog.Versions(o.Service)
	n.termMu.Unlock()
	delete(running, o.To)
	now := time.Now()
	command := &state.StartMove{At: now, Call: o.Call, Expected: o.Expected, Move: rules.Move{
		Collection: model.CollectionID(o.Service), From: versions.Established("", running), To: o.To, By: now.Add(o.Duration),
	}}
	if _, err := n.propose(ctx, "start move", &state.Command{StartMove: command}); err != nil {
		return nil, err
	}
	events.Emit(events.MoveRequested, o.Service, command.Move.From, o.To, o.Duration.Milliseconds(), string(o.Call))
	return &wire.Empty{}, nil
}

// move returns the latest move of a service, read after a read barrier.
func (n *leaderTerm) move(ctx context.Context, q *wire.MoveQuery) (*move.State, error) {
	if err := n.readBarrier(ctx); err != nil {
		return nil, err
	}
	var (
		m     move.State
		known bool
	)
	n.machine.Read(func(s *state.State) { m, known = s.Move(model.CollectionID(q.Service)) })
	if !known {
		return nil, failure.New(failure.NotFound, failure.NotRun, "read move", string(q.Service), "the service has no move")
	}
	return &m, nil
}

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
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/state"
)

var _ control.TrafficAdmin = (*Server)(nil)

// PutTable replaces the routing table if its version is higher. It returns the
// version in force afterwards.
func (s *Server) PutTable(ctx context.Context, t *routing.Table) (uint64, error) {
	if err := t.Check(); err != nil {
		return 0, failure.New(failure.BadRequest, failure.NotRun, "check routing table", "", "%w", err)
	}
	reply, err := route.Call[state.PutTable, wire.TableVersion](ctx, s.router, wire.KindPutTable, &state.PutTable{Table: *t})
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// Table returns the newest accepted table, or nil before the first one.
func (s *Server) Table(ctx context.Context) (*routing.Table, error) {
	started := time.Now()
	reply, err := route.Call[wire.Empty, wire.TableReply](ctx, s.router, wire.KindTable, &wire.Empty{})
	events.Emit(events.TableRead, versionRead(reply), time.Since(started).Milliseconds(), err)
	if err != nil {
		return nil, err
	}
	return reply.Table, nil
}

// versionRead returns the version of the table in a reply, or 0 if there is none.
func versionRead(r *wire.TableReply) uint64 {
	if r == nil || r.Table == nil {
		return 0
	}
	return r.Table.Version
}

// Evacuate starts or ends the evacuation of an availability zone.
func (s *Server) Evacuate(ctx context.Context, call control.Call, zone model.AvailabilityZoneID, end bool) error {
	return s.runCall(ctx, call, wire.KindEvacuate, string(zone), func() error {
		newest, err := s.evacuationIndex(ctx, zone)
		if err != nil {
			return err
		}
		if err := checkCall(call); err != nil {
			return err
		}
		request := &state.Evacuate{AvailabilityZone: zone, End: end, Call: call.ID, Expected: newest}
		_, err = route.Call[state.Evacuate, wire.Empty](ctx, s.router, wire.KindEvacuate, request)
		return err
	})
}

// evacuationIndex asks the leader for the index of the newest command on an availability
// zone. A leader of an earlier build does not know the question, and applies commands
// whatever index they expect.
func (s *Server) evacuationIndex(ctx context.Context, zone model.AvailabilityZoneID) (uint64, error) {
	query := &wire.EvacuationQuery{AvailabilityZone: zone}
	reply, err := route.Call[wire.EvacuationQuery, wire.EvacuationReply](ctx, s.router, wire.KindEvacuation, query)
	if failure.CodeOf(err) == failure.BadRequest {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return reply.Index, nil
}

// evacuation returns the index of the newest command on an availability zone. It needs
// no read barrier: a command that builds on an older index is refused.
func (n *leaderTerm) evacuation(_ context.Context, q *wire.EvacuationQuery) (*wire.EvacuationReply, error) {
	reply := new(wire.EvacuationReply)
	n.machine.Read(func(s *state.State) { reply.Index = s.EvacuationIndex(q.AvailabilityZone) })
	return reply, nil
}

func (n *leaderTerm) putTable(ctx context.Context, p *state.PutTable) (*wire.TableVersion, error) {
	started := time.Now()
	result, err := n.propose(ctx, "put routing table", &state.Command{PutTable: p})
	if err != nil {
		return nil, err
	}
	events.Emit(events.TableAccepted, p.Table.Version, result.TableVersion, len(p.Table.Routes), time.Since(started).Milliseconds())
	return &wire.TableVersion{Version: result.TableVersion}, nil
}

// readBarrier proposes an empty command, which confirms that this instance still
// leads. State read after it includes every change acknowledged before, even if
// another instance leads by then.
func (n *leaderTerm) readBarrier(ctx context.Context) error {
	_, err := n.propose(ctx, "confirm leadership", &state.Command{})
	return err
}

// table returns the routing table, read after a read barrier.
func (n *leaderTerm) table(ctx context.Context, _ *wire.Empty) (*wire.TableReply, error) {
	if err := n.readBarrier(ctx); err != nil {
		return nil, err
	}
	reply := &wire.TableReply{}
	n.machine.Read(func(s *state.State) { reply.Table = s.Table() })
	return reply, nil
}

func (n *leaderTerm) evacuate(ctx context.Context, e *state.Evacuate) (*wire.Empty, error) {
	_, err := n.propose(ctx, "evacuate", &state.Command{Evacuate: e})
	events.Emit(events.ZoneEvacuation, e.AvailabilityZone, !e.End, string(e.Call), err)
	if err != nil {
		return nil, err
	}
	return &wire.Empty{}, nil
}

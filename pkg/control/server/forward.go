package server

import (
	"context"
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/state"
)

// ApplyRules replaces the rules if Base is the newest revision.
func (s *Server) ApplyRules(ctx context.Context, r control.ApplyRequest) (*control.Change, error) {
	return route.Call[control.ApplyRequest, control.Change](ctx, s.router, wire.KindApply, &r)
}

// Rules returns the newest accepted change.
func (s *Server) Rules(ctx context.Context) (*control.Change, error) {
	return route.Call[wire.Empty, control.Change](ctx, s.router, wire.KindRules, &wire.Empty{})
}

// History returns the accepted changes, newest first.
func (s *Server) History(ctx context.Context, limit int) ([]control.Change, error) {
	reply, err := route.Call[wire.HistoryRequest, wire.HistoryReply](ctx, s.router, wire.KindHistory, &wire.HistoryRequest{Limit: limit})
	if err != nil {
		return nil, err
	}
	return reply.Changes, nil
}

// InForce returns the instances at which a revision is in force.
func (s *Server) InForce(ctx context.Context, revision model.Revision) (*control.InForce, error) {
	return route.Call[wire.InForceRequest, control.InForce](ctx, s.router, wire.KindInForce, &wire.InForceRequest{Revision: revision})
}

// Moves returns all recorded moves.
func (s *Server) Moves(ctx context.Context) ([]move.State, error) {
	reply, err := route.Call[wire.Empty, wire.MovesReply](ctx, s.router, wire.KindMoves, &wire.Empty{})
	if err != nil {
		return nil, err
	}
	return reply.Moves, nil
}

// Quarantined returns the quarantined request fingerprints.
func (s *Server) Quarantined(ctx context.Context) ([]control.Quarantine, error) {
	reply, err := route.Call[wire.Empty, wire.QuarantinedReply](ctx, s.router, wire.KindQuarantined, &wire.Empty{})
	if err != nil {
		return nil, err
	}
	return reply.Quarantined, nil
}

// Lift ends the quarantine of a fingerprint that is in force now, but not a later one.
func (s *Server) Lift(ctx context.Context, call control.Call, f model.Fingerprint, author string) error {
	return s.runCall(ctx, call, wire.KindLift, fmt.Sprintf("%016x", uint64(f)), func() error {
		list, err := s.Quarantined(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(list, func(q control.Quarantine) bool { return q.Fingerprint == f })
		if i < 0 {
			return failure.New(failure.NotFound, failure.NotRun, "lift quarantine", "", "fingerprint %016x is not quarantined", uint64(f))
		}
		if err := checkCall(call); err != nil {
			return err
		}
		request := &state.LiftQuarantine{Fingerprint: f, Author: author, Began: list[i].At.Unix()}
		_, err = route.Call[state.LiftQuarantine, wire.Empty](ctx, s.router, wire.KindLift, request)
		return err
	})
}

// Instances returns the instances that hold a lease.
func (s *Server) Instances(ctx context.Context) ([]control.LeaseHolder, error) {
	reply, err := route.Call[wire.Empty, wire.InstancesReply](ctx, s.router, wire.KindInstances, &wire.Empty{})
	if err != nil {
		return nil, err
	}
	return reply.Holders, nil
}

// Members returns the control group as the leader sees it.
func (s *Server) Members(ctx context.Context) (*replica.Status, error) {
	return route.Call[wire.Empty, replica.Status](ctx, s.router, wire.KindMembers, &wire.Empty{})
}

// AddMember adds the disk of an instance as a learner.
func (s *Server) AddMember(ctx context.Context, id model.InstanceID) error {
	_, err := route.Call[wire.AddMemberRequest, wire.Empty](ctx, s.router, wire.KindAddMember, &wire.AddMemberRequest{Instance: id})
	return err
}

// ReplaceMember replaces a voter by the disk of next.
func (s *Server) ReplaceMember(ctx context.Context, old replica.Member, next model.InstanceID) error {
	_, err := route.Call[wire.ReplaceMemberRequest, wire.Empty](ctx, s.router, wire.KindReplaceMember, &wire.ReplaceMemberRequest{Old: old, Next: next})
	return err
}

// RemoveMember removes a voter or learner.
func (s *Server) RemoveMember(ctx context.Context, m replica.Member) error {
	_, err := route.Call[wire.RemoveMemberRequest, wire.Empty](ctx, s.router, wire.KindRemoveMember, &wire.RemoveMemberRequest{Member: m})
	return err
}

// IsLeader reports whether this instance holds a valid leader lease of the control
// group.
func (s *Server) IsLeader() bool { return s.group.IsLeader() }

// Subscribe adds a sink for evidence.
func (s *Server) Subscribe(sink control.EvidenceSink) { s.sinks = append(s.sinks, sink) }

// LocalMoves returns the moves as applied on this instance.
func (s *Server) LocalMoves() []move.State { return s.machine.Moves() }

// ProposeStep proposes a step of a move.
func (s *Server) ProposeStep(ctx context.Context, step move.Step) error {
	current, err := s.activeTerm()
	if err != nil {
		return err
	}
	_, err = current.propose(ctx, "step move", &state.Command{StepMove: &step})
	return err
}

package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/state"
)

// maxAuthorBytes bounds the length of an operator's name.
const maxAuthorBytes = 128

// apply parses rules and proposes them.
func (n *leaderTerm) apply(ctx context.Context, r *control.ApplyRequest) (*control.Change, error) {
	if r.Author == "" || len(r.Author) > maxAuthorBytes {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "apply rules", "", "the author is missing or longer than %d bytes", maxAuthorBytes)
	}
	set, mistakes := rules.Parse(r.Text, n.topology)
	if len(mistakes) > 0 {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "apply rules", "", "%s", formatMistakes(mistakes))
	}
	hash := sha256.Sum256([]byte(r.Text))
	result, err := n.propose(ctx, "apply rules", &state.Command{ApplyRules: &state.ApplyRules{
		Base: r.Base, Hash: hex.EncodeToString(hash[:]), Text: r.Text, Author: r.Author,
		At: time.Now().UTC(), Rules: set,
	}})
	if err != nil {
		events.Emit(events.RulesRefused, r.Author, err)
		return nil, err
	}
	rulesAccepted.Inc()
	events.Emit(events.RulesAccepted, result.Change.Revision, result.Change.Author, result.Change.Hash)
	return result.Change, nil
}

func formatMistakes(mistakes []rules.Diagnostic) string {
	lines := make([]string, len(mistakes))
	for i, m := range mistakes {
		lines[i] = m.String()
	}
	return fmt.Sprintf("%d mistakes:\n%s", len(mistakes), strings.Join(lines, "\n"))
}

func (n *leaderTerm) rules(context.Context, *wire.Empty) (*control.Change, error) {
	change := n.machine.Newest()
	return &change, nil
}

func (n *leaderTerm) history(_ context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error) {
	reply := &wire.HistoryReply{}
	n.machine.Read(func(s *state.State) { reply.Changes = s.History(r.Limit) })
	return reply, nil
}

func (n *leaderTerm) inForce(_ context.Context, r *wire.InForceRequest) (*control.InForce, error) {
	if newest := n.machine.Newest().Revision; r.Revision > newest {
		return nil, failure.New(failure.NotFound, failure.NotRun, "in force", "", "revision %d does not exist; the newest is %d", r.Revision, newest)
	}
	n.termMu.Lock()
	defer n.termMu.Unlock()
	acknowledged, missing := n.granter.InForce(n.now(), r.Revision)
	return &control.InForce{Revision: r.Revision, Acknowledged: acknowledged, Missing: missing}, nil
}

func (n *leaderTerm) moves(context.Context, *wire.Empty) (*wire.MovesReply, error) {
	return &wire.MovesReply{Moves: n.machine.Moves()}, nil
}

func (n *leaderTerm) quarantined(context.Context, *wire.Empty) (*wire.QuarantinedReply, error) {
	reply := &wire.QuarantinedReply{}
	n.machine.Read(func(s *state.State) { reply.Quarantined = s.Quarantined() })
	return reply, nil
}

func (n *leaderTerm) lift(ctx context.Context, l *state.LiftQuarantine) (*wire.Empty, error) {
	if _, err := n.propose(ctx, "lift quarantine", &state.Command{LiftQuarantine: l}); err != nil {
		return nil, err
	}
	events.Emit(events.QuarantineLifted, uint64(l.Fingerprint), l.Author)
	return &wire.Empty{}, nil
}

func (n *leaderTerm) instances(context.Context, *wire.Empty) (*wire.InstancesReply, error) {
	known := n.machine.Instances()
	n.termMu.Lock()
	defer n.termMu.Unlock()
	reply := &wire.InstancesReply{}
	for _, l := range n.granter.Leases(n.now()) {
		reply.Holders = append(reply.Holders, control.LeaseHolder{
			Instance: known[l.Instance], Remaining: l.Left, Acknowledged: l.Revision,
		})
	}
	return reply, nil
}

func (n *leaderTerm) members(context.Context, *wire.Empty) (*replica.Status, error) {
	status := n.group.Status()
	return &status, nil
}

// fetchMember asks an instance for the member that its disk identifies.
func (n *leaderTerm) fetchMember(ctx context.Context, id model.InstanceID) (replica.Member, error) {
	m, err := replica.FetchMember(ctx, n.mesh, id)
	if err != nil {
		return replica.Member{}, err
	}
	if m.Instance != id || m.Disk == "" {
		return replica.Member{}, failure.New(failure.BadRequest, failure.NotRun, "ask for disk", string(id), "the instance has no data folder")
	}
	return m, nil
}

func (n *leaderTerm) addMember(ctx context.Context, r *wire.AddMemberRequest) (*wire.Empty, error) {
	m, err := n.fetchMember(ctx, r.Instance)
	if err != nil {
		return nil, err
	}
	return &wire.Empty{}, n.group.AddLearner(ctx, m)
}

// replaceMember first adds the new disk as a learner if it is not one, so that an
// operator can replace a lost disk with one command.
func (n *leaderTerm) replaceMember(ctx context.Context, r *wire.ReplaceMemberRequest) (*wire.Empty, error) {
	next, err := n.fetchMember(ctx, r.Next)
	if err != nil {
		return nil, err
	}
	if err := n.group.AddLearner(ctx, next); err != nil {
		return nil, err
	}
	return &wire.Empty{}, n.group.Replace(ctx, r.Old, next)
}

func (n *leaderTerm) removeMember(ctx context.Context, r *wire.RemoveMemberRequest) (*wire.Empty, error) {
	return &wire.Empty{}, n.group.Remove(ctx, r.Member)
}

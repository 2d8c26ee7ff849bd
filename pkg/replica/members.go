package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
)

// AddLearner adds a member that receives the log and has no vote. It succeeds
// for one that is a member already, so that it can be repeated after a lost answer.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	err := n.change(ctx, consensus.Change{Kind: consensus.AddLearner, Member: m})
	if errors.Is(err, consensus.ErrIsMember) {
		return nil
	}
	if err != nil {
		return err
	}
	events.Emit(events.MemberAdded, m.String())
	return nil
}

// Promote gives a learner a vote once it has caught up.
func (n *Node) Promote(ctx context.Context, m Member) error {
	if err := n.change(ctx, consensus.Change{Kind: consensus.Promote, Member: m}); err != nil {
		return err
	}
	events.Emit(events.MemberPromoted, m.String())
	return nil
}

// Replace makes next a voter in place of old, in the order that
// consensus.Raft.ReplacementStep gives; next is added as a learner if need be. After a failure it may be called
// again and goes on where it stopped.
func (n *Node) Replace(ctx context.Context, old, next Member) error {
	for {
		step, ok, err := n.replacementStep(ctx, old, next)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		if err := n.change(ctx, step); err != nil {
			return err
		}
		// A leader that removed itself leads no longer and knows no next step.
		if step.Kind == consensus.Remove && slices.Contains(n.Status().Voters, next) {
			break
		}
	}
	events.Emit(events.MemberReplaced, old.String(), next.String())
	return nil
}

// replacementStep asks the loop for the next change on the way from old to next.
func (n *Node) replacementStep(ctx context.Context, old, next Member) (step consensus.Change, ok bool, err error) {
	err = n.request(ctx, "replace member", func(now time.Duration) error {
		s := n.raft.Status()
		if s.Role != consensus.Leader {
			return n.errNotLeader("replace member")
		}
		if err := checkReplacement(s.Membership, old, next); err != nil {
			return err
		}
		step, ok = n.raft.ReplacementStep(now, old, next)
		return nil
	})
	return step, ok, err
}

// checkReplacement refuses an old member that is no voter, unless it is gone
// because an earlier call got that far: then the voters are even in number.
func checkReplacement(c consensus.Membership, old, next Member) error {
	if old == next {
		return failure.New(failure.BadRequest, failure.NotRun, "replace member", old.String(), "the new member is the old one")
	}
	isBegun := len(c.Voters)%2 == 0 || c.IsVoter(next)
	if !c.IsVoter(old) && !isBegun {
		return failure.New(failure.NotFound, failure.NotRun, "replace member", old.String(), "the old member is not a voter")
	}
	return nil
}

// request runs f in the loop and returns its error.
func (n *Node) request(ctx context.Context, step string, f func(now time.Duration) error) error {
	done := make(chan error, 1)
	select {
	case n.requests <- func(now time.Duration) { done <- f(now) }:
		return <-done
	case <-ctx.Done():
		return failure.New(failure.DeadlineExceeded, failure.NotRun, step, "", "%w", context.Cause(ctx))
	case <-n.stopped:
		return errStopped(step)
	}
}

// Remove takes a voter or learner out of the group.
func (n *Node) Remove(ctx context.Context, m Member) error {
	if err := n.change(ctx, consensus.Change{Kind: consensus.Remove, Member: m}); err != nil {
		return err
	}
	events.Emit(events.MemberRemoved, m.String())
	return nil
}

// change proposes one membership change and waits until it is committed. It
// waits for a change before it, and for a learner that has not caught up.
func (n *Node) change(ctx context.Context, c consensus.Change) error {
	pause := time.NewTicker(n.opts.Heartbeat)
	defer pause.Stop()
	for {
		err := n.tryChange(ctx, c)
		if !errors.Is(err, consensus.ErrChangePending) && !errors.Is(err, consensus.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-pause.C:
		case <-ctx.Done():
			return err
		case <-n.stopped:
			return errStopped("change members")
		}
	}
}

func (n *Node) tryChange(ctx context.Context, c consensus.Change) error {
	done := make(chan outcome, 1)
	err := n.request(ctx, "change members", func(now time.Duration) error {
		term, index, err := n.raft.ProposeChange(now, c)
		if err != nil {
			return n.proposalError("change members", err)
		}
		n.waiters.add(index, term, done)
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case o := <-done:
		return o.err
	case <-ctx.Done():
		return errUnknown("change members", "", context.Cause(ctx))
	case <-n.stopped:
		return errUnknown("change members", "", errors.New("the replica stopped"))
	}
}

// Drain hands leadership over before a planned stop, so that the group need not
// wait for an election timeout. It returns once another member leads, or after
// two election timeouts.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*n.opts.ElectionTimeout)
	defer cancel()
	handedOver := false
	err := n.request(ctx, "hand over", func(now time.Duration) error {
		handedOver = n.raft.TransferLeadership(now)
		return nil
	})
	if err != nil || !handedOver {
		return err
	}
	return n.awaitSuccessor(ctx)
}

func (n *Node) awaitSuccessor(ctx context.Context) error {
	check := time.NewTicker(n.opts.Heartbeat)
	defer check.Stop()
	for {
		s := n.Status()
		if s.Role != RoleLeader && s.Leader != (Member{}) {
			return nil
		}
		select {
		case <-check.C:
		case <-ctx.Done():
			return failure.New(failure.DeadlineExceeded, failure.Unknown, "hand over", "", "%w", context.Cause(ctx))
		case <-n.stopped:
			return nil
		}
	}
}

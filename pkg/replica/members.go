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

// AddLearner adds a non-voting member that receives the log. It succeeds if m is
// a member already, so that it can be retried after a lost reply.
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

// Promote makes a learner a voter once it has caught up.
func (n *Node) Promote(ctx context.Context, m Member) error {
	if err := n.change(ctx, consensus.Change{Kind: consensus.Promote, Member: m}); err != nil {
		return err
	}
	events.Emit(events.MemberPromoted, m.String())
	return nil
}

// Replace makes next a voter in place of old, in the order that
// consensus.Raft.ReplacementStep gives; next is added as a learner if necessary.
// After a failure it may be called again and continues where it stopped.
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
		// A leader that removed itself is no longer the leader and has no next step.
		if step.Kind == consensus.Remove && slices.Contains(n.Status().Voters, next) {
			break
		}
	}
	events.Emit(events.MemberReplaced, old.String(), next.String())
	return nil
}

// replacementStep asks the event loop for the next change in the replacement of
// old by next.
func (n *Node) replacementStep(ctx context.Context, old, next Member) (step consensus.Change, ok bool, err error) {
	err = n.runInLoop(ctx, "replace member", func(now time.Duration) error {
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

// checkReplacement rejects an old member that is not a voter, unless an earlier
// replacement was interrupted: that leaves an even number of voters, or next as a
// voter.
func checkReplacement(c consensus.Membership, old, next Member) error {
	if old == next {
		return failure.New(failure.BadRequest, failure.NotRun, "replace member", old.String(), "the new member is the old one")
	}
	replacementStarted := len(c.Voters)%2 == 0 || c.IsVoter(next)
	if !c.IsVoter(old) && !replacementStarted {
		return failure.New(failure.NotFound, failure.NotRun, "replace member", old.String(), "the old member is not a voter")
	}
	return nil
}

// runInLoop runs f in the event loop and returns its error.
func (n *Node) runInLoop(ctx context.Context, step string, f func(now time.Duration) error) error {
	done := make(chan error, 1)
	select {
	case n.loopCalls <- func(now time.Duration) { done <- f(now) }:
		return <-done
	case <-ctx.Done():
		return failure.New(failure.DeadlineExceeded, failure.NotRun, step, "", "%w", context.Cause(ctx))
	case <-n.stopped:
		return errStopped(step)
	}
}

// Remove removes a voter or learner from the group.
func (n *Node) Remove(ctx context.Context, m Member) error {
	if err := n.change(ctx, consensus.Change{Kind: consensus.Remove, Member: m}); err != nil {
		return err
	}
	events.Emit(events.MemberRemoved, m.String())
	return nil
}

// change proposes one membership change and waits until it is committed. It
// retries while an earlier change is pending or a learner has not caught up.
func (n *Node) change(ctx context.Context, c consensus.Change) error {
	pause := time.NewTicker(n.options.Heartbeat)
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
	err := n.runInLoop(ctx, "change members", func(now time.Duration) error {
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

// Drain transfers leadership before a planned stop, so that the group does not
// have to wait for an election timeout. It returns once another member is the
// leader, or after two election timeouts.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*n.options.ElectionTimeout)
	defer cancel()
	handedOver := false
	err := n.runInLoop(ctx, "hand over", func(now time.Duration) error {
		handedOver = n.raft.TransferLeadership(now)
		return nil
	})
	if err != nil || !handedOver {
		return err
	}
	return n.awaitSuccessor(ctx)
}

func (n *Node) awaitSuccessor(ctx context.Context) error {
	check := time.NewTicker(n.options.Heartbeat)
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

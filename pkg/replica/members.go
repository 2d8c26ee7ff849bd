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

// Promote makes a learner a voter. It fails with consensus.ErrNotCaughtUp if the learner
// has not caught up.
func (n *Node) Promote(ctx context.Context, m Member) error {
	change := consensus.Change{Kind: consensus.Promote, Member: m}
	if err := n.change(ctx, change); err != nil {
		return err
	}
	events.Emit(events.MemberPromoted, m.String())
	return nil
}

// Replace makes next a voter in place of old, in the order that
// consensus.Raft.ReplacementStep gives; next is added as a learner if necessary.
// No voter changes until next has caught up, which Replace waits for.
// After a failure it may be called again and continues where it stopped.
func (n *Node) Replace(ctx context.Context, old, next Member) error {
	return n.replace(ctx, old, next, isPendingOrBehind)
}

// ReplaceByLearner is Replace by a learner that has caught up. It fails with
// consensus.ErrNotCaughtUp at once if next has not.
func (n *Node) ReplaceByLearner(ctx context.Context, old, next Member) error {
	return n.replace(ctx, old, next, isPending)
}

// replace carries out the steps of a replacement. A step is tried again after the errors
// that passes reports.
func (n *Node) replace(ctx context.Context, old, next Member, passes func(error) bool) error {
	for complete := false; !complete; {
		err := n.retry(ctx, passes, func() (err error) {
			complete, err = n.tryReplacementStep(ctx, old, next)
			return err
		})
		if err != nil {
			return err
		}
	}
	events.Emit(events.MemberReplaced, old.String(), next.String())
	return nil
}

// tryReplacementStep makes the next change in the replacement of old by next, and reports
// whether the replacement is complete.
func (n *Node) tryReplacementStep(ctx context.Context, old, next Member) (complete bool, err error) {
	var step consensus.Change
	err = n.tryChange(ctx, func(now time.Duration) (consensus.Change, error) {
		s := n.raft.Status()
		if s.Role != consensus.Leader {
			return step, n.errNotLeader("replace member")
		}
		if err := checkReplacement(s.Membership, old, next); err != nil {
			return step, err
		}
		var more bool
		if step, more = n.raft.ReplacementStep(now, old, next); !more {
			return step, errReplaced
		}
		return step, nil
	})
	if errors.Is(err, errReplaced) {
		return true, nil
	}
	// A leader that removed itself is no longer the leader and has no next step.
	return err == nil && step.Kind == consensus.Remove && slices.Contains(n.Status().Voters, next), err
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
// retries while an earlier change is pending.
func (n *Node) change(ctx context.Context, c consensus.Change) error {
	return n.retry(ctx, isPending, func() error {
		return n.tryChange(ctx, func(time.Duration) (consensus.Change, error) { return c, nil })
	})
}

// isPending reports whether an earlier change is not committed yet.
func isPending(err error) bool { return errors.Is(err, consensus.ErrChangePending) }

// isPendingOrBehind is isPending, or reports whether a learner has not caught up.
func isPendingOrBehind(err error) bool {
	return isPending(err) || errors.Is(err, consensus.ErrNotCaughtUp)
}

// errReplaced ends a replacement that has no further step.
var errReplaced = errors.New("the replacement is complete")

// retry calls try until it succeeds or fails with an error that passes does not report.
func (n *Node) retry(ctx context.Context, passes func(error) bool, try func() error) error {
	pause := time.NewTicker(n.options.Heartbeat)
	defer pause.Stop()
	for {
		err := try()
		if err == nil || !passes(err) {
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

// tryChange proposes the change that choose returns, and waits until it is committed.
// choose runs in the event loop, so that the state it decides on is that of the proposal.
func (n *Node) tryChange(ctx context.Context, choose func(now time.Duration) (consensus.Change, error)) error {
	done := make(chan outcome, 1)
	err := n.runInLoop(ctx, "change members", func(now time.Duration) error {
		change, err := choose(now)
		if err != nil {
			return err
		}
		term, index, err := n.raft.ProposeChange(now, change)
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

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

// AddLearner adds a member that receives the log and has no vote.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	if err := n.change(ctx, consensus.Change{Kind: consensus.AddLearner, Member: m}); err != nil {
		return err
	}
	events.Emit(events.MemberAdded, m.String())
	return nil
}

// Replace turns the learner next into a voter in place of old. The voter is
// added before the old one goes, so that entries stay on as many disks as
// before at every moment. After a failure it may be called again and goes on
// where it stopped.
func (n *Node) Replace(ctx context.Context, old, next Member) error {
	if !slices.Contains(n.Status().Voters, next) {
		if err := n.change(ctx, consensus.Change{Kind: consensus.Promote, Member: next}); err != nil {
			return err
		}
	}
	if slices.Contains(n.Status().Voters, old) {
		if err := n.change(ctx, consensus.Change{Kind: consensus.Remove, Member: old}); err != nil {
			return err
		}
	}
	events.Emit(events.MemberReplaced, old.String(), next.String())
	return nil
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
	request := func(now time.Duration) {
		term, index, err := n.raft.ProposeChange(now, c)
		if err != nil {
			done <- outcome{err: n.proposalError("change members", err)}
			return
		}
		n.waiters.add(index, term, done)
	}
	select {
	case n.requests <- request:
	case <-ctx.Done():
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "change members", "", "%w", context.Cause(ctx))
	case <-n.stopped:
		return errStopped("change members")
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
	handedOver := make(chan bool, 1)
	request := func(now time.Duration) { handedOver <- n.raft.TransferLeadership(now) }
	select {
	case n.requests <- request:
	case <-ctx.Done():
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "hand over", "", "%w", context.Cause(ctx))
	case <-n.stopped:
		return nil
	}
	if !<-handedOver {
		return nil
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

package replica

import (
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
)

// reportedState is what was last written to the log.
type reportedState struct {
	term   uint64
	leader Member
	role   consensus.Role
}

// Status returns the current view of the group.
func (n *Node) Status() Status { return *n.status.Load() }

// IsLeader reports whether this member leads and no other member can have
// become leader. It holds on after the loop is held up only as long as the
// majority's last confirmation does.
func (n *Node) IsLeader() bool {
	return n.opts.Clock() < time.Duration(n.leaseUntil.Load())
}

// publish makes the state of the loop visible to others. It comes before the
// sending of messages, so that a lease is given up before a successor hears of it.
func (n *Node) publish(now time.Duration) {
	s := n.raft.Status()
	n.leaseUntil.Store(int64(n.raft.LeaseUntil(now)))
	n.status.Store(&Status{
		Self:     n.self,
		Role:     roleOf(s, n.self),
		Term:     s.Term,
		Leader:   s.Leader,
		Commit:   s.Commit,
		Applied:  s.Applied,
		Voters:   s.Membership.Voters,
		Learners: s.Membership.Learners,
	})
	n.report(s)
}

func roleOf(s consensus.Status, self Member) Role {
	switch {
	case s.Role == consensus.Leader:
		return RoleLeader
	case s.Membership.IsLearner(self):
		return RoleLearner
	case s.Role == consensus.Follower:
		return RoleFollower
	}
	return RoleCandidate
}

// lossReason says why a leader leads no longer.
func lossReason(before, now reportedState) string {
	if now.term > before.term {
		return "a member campaigns in a higher term"
	}
	return "no majority answered, or this member was removed"
}

var errLeadershipLost = errors.New("leadership was lost before the entry was accepted")

// report writes events for changes of leadership and answers proposers whose
// entries this member can no longer vouch for.
func (n *Node) report(s consensus.Status) {
	now := reportedState{term: s.Term, leader: s.Leader, role: s.Role}
	before := n.reported
	if now == before {
		return
	}
	n.reported = now
	lost := before.role == consensus.Leader && (now.role != consensus.Leader || now.term != before.term)
	if lost {
		n.metrics.losses.Inc()
		events.Emit(events.LeadershipLost, before.term, lossReason(before, now))
		n.waiters.failAfter(s.Commit, errUnknown("propose", string(s.Leader.Instance), errLeadershipLost))
	}
	if now.leader != (Member{}) && (now.leader != before.leader || now.term != before.term) {
		n.metrics.elections.Inc()
		events.Emit(events.LeaderElected, now.leader.Instance, now.term)
	}
}

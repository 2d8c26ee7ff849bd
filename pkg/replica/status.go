package replica

import (
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
)

// reportedState is the state that was last written to the event log.
type reportedState struct {
	term   uint64
	leader Member
	role   consensus.Role
}

// Status returns the current view of the group.
func (n *Node) Status() Status { return *n.status.Load() }

// IsLeader reports whether this member holds a valid leader lease; see Group. If
// the event loop is delayed, it stays true only as long as the leader lease from
// the last confirmation by a majority is valid.
func (n *Node) IsLeader() bool {
	return n.options.Clock() < time.Duration(n.leaderLeaseUntil.Load())
}

// publish makes the state of the event loop visible to other goroutines. It is
// called before messages are sent, so that the leader lease is given up before a
// successor learns of it.
func (n *Node) publish(now time.Duration) {
	s := n.raft.Status()
	n.leaderLeaseUntil.Store(int64(n.raft.LeaseUntil(now)))
	n.status.Store(&Status{
		Self:     n.self,
		Role:     roleOf(s, n.self),
		Term:     s.Term,
		Leader:   s.Leader,
		Commit:   s.Commit,
		Applied:  s.Applied,
		Voters:   s.Membership.Voters,
		Learners: s.Membership.Learners,

		LastIndex:       s.LastIndex,
		LearnerProgress: n.learners.observe(now, n.raft.LearnerProgress(now)),
		TermStart:       s.TermStart,
		LossesTolerated: n.lossesTolerated(now, s),
		Contacts:        n.contacts,
	})
	n.report(s)
	n.reportMissingLeader(now, s)
	n.reportLossesTolerated(now, s)
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

// lossReason returns why a member is no longer the leader.
func lossReason(before, now reportedState) string {
	if now.term > before.term {
		return "a member campaigns in a higher term"
	}
	return "no majority answered, or this member was removed"
}

var errLeadershipLost = errors.New("leadership was lost before the entry was committed")

// report writes events for changes of leadership. After a loss of leadership it
// fails the proposals whose outcome this member can no longer determine.
func (n *Node) report(s consensus.Status) {
	now := reportedState{term: s.Term, leader: s.Leader, role: s.Role}
	before := n.reported
	if now == before {
		return
	}
	n.reported = now
	lost := before.role == consensus.Leader && (now.role != consensus.Leader || now.term != before.term)
	if lost {
		n.metrics.leadershipLosses.Inc()
		events.Emit(events.LeadershipLost, before.term, lossReason(before, now))
		n.waiters.failAfter(s.Commit, errUnknown("propose", string(s.Leader.Instance), errLeadershipLost))
	}
	if now.leader != (Member{}) && (now.leader != before.leader || now.term != before.term) {
		n.metrics.leadersSeen.Inc()
		events.Emit(events.LeaderElected, now.leader.Instance, now.term)
	}
}

// Package replica runs the replicated log of a control member: it drives the
// pure state machine of package consensus, the journal and the transport, and
// applies committed commands to a StateMachine.
package replica

import (
	"context"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// StateMachine is the state that the log replicates. The replica calls it from
// one goroutine. Apply must be a pure function of the state and its arguments.
type StateMachine interface {
	// Apply executes a committed command and returns its result, which the
	// proposer receives. Index grows by one or more with each call.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Member is a voter or learner of the group. An instance that lost its disk
// returns with another Disk and counts as another member.
type Member = consensus.Member

// Role is the role of a member in the current term.
type Role string

// Roles of a member.
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
	RoleLearner   Role = "learner"
)

// Status describes the group as this member sees it.
type Status struct {
	Self Member `json:"self"`
	Role Role   `json:"role"`
	Term uint64 `json:"term"`
	// Leader has an empty Instance while no leader is known.
	Leader   Member   `json:"leader"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners"`
	// LastIndex is the index of the last entry in this member's log.
	LastIndex uint64 `json:"lastIndex"`
	// LearnerProgress has an element for each learner at the leader, and none elsewhere.
	LearnerProgress []LearnerProgress `json:"learnerProgress,omitempty"`
	// TermStart is the index of the first entry of the term at the leader, 0 elsewhere. The
	// leader has the entries of earlier leaders once it has applied this one.
	TermStart uint64 `json:"termStart,omitempty"`
	// LossesTolerated is how many of the voters that answer the leader may be lost before
	// the group has no majority. It is nil at other members.
	LossesTolerated *int `json:"lossesTolerated,omitempty"`
	// Contacts are instances that take this one for a member with another disk, such as
	// the disk that it has lost. They are members of the group.
	Contacts []model.InstanceID `json:"contacts,omitempty"`
	// DiskFull is set while this member waits for space on its disk and takes no part in
	// the group.
	DiskFull bool `json:"diskFull,omitempty"`
}

// LearnerProgress is how far a learner has come, as the leader knows it.
type LearnerProgress struct {
	Member Member `json:"member"`
	// Index is the last index that the learner has acknowledged.
	Index uint64 `json:"index"`
	// CaughtUp reports whether it may become a voter.
	CaughtUp bool `json:"caughtUp"`
	// ReceivesSnapshot is set while it is sent a snapshot, not entries.
	ReceivesSnapshot bool `json:"receivesSnapshot"`
	// IdleMilliseconds is the time since Index last advanced.
	IdleMilliseconds int64 `json:"idleMilliseconds"`
}

// Group is the group of members that replicates the log, as one instance accesses
// it: it accepts commands, changes the members and reports the status.
type Group interface {
	// Propose appends command to the log and waits until it is applied here.
	// Only the leader accepts commands: elsewhere the error is a *failure.Error with
	// code not-leader, ran not-run and the leader as peer. When the outcome
	// cannot be known, such as after losing leadership, ran is unknown.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Status returns the current view of the group.
	Status() Status
	// AddLearner adds a non-voting member that receives the log.
	AddLearner(ctx context.Context, m Member) error
	// Promote makes a learner a voter. It fails with consensus.ErrNotCaughtUp if the
	// learner has not caught up.
	Promote(ctx context.Context, m Member) error
	// Replace makes next a voter in place of old, one change at a time: next is
	// added as a learner unless it is a member. Until it has caught up, old keeps its
	// place.
	Replace(ctx context.Context, old, next Member) error
	// ReplaceByLearner is Replace by a learner that has caught up. It fails with
	// consensus.ErrNotCaughtUp at once if next has not.
	ReplaceByLearner(ctx context.Context, old, next Member) error
	// Remove removes a voter or learner from the group.
	Remove(ctx context.Context, m Member) error
	// IsLeader reports whether this member holds a valid leader lease: it leads, has
	// confirmed that with a majority, and no other member can have become leader.
	// Propose needs no lease, only the role of leader: a command succeeds only once
	// a majority has stored it.
	IsLeader() bool
}

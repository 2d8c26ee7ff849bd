package consensus

import (
	"slices"
	"time"
)

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of changes. Each adds or removes one voter at most, so that any
// majority before the change and any majority after it share a member.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change is one step from a membership to the next.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// maxPromotionLag is how many entries a learner may lack when it is promoted.
const maxPromotionLag = 64

// ProposeChange appends the membership after change and returns its position.
// It counts as soon as it is appended.
func (r *Raft) ProposeChange(now time.Duration, change Change) (term, index uint64, err error) {
	if err := r.checkProposal(); err != nil {
		return 0, 0, err
	}
	// Until this term has committed an entry, a change of an earlier leader may
	// still be in doubt, and two changes in doubt need not share a majority.
	if r.membershipIndex > r.commit || r.commit < r.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := r.changed(change)
	if err != nil {
		return 0, 0, err
	}
	if r.activeVoters(now, next) < next.quorum() {
		return 0, 0, ErrNoMajority
	}
	index = r.log.lastIndex() + 1
	r.appendEntries([]Entry{{Term: r.term, Index: index, Membership: &next}})
	r.broadcast(now)
	return r.term, index, nil
}

// activeVoters counts the voters of c that answered within the election timeout.
func (r *Raft) activeVoters(now time.Duration, c Membership) int {
	active := 0
	for _, m := range c.Voters {
		if r.isActive(now, m) {
			active++
		}
	}
	return active
}

func (r *Raft) isActive(now time.Duration, m Member) bool {
	p := r.progress[m]
	return m == r.cfg.Self || p != nil && now-p.ackedAt < r.cfg.ElectionTimeout
}

// ReplacementStep returns the next change on the way from the voter old to the
// voter next, or false if there is none left. First next learns the log. A voter that answers goes last:
// until then the group has one voter more, and survives the loss of any one. A
// voter that is lost goes first: beside it, the loss of the new voter as well
// would leave two of four and no majority.
func (r *Raft) ReplacementStep(now time.Duration, old, next Member) (Change, bool) {
	promote := Change{Kind: Promote, Member: next}
	remove := Change{Kind: Remove, Member: old}
	hasOld, hasNext := r.membership.IsVoter(old), r.membership.IsVoter(next)
	switch {
	case !r.membership.Contains(next):
		return Change{Kind: AddLearner, Member: next}, true
	case !hasNext && (!hasOld || r.isActive(now, old) || len(r.membership.Voters) == 1):
		return promote, true
	case hasOld:
		return remove, true
	case !hasNext:
		return promote, true
	}
	return Change{}, false
}

// changed returns the membership after change.
func (r *Raft) changed(change Change) (Membership, error) {
	next := r.membership.clone()
	m := change.Member
	switch change.Kind {
	case AddLearner:
		if next.Contains(m) {
			return next, ErrIsMember
		}
		next.Learners = append(next.Learners, m)
	case Promote:
		if !next.IsLearner(m) {
			return next, ErrNotMember
		}
		if r.progress[m].match+maxPromotionLag < r.log.lastIndex() || r.progress[m].state != streaming {
			return next, ErrNotCaughtUp
		}
		next.Learners = without(next.Learners, m)
		next.Voters = append(next.Voters, m)
	case Remove:
		if !next.Contains(m) {
			return next, ErrNotMember
		}
		next.Learners = without(next.Learners, m)
		next.Voters = without(next.Voters, m)
		if len(next.Voters) == 0 {
			return next, ErrLastVoter
		}
	}
	return next, nil
}

func without(members []Member, m Member) []Member {
	return slices.DeleteFunc(members, func(other Member) bool { return other == m })
}

// noteMembership takes up the membership of an appended entry.
func (r *Raft) noteMembership(e Entry) {
	if e.Membership == nil {
		return
	}
	r.membership, r.membershipIndex = e.Membership.clone(), e.Index
	if r.role == Leader {
		r.syncProgress()
	}
}

// recomputeMembership finds the latest membership after a part of the log was
// replaced.
func (r *Raft) recomputeMembership() {
	r.membership, r.membershipIndex = r.latestMembership(r.log.lastIndex())
}

func (r *Raft) membershipAt(index uint64) Membership {
	m, _ := r.latestMembership(index)
	return m
}

func (r *Raft) latestMembership(upTo uint64) (Membership, uint64) {
	for index := upTo; index > max(r.log.base, r.snapshot.Index); index-- {
		if e := r.log.at(index); e.Membership != nil {
			return e.Membership.clone(), index
		}
	}
	return r.snapshot.Membership.clone(), r.snapshot.Index
}

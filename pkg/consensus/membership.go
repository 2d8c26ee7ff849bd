package consensus

import (
	"slices"
	"time"
)

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of changes. Each adds or removes at most one voter, so that any majority
// before the change and any majority after it overlap.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change is a single membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// maxPromotionLag is the number of entries that a learner may lack when it is promoted; see
// isShortLag.
const maxPromotionLag = 64

// ProposeChange appends the membership that results from change and returns its
// term and index. The new membership takes effect as soon as it is appended.
func (r *Raft) ProposeChange(now time.Duration, change Change) (term, index uint64, err error) {
	if err := r.checkProposal(); err != nil {
		return 0, 0, err
	}
	// Until an entry of this term is committed, a change by an earlier leader may
	// still be uncommitted. The majorities of two uncommitted changes need not
	// overlap.
	if r.membershipIndex > r.commit || r.commit < r.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := r.membershipAfter(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == Promote && !r.hasCaughtUp(now, change.Member) {
		return 0, 0, ErrNotCaughtUp
	}
	if r.activeVoters(now, next) < next.quorum() {
		return 0, 0, ErrNoMajority
	}
	index = r.log.lastIndex() + 1
	r.appendEntries([]Entry{{Term: r.term, Index: index, Membership: &next}})
	r.broadcast(now)
	return r.term, index, nil
}

// activeVoters returns the number of voters of c that replied within the election
// timeout.
func (r *Raft) activeVoters(now time.Duration, c Membership) int {
	active := 0
	for _, m := range c.Voters {
		if r.isActive(now, m) {
			active++
		}
	}
	return active
}

// LossesTolerated returns how many of the voters that replied within the election timeout
// may be lost before the group has no majority. It is negative without a majority, and 0
// if this member is not the leader.
func (r *Raft) LossesTolerated(now time.Duration) int {
	if r.role != Leader {
		return 0
	}
	return r.activeVoters(now, r.membership) - r.membership.quorum()
}

// SilentVoters returns the voters that have not replied to this leader within the election
// timeout.
func (r *Raft) SilentVoters(now time.Duration) []Member {
	if r.role != Leader {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.membership.Voters), func(m Member) bool { return r.isActive(now, m) })
}

func (r *Raft) isActive(now time.Duration, m Member) bool {
	p := r.progress[m]
	return m == r.cfg.Self || p != nil && now-p.ackedAt < r.cfg.ElectionTimeout
}

// ReplacementStep returns the next change in the replacement of the voter old by
// next, or false if the replacement is complete. It adds next as a learner first, and
// changes no voter until next has caught up: the step is then its promotion, which fails
// with ErrNotCaughtUp.
// If old responds, it is removed after the promotion of next: until then the
// group has one more voter and tolerates the loss of any one. If old does not
// respond, it is removed before the promotion: otherwise a group of four voters
// that also lost next would have only two left and no majority.
func (r *Raft) ReplacementStep(now time.Duration, old, next Member) (Change, bool) {
	promote := Change{Kind: Promote, Member: next}
	remove := Change{Kind: Remove, Member: old}
	hasOld, hasNext := r.membership.IsVoter(old), r.membership.IsVoter(next)
	switch {
	case !r.membership.Contains(next):
		return Change{Kind: AddLearner, Member: next}, true
	case !hasNext && (!hasOld || r.isActive(now, old) || len(r.membership.Voters) == 1):
		return promote, true
	case hasOld && (hasNext || r.hasCaughtUp(now, next)):
		return remove, true
	case !hasNext:
		return promote, true
	}
	return Change{}, false
}

// hasCaughtUp reports whether a learner replies, and has enough of the log to become a
// voter.
func (r *Raft) hasCaughtUp(now time.Duration, m Member) bool {
	p := r.progress[m]
	return p != nil && r.isActive(now, m) && p.state == streaming && r.isShortLag(p.match)
}

// isShortLag reports whether the entries after index are at most maxPromotionLag and fit
// into one message.
func (r *Raft) isShortLag(index uint64) bool {
	if index < r.log.base || index+maxPromotionLag < r.log.lastIndex() {
		return false
	}
	bytes := 0
	for i := index + 1; i <= r.log.lastIndex(); i++ {
		bytes += r.log.at(i).size()
	}
	return bytes <= r.cfg.MaxAppendBytes
}

// LearnerProgress is how far a learner has come.
type LearnerProgress struct {
	Member Member
	// Index is the last index that it has acknowledged.
	Index uint64
	// CaughtUp reports whether it may become a voter.
	CaughtUp bool
	// ReceivesSnapshot is set while it is sent a snapshot, not entries.
	ReceivesSnapshot bool
}

// LearnerProgress returns the progress of each learner, and nothing if this member is not
// the leader.
func (r *Raft) LearnerProgress(now time.Duration) []LearnerProgress {
	if r.role != Leader {
		return nil
	}
	var all []LearnerProgress
	for _, m := range r.membership.Learners {
		p := r.progress[m]
		all = append(all, LearnerProgress{
			Member: m, Index: p.match, CaughtUp: r.hasCaughtUp(now, m), ReceivesSnapshot: p.state == installing,
		})
	}
	return all
}

// membershipAfter returns the membership that results from change.
func (r *Raft) membershipAfter(change Change) (Membership, error) {
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
		next.Learners = removeMember(next.Learners, m)
		next.Voters = append(next.Voters, m)
	case Remove:
		if !next.Contains(m) {
			return next, ErrNotMember
		}
		next.Learners = removeMember(next.Learners, m)
		next.Voters = removeMember(next.Voters, m)
		if len(next.Voters) == 0 {
			return next, ErrLastVoter
		}
	}
	return next, nil
}

func removeMember(members []Member, m Member) []Member {
	return slices.DeleteFunc(members, func(other Member) bool { return other == m })
}

// adoptMembership applies the membership of an appended entry, if it has one.
func (r *Raft) adoptMembership(e Entry) {
	if e.Membership == nil {
		return
	}
	r.membership, r.membershipIndex = e.Membership.clone(), e.Index
	if r.role == Leader {
		r.alignProgress()
	}
}

// recomputeMembership looks up the latest membership after part of the log was
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

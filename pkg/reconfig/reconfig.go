// Package reconfig decides on automatic membership changes of the control group: it
// adds voters up to the desired number, and replaces voters that are lost, that
// leave, or whose disk was replaced. Each instance regularly offers the leader its disk
// for a copy of the replicated log. The decision is a pure function of the offers that
// the leader has received.
package reconfig

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// Member identifies an instance and its disk.
type Member = consensus.Member

// Offer is the last message in which an instance offered its disk to the leader.
type Offer struct {
	Member Member
	// ReceivedAt is when the offer arrived.
	ReceivedAt time.Duration
	// Leaving is set while the instance shuts down.
	Leaving bool
}

// Times without an offer after which an instance counts as lost.
const (
	// VoterTimeout is long enough for a process to restart, and short enough to
	// restore the number of voters before the next failure. It also applies to
	// instances that may become voters.
	VoterTimeout = 1500 * time.Millisecond
	// LearnerTimeout is longer, since the loss of a learner has little effect.
	LearnerTimeout = 30 * time.Second
)

// Input is the input of Decide: the group and the offers to the leader.
type Input struct {
	Voters   []Member
	Learners []Member
	// DesiredVoters is the desired number of voters; 0 disables automatic changes.
	DesiredVoters int
	Offers        map[model.InstanceID]Offer
	// ListeningSince is when the leader began to accept offers.
	ListeningSince time.Duration
}

// Kind is a kind of membership change.
type Kind uint8

// Kinds of changes.
const (
	None Kind = iota
	// AddLearner adds New as a learner.
	AddLearner
	// Promote makes the learner New a voter.
	Promote
	// ReplaceVoter replaces the voter Old by New.
	ReplaceVoter
	// RemoveLearner removes the learner Old.
	RemoveLearner
)

// Change is one membership change.
type Change struct {
	Kind     Kind
	Old, New Member
	// Reason is a short explanation for the log.
	Reason string
}

// Decide returns the next membership change, or one of kind None.
func Decide(now time.Duration, g Input) Change {
	if g.DesiredVoters == 0 {
		return Change{}
	}
	for _, rule := range []func(time.Duration, Input) (Change, bool){
		removeStaleLearner, replaceVoterWithNewDisk, replaceLostVoter, addVoter, addStandbyLearner, removeUnreachableLearner,
	} {
		if c, ok := rule(now, g); ok {
			return c
		}
	}
	return Change{}
}

// removeStaleLearner removes a learner whose instance now has a different disk.
func removeStaleLearner(_ time.Duration, g Input) (Change, bool) {
	for _, l := range g.Learners {
		if o, ok := g.Offers[l.Instance]; ok && o.Member != l {
			return Change{Kind: RemoveLearner, Old: l, Reason: "the disk of the learner was replaced"}, true
		}
	}
	return Change{}, false
}

// replaceVoterWithNewDisk replaces a voter by the member on the new disk of the same
// instance.
func replaceVoterWithNewDisk(now time.Duration, g Input) (Change, bool) {
	for _, v := range g.Voters {
		o, ok := g.Offers[v.Instance]
		if ok && o.Member != v && now-o.ReceivedAt < VoterTimeout && !slices.Contains(g.Voters, o.Member) {
			return Change{Kind: ReplaceVoter, Old: v, New: o.Member, Reason: "the disk of the voter was replaced"}, true
		}
	}
	return Change{}, false
}

// VoterToReplace is a voter that should give its place to another member.
type VoterToReplace struct {
	Voter  Member
	Reason string
}

// VotersToReplace returns the voters that should be replaced: first those whose disk was
// replaced, then those that timed out, then those that leave.
func VotersToReplace(now time.Duration, g Input) []VoterToReplace {
	var newDisk, timedOut, leaving []VoterToReplace
	for _, v := range g.Voters {
		o := g.Offers[v.Instance]
		switch {
		case now-max(o.ReceivedAt, g.ListeningSince) > VoterTimeout:
			timedOut = append(timedOut, VoterToReplace{v, "the voter timed out"})
		case o.Member.Instance != "" && o.Member != v:
			newDisk = append(newDisk, VoterToReplace{v, "the disk of the voter was replaced"})
		case o.Leaving:
			leaving = append(leaving, VoterToReplace{v, "the voter is leaving"})
		}
	}
	return slices.Concat(newDisk, timedOut, leaving)
}

// replaceLostVoter replaces a voter that timed out or is leaving by an eligible member.
func replaceLostVoter(now time.Duration, g Input) (Change, bool) {
	replacement, ok := eligibleMember(now, g)
	if !ok {
		return Change{}, false
	}
	for _, v := range g.Voters {
		o := g.Offers[v.Instance]
		switch {
		case now-max(o.ReceivedAt, g.ListeningSince) > VoterTimeout:
			return Change{Kind: ReplaceVoter, Old: v, New: replacement, Reason: "the voter timed out"}, true
		case o.Leaving:
			return Change{Kind: ReplaceVoter, Old: v, New: replacement, Reason: "the voter is leaving"}, true
		}
	}
	return Change{}, false
}

// addVoter adds a voter if the group has fewer than desired. The new voter is a
// learner first.
func addVoter(now time.Duration, g Input) (Change, bool) {
	newVoter, ok := eligibleMember(now, g)
	if !ok || len(g.Voters) >= g.DesiredVoters {
		return Change{}, false
	}
	if !slices.Contains(g.Learners, newVoter) {
		return Change{Kind: AddLearner, New: newVoter, Reason: "the group has too few voters"}, true
	}
	return Change{Kind: Promote, New: newVoter, Reason: "the group has too few voters"}, true
}

// addStandbyLearner adds an eligible member as a learner, so that it already has the log
// when it replaces a voter.
func addStandbyLearner(now time.Duration, g Input) (Change, bool) {
	for _, m := range eligibleMembers(now, g) {
		if !slices.Contains(g.Learners, m) {
			return Change{Kind: AddLearner, New: m, Reason: "standby for a voter"}, true
		}
	}
	return Change{}, false
}

func removeUnreachableLearner(now time.Duration, g Input) (Change, bool) {
	for _, l := range g.Learners {
		if now-max(g.Offers[l.Instance].ReceivedAt, g.ListeningSince) > LearnerTimeout {
			return Change{Kind: RemoveLearner, Old: l, Reason: "the learner timed out"}, true
		}
	}
	return Change{}, false
}

// eligibleMember returns the preferred member to become a voter.
func eligibleMember(now time.Duration, g Input) (Member, bool) {
	all := eligibleMembers(now, g)
	if len(all) == 0 {
		return Member{}, false
	}
	return all[0], true
}

// eligibleMembers returns the live members without a vote, learners first.
func eligibleMembers(now time.Duration, g Input) []Member {
	var all []Member
	for _, o := range g.Offers {
		if !o.Leaving && now-o.ReceivedAt < VoterTimeout && !slices.Contains(g.Voters, o.Member) {
			all = append(all, o.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int {
		if l := slices.Contains(g.Learners, a); l != slices.Contains(g.Learners, b) {
			if l {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return all
}

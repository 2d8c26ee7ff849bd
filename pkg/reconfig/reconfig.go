// Package reconfig decides how the control group changes by itself: it grows to
// its number of voters, and replaces a voter that is lost, that leaves, or
// whose disk was replaced. It is a pure function of what the leader has heard.
package reconfig

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// Member is an instance with the identity of its disk.
type Member = consensus.Member

// Offer is what an instance with a disk last told the leader.
type Offer struct {
	Member Member
	// ReceivedAt is when the offer came.
	ReceivedAt time.Duration
	// Leaving is set while the instance stops.
	Leaving bool
}

// Times after which an instance that is not heard counts as lost.
const (
	// VoterTimeout is long enough for a process to restart, and short enough to
	// restore the number of voters before the next loss.
	VoterTimeout = 1500 * time.Millisecond
	// LearnerTimeout is longer, since a learner that is lost costs little.
	LearnerTimeout = 30 * time.Second
)

// Group is the input of Next.
type Group struct {
	Voters   []Member
	Learners []Member
	// DesiredVoters is the wanted number of voters.
	DesiredVoters int
	Offers        map[model.InstanceID]Offer
	// ListeningSince is when the leader began to listen for offers.
	ListeningSince time.Duration
}

// Kind is a kind of change.
type Kind uint8

// Kinds of changes.
const (
	None Kind = iota
	// AddLearner makes Next a learner.
	AddLearner
	// Promote gives the learner Next a vote.
	Promote
	// ReplaceVoter gives Next the vote of Old.
	ReplaceVoter
	// RemoveLearner takes the learner Old out.
	RemoveLearner
)

// Change is one step.
type Change struct {
	Kind      Kind
	Old, Next Member
	// Reason is a short text for the log.
	Reason string
}

// Next returns the next step, or one of kind None.
func Next(now time.Duration, g Group) Change {
	if g.DesiredVoters == 0 {
		return Change{}
	}
	for _, rule := range []func(time.Duration, Group) (Change, bool){
		dropStaleLearner, replaceWiped, replaceLost, grow, addSpare, dropSilentLearner,
	} {
		if c, ok := rule(now, g); ok {
			return c
		}
	}
	return Change{}
}

// dropStaleLearner removes a learner whose instance has another disk now.
func dropStaleLearner(_ time.Duration, g Group) (Change, bool) {
	for _, l := range g.Learners {
		if o, ok := g.Offers[l.Instance]; ok && o.Member != l {
			return Change{Kind: RemoveLearner, Old: l, Reason: "its disk was replaced"}, true
		}
	}
	return Change{}, false
}

// replaceWiped replaces a voter by the new disk of the same instance.
func replaceWiped(now time.Duration, g Group) (Change, bool) {
	for _, v := range g.Voters {
		o, ok := g.Offers[v.Instance]
		if ok && o.Member != v && now-o.ReceivedAt < VoterTimeout && !slices.Contains(g.Voters, o.Member) {
			return Change{Kind: ReplaceVoter, Old: v, Next: o.Member, Reason: "its disk was replaced"}, true
		}
	}
	return Change{}, false
}

// replaceLost replaces a silent or leaving voter by a candidate.
func replaceLost(now time.Duration, g Group) (Change, bool) {
	next, ok := candidate(now, g)
	if !ok {
		return Change{}, false
	}
	for _, v := range g.Voters {
		o := g.Offers[v.Instance]
		switch {
		case now-max(o.ReceivedAt, g.ListeningSince) > VoterTimeout:
			return Change{Kind: ReplaceVoter, Old: v, Next: next, Reason: "it is silent"}, true
		case o.Leaving:
			return Change{Kind: ReplaceVoter, Old: v, Next: next, Reason: "it leaves"}, true
		}
	}
	return Change{}, false
}

// grow adds voters up to the target.
func grow(now time.Duration, g Group) (Change, bool) {
	next, ok := candidate(now, g)
	if !ok || len(g.Voters) >= g.DesiredVoters {
		return Change{}, false
	}
	if !slices.Contains(g.Learners, next) {
		return Change{Kind: AddLearner, Next: next, Reason: "the group has too few voters"}, true
	}
	return Change{Kind: Promote, Next: next, Reason: "the group has too few voters"}, true
}

// addSpare lets a candidate follow the log, so that it can replace a voter at
// once.
func addSpare(now time.Duration, g Group) (Change, bool) {
	for _, m := range candidates(now, g) {
		if !slices.Contains(g.Learners, m) {
			return Change{Kind: AddLearner, Next: m, Reason: "it stands by"}, true
		}
	}
	return Change{}, false
}

func dropSilentLearner(now time.Duration, g Group) (Change, bool) {
	for _, l := range g.Learners {
		if now-max(g.Offers[l.Instance].ReceivedAt, g.ListeningSince) > LearnerTimeout {
			return Change{Kind: RemoveLearner, Old: l, Reason: "it is silent"}, true
		}
	}
	return Change{}, false
}

// candidate returns the best instance to get a vote.
func candidate(now time.Duration, g Group) (Member, bool) {
	all := candidates(now, g)
	if len(all) == 0 {
		return Member{}, false
	}
	return all[0], true
}

// candidates returns the live instances without a vote, learners first.
func candidates(now time.Duration, g Group) []Member {
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

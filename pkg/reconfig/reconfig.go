// Package reconfig decides on automatic membership changes of the control group: it
// adds each live instance with a disk as a learner, adds voters up to the desired number,
// and replaces voters that are lost, that leave, or whose disk was replaced. Each
// instance regularly offers the leader its disk for a copy of the replicated log. The
// decision is a pure function of the offers that the leader has received, and of the
// learners that have caught up.
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
	// DiskFull is set while the disk has no space, and the member therefore takes no part
	// in the group. FullSince is when the first such offer arrived.
	DiskFull  bool
	FullSince time.Duration
}

// NextOffer returns an offer that arrives now, after the one before from the same instance.
func NextOffer(before Offer, now time.Duration, m Member, leaving, diskFull bool) Offer {
	next := Offer{Member: m, ReceivedAt: now, Leaving: leaving, DiskFull: diskFull}
	if diskFull {
		next.FullSince = now
	}
	if diskFull && before.DiskFull {
		next.FullSince = before.FullSince
	}
	return next
}

// Times without an offer after which an instance counts as lost.
const (
	// VoterTimeout is long enough for a process to restart, and short enough to
	// restore the number of voters before the next failure. It also applies to
	// instances that may become voters.
	VoterTimeout = 1500 * time.Millisecond
	// LearnerTimeout is longer, since the loss of a learner has little effect.
	LearnerTimeout = 30 * time.Second
	// FullDiskTimeout is how long a voter whose disk is full is waited for. It is longer
	// than VoterTimeout, since it keeps its log and needs no copy once there is space.
	FullDiskTimeout = 30 * time.Second
)

// Input is the input of Decide: the group and the offers to the leader.
type Input struct {
	Voters   []Member
	Learners []Member
	// CaughtUp are the learners that have enough of the log to become voters.
	CaughtUp []Member
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
	// RemoveVoter removes the voter Old without a replacement.
	RemoveVoter
)

// Change is one membership change.
type Change struct {
	Kind     Kind
	Old, New Member
	// Reason is a short explanation for the log.
	Reason string
}

// Decide returns the next membership change, or one of kind None. Learners are added
// first, since that waits for nothing: which of them catches up, and when, shows later.
// Voters change only if a learner has caught up, or if the others tolerate as many losses
// without the voter that goes.
func Decide(now time.Duration, g Input) Change {
	if g.DesiredVoters == 0 {
		return Change{}
	}
	for _, rule := range []func(time.Duration, Input) (Change, bool){
		removeStaleLearner, addLearner, removeSurplusVoter, replaceVoter, removeVoterOfEvenGroup, addVoter, removeUnreachableLearner,
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

// addLearner adds a live member that is neither a voter nor a learner, so that it has the
// log when a voter is lost.
func addLearner(now time.Duration, g Input) (Change, bool) {
	var first Member
	for _, o := range g.Offers {
		if !isLive(now, o) || slices.Contains(g.Voters, o.Member) || slices.Contains(g.Learners, o.Member) {
			continue
		}
		if first.Instance == "" || o.Member.Instance < first.Instance {
			first = o.Member
		}
	}
	return Change{Kind: AddLearner, New: first, Reason: "standby for a voter"}, first.Instance != ""
}

// VoterToReplace is a voter that should give its place to another member.
type VoterToReplace struct {
	Voter Member
	// Lost is set unless the voter still works and is only leaving.
	Lost   bool
	Reason string
}

// VotersToReplace returns the voters that should be replaced: first those whose disk was
// replaced, then those that timed out, then those that leave. There are none if operators
// manage the members, since no instance offers its disk then.
func VotersToReplace(now time.Duration, g Input) []VoterToReplace {
	if g.DesiredVoters == 0 {
		return nil
	}
	var newDisk, timedOut, leaving []VoterToReplace
	for _, v := range g.Voters {
		o := g.Offers[v.Instance]
		switch {
		case now-max(o.ReceivedAt, g.ListeningSince) > VoterTimeout:
			timedOut = append(timedOut, VoterToReplace{v, true, "the voter timed out"})
		case o.Member.Instance != "" && o.Member != v:
			newDisk = append(newDisk, VoterToReplace{v, true, "the disk of the voter was replaced"})
		case o.DiskFull && now-o.FullSince > FullDiskTimeout:
			timedOut = append(timedOut, VoterToReplace{v, true, "the disk of the voter is full"})
		case o.Leaving:
			leaving = append(leaving, VoterToReplace{v, false, "the voter is leaving"})
		}
	}
	return slices.Concat(newDisk, timedOut, leaving)
}

// removeSurplusVoter removes a voter that is lost or leaves from a group with more voters
// than desired. An earlier leader may have promoted its replacement already.
func removeSurplusVoter(now time.Duration, g Input) (Change, bool) {
	voters := VotersToReplace(now, g)
	if len(voters) == 0 || len(g.Voters) <= g.DesiredVoters {
		return Change{}, false
	}
	return Change{Kind: RemoveVoter, Old: voters[0].Voter, Reason: voters[0].Reason}, true
}

// replaceVoter replaces a voter by a learner that has caught up, preferably by the new disk
// of the same instance.
func replaceVoter(now time.Duration, g Input) (Change, bool) {
	voters, learners := VotersToReplace(now, g), readyLearners(now, g)
	if len(voters) == 0 || len(learners) == 0 {
		return Change{}, false
	}
	for _, v := range voters {
		for _, l := range learners {
			if l.Instance == v.Voter.Instance {
				return Change{Kind: ReplaceVoter, Old: v.Voter, New: l, Reason: v.Reason}, true
			}
		}
	}
	return Change{Kind: ReplaceVoter, Old: voters[0].Voter, New: learners[0], Reason: voters[0].Reason}, true
}

// minEvenVoters is the least number of voters of which removeVoterOfEvenGroup removes one:
// a group of two would be left with a single copy of the log.
const minEvenVoters = 4

// removeVoterOfEvenGroup removes a lost voter without a replacement from a group with an
// even number of voters. The quorum of the others is one less, so that they tolerate the
// loss of one more.
func removeVoterOfEvenGroup(now time.Duration, g Input) (Change, bool) {
	if len(g.Voters) < minEvenVoters || len(g.Voters)%2 != 0 {
		return Change{}, false
	}
	for _, v := range VotersToReplace(now, g) {
		if v.Lost {
			return Change{Kind: RemoveVoter, Old: v.Voter, Reason: v.Reason}, true
		}
	}
	return Change{}, false
}

// addVoter promotes a learner that has caught up if the group has fewer voters than desired.
func addVoter(now time.Duration, g Input) (Change, bool) {
	learners := readyLearners(now, g)
	if len(learners) == 0 || len(g.Voters) >= g.DesiredVoters {
		return Change{}, false
	}
	return Change{Kind: Promote, New: learners[0], Reason: "the group has too few voters"}, true
}

func removeUnreachableLearner(now time.Duration, g Input) (Change, bool) {
	for _, l := range g.Learners {
		if now-max(g.Offers[l.Instance].ReceivedAt, g.ListeningSince) > LearnerTimeout {
			return Change{Kind: RemoveLearner, Old: l, Reason: "the learner timed out"}, true
		}
	}
	return Change{}, false
}

// readyLearners returns the live learners that have caught up, ordered by instance.
func readyLearners(now time.Duration, g Input) []Member {
	var ready []Member
	for _, m := range g.CaughtUp {
		if o := g.Offers[m.Instance]; o.Member == m && isLive(now, o) && slices.Contains(g.Learners, m) {
			ready = append(ready, m)
		}
	}
	slices.SortFunc(ready, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return ready
}

// isLive reports whether an instance offered its disk lately, stays, and has space.
func isLive(now time.Duration, o Offer) bool {
	return !o.Leaving && !o.DiskFull && now-o.ReceivedAt < VoterTimeout
}

package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

// lateTime is long after every lease and election timeout since the start has expired.
const lateTime = time.Hour

func memberOf(id string) Member {
	return Member{Instance: model.InstanceID(id), Disk: model.DiskID("disk-" + id)}
}

var threeVoters = []Member{memberOf("a"), memberOf("b"), memberOf("c")}

func startMember(s PersistentState, now time.Duration) *Raft {
	return New(Config{
		Self: memberOf("a"), ElectionTimeout: testElectionTimeout, Heartbeat: testHeartbeat,
		Jitter: func(time.Duration) time.Duration { return 0 },
	}, s, now)
}

func bootstrapState() PersistentState {
	return PersistentState{HardState: HardState{Term: BootstrapTerm}, Snapshot: BootstrapSnapshot(threeVoters).Meta}
}

func voteRequest(from string, term uint64) Message {
	return Message{From: memberOf(from), To: memberOf("a"), Term: term, Vote: &VoteRequest{LastIndex: 100, LastTerm: term - 1}}
}

func grantsVote(e Effects) bool {
	for _, m := range e.Messages {
		if m.VoteReply != nil && m.VoteReply.Granted {
			return true
		}
	}
	return false
}

// expectOnlyRefusal expects that r changed no state, and sent nothing but a refusal in
// the given term.
func expectOnlyRefusal(r *Raft, term uint64, why Refusal) {
	ginkgo.GinkgoHelper()
	refusal := Message{From: memberOf("a"), To: memberOf("b"), Term: term, GroupID: r.membership.GroupID, VoteReply: &VoteReply{Refusal: why}}
	Expect(r.TakeEffects()).To(Equal(Effects{
		Messages: []Message{refusal}, Mark: SyncMark{Term: r.term, Index: r.log.lastIndex()},
	}))
}

// electLeader returns member a as the leader of the term after that of s.
func electLeader(s PersistentState, now time.Duration) *Raft {
	r := startMember(s, now-2*testElectionTimeout)
	r.Tick(now)
	reply := func(pre bool, term uint64) {
		m := Message{From: memberOf("b"), To: memberOf("a"), Term: term, VoteReply: &VoteReply{Granted: true, Pre: pre}}
		r.Step(now, m)
	}
	reply(true, s.HardState.Term+1)
	r.TakeEffects()
	reply(false, s.HardState.Term+1)
	Expect(r.role).To(Equal(Leader))
	return r
}

func appendReply(from string, term, index uint64, sentAt time.Duration) Message {
	return Message{From: memberOf(from), To: memberOf("a"), Term: term, AppendReply: &AppendReply{Index: index, SentAt: sentAt}}
}

var _ = ginkgo.Describe("A member", func() {
	ginkgo.It("keeps its vote across a restart", func() {
		r := startMember(bootstrapState(), 0)
		r.Step(lateTime, voteRequest("b", 5))
		e := r.TakeEffects()
		Expect(grantsVote(e)).To(BeTrue())
		Expect(*e.HardState).To(Equal(HardState{Term: 5, Vote: memberOf("b"), Commit: BootstrapIndex}))

		s := bootstrapState()
		s.HardState = *e.HardState
		r = startMember(s, 0)
		r.Step(lateTime, voteRequest("c", 5))
		Expect(grantsVote(r.TakeEffects())).To(BeFalse())
		r.Step(lateTime, voteRequest("b", 5))
		Expect(grantsVote(r.TakeEffects())).To(BeTrue())
	})

	ginkgo.It("gives others the time that its own slow step took, and no longer lease", func() {
		const step = 4 * testElectionTimeout
		r := electLeader(bootstrapState(), lateTime)
		r.TakeEffects()
		lease := r.LeaseUntil(lateTime)
		now := lateTime + step
		r.RecordStep(now, step)
		r.Tick(now)
		Expect(r.role).To(Equal(Leader))
		Expect(r.LeaseUntil(now)).To(Equal(lease))
		// Short steps follow while the replies of slow followers are on their way.
		r.RecordStep(now, 0)
		r.Tick(now + 2*step)
		Expect(r.role).To(Equal(Leader))
		r.Tick(now + 3*step)
		Expect(r.role).To(Equal(Follower))
	})

	ginkgo.It("campaigns an election timeout after a slow step at the earliest, if it follows", func() {
		const step = 4 * testElectionTimeout
		r := startMember(bootstrapState(), 0)
		r.RecordStep(step, step)
		r.Tick(step + testElectionTimeout - 1)
		Expect(r.role).To(Equal(Follower))
		r.Tick(step + testElectionTimeout)
		Expect(r.role).To(Equal(PreCandidate))
	})

	// Guards against members that all stood still once, such as during the start of their
	// machines, and then wait for a multiple of that time before anyone campaigns.
	ginkgo.It("campaigns soon after a single step that took very long", func() {
		const stall = 200 * testElectionTimeout
		candidate := startMember(bootstrapState(), 0)
		candidate.Tick(2 * testElectionTimeout)
		Expect(candidate.role).To(Equal(PreCandidate))
		now := 2*testElectionTimeout + stall
		candidate.RecordStep(now, stall)
		Expect(candidate.Deadline()).To(BeNumerically("<=", now+testElectionTimeout))

		follower := startMember(bootstrapState(), 0)
		follower.RecordStep(now, stall)
		heartbeat := &AppendRequest{PrevIndex: BootstrapIndex, PrevTerm: BootstrapTerm}
		follower.Step(now, Message{From: memberOf("b"), To: memberOf("a"), Term: BootstrapTerm, Append: heartbeat})
		Expect(follower.Deadline()).To(BeNumerically("<=", now+stall/10))
	})

	// Guards against a deadline that each slow step moves further away than the step took.
	ginkgo.It("campaigns again although one slow step follows the other", func() {
		const step = 4 * testElectionTimeout
		r := startMember(bootstrapState(), 0)
		now := testElectionTimeout
		r.Tick(now)
		r.TakeEffects()
		campaigns := 0
		for range 20 {
			now += step
			r.RecordStep(now, step)
			r.Tick(now)
			for _, m := range r.TakeEffects().Messages {
				if m.Vote != nil && m.To == memberOf("b") {
					campaigns++
				}
			}
		}
		// An exchange takes a step of each side.
		Expect(campaigns).To(BeNumerically(">=", 20/(stepsPerExchange+1)))
	})

	ginkgo.It("makes a vote durable even if it already knew the term", func() {
		r := startMember(bootstrapState(), 0)
		shorter := voteRequest("c", 5)
		shorter.Vote = &VoteRequest{}
		r.Step(lateTime, shorter)
		e := r.TakeEffects()
		Expect(grantsVote(e)).To(BeFalse())
		Expect(e.HardState.Term).To(Equal(uint64(5)))
		r.Step(lateTime, voteRequest("b", 5))
		e = r.TakeEffects()
		Expect(grantsVote(e)).To(BeTrue())
		Expect(e.HardState).NotTo(BeNil())
		Expect(e.HardState.Vote).To(Equal(memberOf("b")))
	})

	ginkgo.It("grants no vote within an election timeout of its start", func() {
		r := startMember(bootstrapState(), lateTime)
		r.Step(lateTime+testElectionTimeout-1, voteRequest("b", 5))
		expectOnlyRefusal(r, 5, RecentLeader)
		Expect(r.Status().Term).To(Equal(uint64(BootstrapTerm)))
		r.Step(lateTime+testElectionTimeout, voteRequest("b", 5))
		Expect(grantsVote(r.TakeEffects())).To(BeTrue())
	})

	ginkgo.It("accepts only messages addressed to its own disk", func() {
		r := startMember(bootstrapState(), 0)
		m := voteRequest("b", 5)
		m.To.Disk = "disk-before"
		r.Step(lateTime, m)
		Expect(r.HasEffects()).To(BeFalse())
	})

	ginkgo.It("ignores messages of another group", func() {
		r := startMember(bootstrapState(), 0)
		m := voteRequest("b", 5)
		m.GroupID = BootstrapSnapshot(threeVoters[:2]).Meta.Membership.GroupID
		r.Step(lateTime, m)
		expectOnlyRefusal(r, 5, OtherGroup)
		Expect(r.Status().Term).To(Equal(uint64(BootstrapTerm)))
		m.GroupID = BootstrapSnapshot(threeVoters).Meta.Membership.GroupID
		r.Step(lateTime, m)
		Expect(grantsVote(r.TakeEffects())).To(BeTrue())
	})

	ginkgo.It("does not increment the term while no majority responds", func() {
		r := startMember(bootstrapState(), 0)
		for now := time.Duration(0); now < 20*testElectionTimeout; now += testHeartbeat {
			r.Tick(now)
		}
		Expect(r.Status().Term).To(Equal(uint64(BootstrapTerm)))
	})
})

var _ = ginkgo.Describe("A candidate", func() {
	// Guards against elections that never succeed: voters sync a vote before they
	// reply, which takes several heartbeats under load or behind a large message.
	ginkgo.It("is elected although votes arrive late", func() {
		const late = 4 * testHeartbeat
		r := startMember(bootstrapState(), 0)
		type reply struct {
			at time.Duration
			m  Message
		}
		var replies []reply
		for now := time.Duration(0); now < 20*testElectionTimeout && r.role != Leader; now += testHeartbeat / 4 {
			for len(replies) > 0 && replies[0].at <= now {
				r.Step(now, replies[0].m)
				replies = replies[1:]
			}
			if now >= r.Deadline() {
				r.Tick(now)
			}
			for _, m := range r.TakeEffects().Messages {
				if m.Vote != nil && m.To == memberOf("b") {
					vote := &VoteReply{Granted: true, Pre: m.Vote.Pre}
					replies = append(replies, reply{now + late, Message{From: m.To, To: m.From, Term: m.Term, VoteReply: vote}})
				}
			}
		}
		Expect(r.role).To(Equal(Leader))
	})
})

var _ = ginkgo.Describe("A leader", func() {
	ginkgo.It("sends nothing before its vote for itself is synced", func() {
		s := bootstrapState()
		s.Snapshot.Membership.Voters = threeVoters[:1]
		s.Snapshot.Membership.Learners = threeVoters[1:]
		single := startMember(s, 0)
		single.Tick(lateTime)
		effects := single.TakeEffects()
		Expect(effects.HardState.Vote).To(Equal(memberOf("a")))
		Expect(effects.EarlyMessages).To(BeEmpty())
		Expect(effects.Messages).NotTo(BeEmpty())
	})

	ginkgo.It("commits entries of earlier terms only with one of its own term", func() {
		s := bootstrapState()
		s.HardState.Term = 2
		s.Entries = []Entry{{Term: 2, Index: 2, Command: []byte("old")}}
		r := electLeader(s, lateTime)
		e := r.TakeEffects()
		r.Synced(lateTime, e.Mark)
		r.Step(lateTime, appendReply("b", 3, 2, lateTime))
		Expect(r.Status().Commit).To(Equal(uint64(BootstrapIndex)))
		r.Step(lateTime, appendReply("b", 3, 3, lateTime))
		Expect(r.Status().Commit).To(Equal(uint64(3)))
	})

	ginkgo.It("changes the membership only after an entry of its term is committed", func() {
		r := electLeader(bootstrapState(), lateTime)
		change := Change{Kind: AddLearner, Member: memberOf("d")}
		_, _, err := r.ProposeChange(lateTime, change)
		Expect(err).To(MatchError(ErrChangePending))
		r.Synced(lateTime, r.TakeEffects().Mark)
		r.Step(lateTime, appendReply("b", 2, 2, lateTime))
		_, _, err = r.ProposeChange(lateTime, change)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = r.ProposeChange(lateTime, Change{Kind: AddLearner, Member: memberOf("e")})
		Expect(err).To(MatchError(ErrChangePending))
	})

	ginkgo.It("starts its lease at the send time of acknowledged messages", func() {
		r := electLeader(bootstrapState(), lateTime)
		r.Synced(lateTime, r.TakeEffects().Mark)
		answered := lateTime + testElectionTimeout/2
		r.Step(answered, appendReply("b", 2, 2, lateTime))
		r.TakeEffects()
		Expect(r.LeaseUntil(answered)).To(Equal(lateTime + testElectionTimeout*leaderLeasePercent/100))
	})

	ginkgo.It("gives up its lease on a leadership transfer and does not regain it", func() {
		r := electLeader(bootstrapState(), lateTime)
		r.Synced(lateTime, r.TakeEffects().Mark)
		r.Step(lateTime, appendReply("b", 2, 2, lateTime))
		r.TakeEffects()
		Expect(r.TransferLeadership(lateTime)).To(BeTrue())
		Expect(r.LeaseUntil(lateTime)).To(BeZero())
		r.Tick(lateTime + testElectionTimeout)
		Expect(r.Status().Role).To(Equal(Follower))
	})

	ginkgo.It("steps down without a majority", func() {
		r := electLeader(bootstrapState(), lateTime)
		r.Tick(lateTime + testElectionTimeout)
		Expect(r.Status().Role).To(Equal(Follower))
	})

	ginkgo.It("rejects proposals beyond the limit of uncommitted entries", func() {
		r := electLeader(bootstrapState(), lateTime)
		commands := make([][]byte, DefaultMaxUncommitted)
		_, _, err := r.Propose(lateTime, commands)
		Expect(err).To(MatchError(ErrBacklog))
	})
})

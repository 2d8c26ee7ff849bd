package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

// lateTime is long after every lease and election timeout since the start.
const lateTime = time.Hour

func memberOf(id string) Member {
	return Member{Instance: model.InstanceID(id), Disk: model.DiskID("disk-" + id)}
}

var threeVoters = []Member{memberOf("a"), memberOf("b"), memberOf("c")}

func restart(s PersistentState, now time.Duration) *Raft {
	return New(Config{
		Self: memberOf("a"), ElectionTimeout: worldElectionTimeout, Heartbeat: worldHeartbeat,
		Jitter: func(time.Duration) time.Duration { return 0 },
	}, s, now)
}

func foundingState() PersistentState {
	return PersistentState{HardState: HardState{Term: BootstrapTerm}, Snapshot: BootstrapSnapshot(threeVoters).Meta}
}

func voteRequest(from string, term uint64) Message {
	return Message{From: memberOf(from), To: memberOf("a"), Term: term, Vote: &VoteRequest{LastIndex: 100, LastTerm: term - 1}}
}

func granted(e Effects) bool {
	for _, m := range e.Messages {
		if m.VoteReply != nil && m.VoteReply.Granted {
			return true
		}
	}
	return false
}

// lead makes a the leader of the term after that of s.
func lead(s PersistentState, now time.Duration) *Raft {
	r := restart(s, now-2*worldElectionTimeout)
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
	ginkgo.It("keeps its vote over a restart", func() {
		r := restart(foundingState(), 0)
		r.Step(lateTime, voteRequest("b", 5))
		e := r.TakeEffects()
		Expect(granted(e)).To(BeTrue())
		Expect(*e.HardState).To(Equal(HardState{Term: 5, Vote: memberOf("b"), Commit: BootstrapIndex}))

		s := foundingState()
		s.HardState = *e.HardState
		r = restart(s, 0)
		r.Step(lateTime, voteRequest("c", 5))
		Expect(granted(r.TakeEffects())).To(BeFalse())
		r.Step(lateTime, voteRequest("b", 5))
		Expect(granted(r.TakeEffects())).To(BeTrue())
	})

	ginkgo.It("makes a vote durable also in a term that it knew before", func() {
		r := restart(foundingState(), 0)
		shorter := voteRequest("c", 5)
		shorter.Vote = &VoteRequest{}
		r.Step(lateTime, shorter)
		e := r.TakeEffects()
		Expect(granted(e)).To(BeFalse())
		Expect(e.HardState.Term).To(Equal(uint64(5)))
		r.Step(lateTime, voteRequest("b", 5))
		e = r.TakeEffects()
		Expect(granted(e)).To(BeTrue())
		Expect(e.HardState).NotTo(BeNil())
		Expect(e.HardState.Vote).To(Equal(memberOf("b")))
	})

	ginkgo.It("gives no vote within an election timeout of its start", func() {
		r := restart(foundingState(), lateTime)
		r.Step(lateTime+worldElectionTimeout-1, voteRequest("b", 5))
		Expect(r.HasEffects()).To(BeFalse())
		Expect(r.Status().Term).To(Equal(uint64(BootstrapTerm)))
		r.Step(lateTime+worldElectionTimeout, voteRequest("b", 5))
		Expect(granted(r.TakeEffects())).To(BeTrue())
	})

	ginkgo.It("takes messages only under its own disk", func() {
		r := restart(foundingState(), 0)
		m := voteRequest("b", 5)
		m.To.Disk = "disk-before"
		r.Step(lateTime, m)
		Expect(r.HasEffects()).To(BeFalse())
	})

	ginkgo.It("ignores another group", func() {
		r := restart(foundingState(), 0)
		m := voteRequest("b", 5)
		m.Group = BootstrapSnapshot(threeVoters[:2]).Meta.Membership.Group
		r.Step(lateTime, m)
		Expect(r.HasEffects()).To(BeFalse())
		m.Group = BootstrapSnapshot(threeVoters).Meta.Membership.Group
		r.Step(lateTime, m)
		Expect(granted(r.TakeEffects())).To(BeTrue())
	})

	ginkgo.It("raises no term while a majority does not answer", func() {
		r := restart(foundingState(), 0)
		for now := time.Duration(0); now < 20*worldElectionTimeout; now += worldHeartbeat {
			r.Tick(now)
		}
		Expect(r.Status().Term).To(Equal(uint64(BootstrapTerm)))
	})
})

var _ = ginkgo.Describe("A candidate", func() {
	// Voters sync their votes; beside load or behind a large message that takes
	// several heartbeats.
	ginkgo.It("is elected although votes come late", func() {
		const late = 4 * worldHeartbeat
		r := restart(foundingState(), 0)
		type reply struct {
			at time.Duration
			m  Message
		}
		var replies []reply
		for now := time.Duration(0); now < 20*worldElectionTimeout && r.role != Leader; now += worldHeartbeat / 4 {
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
		s := foundingState()
		s.Snapshot.Membership.Voters = threeVoters[:1]
		s.Snapshot.Membership.Learners = threeVoters[1:]
		single := restart(s, 0)
		single.Tick(lateTime)
		effects := single.TakeEffects()
		Expect(effects.HardState.Vote).To(Equal(memberOf("a")))
		Expect(effects.EarlyMessages).To(BeEmpty())
		Expect(effects.Messages).NotTo(BeEmpty())
	})

	ginkgo.It("commits entries of earlier terms only with one of its own", func() {
		s := foundingState()
		s.HardState.Term = 2
		s.Entries = []Entry{{Term: 2, Index: 2, Command: []byte("old")}}
		r := lead(s, lateTime)
		e := r.TakeEffects()
		r.Synced(lateTime, e.Mark)
		r.Step(lateTime, appendReply("b", 3, 2, lateTime))
		Expect(r.Status().Commit).To(Equal(uint64(BootstrapIndex)))
		r.Step(lateTime, appendReply("b", 3, 3, lateTime))
		Expect(r.Status().Commit).To(Equal(uint64(3)))
	})

	ginkgo.It("changes the membership only after an entry of its term is committed", func() {
		r := lead(foundingState(), lateTime)
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

	ginkgo.It("counts its lease from when it sent", func() {
		r := lead(foundingState(), lateTime)
		r.Synced(lateTime, r.TakeEffects().Mark)
		answered := lateTime + worldElectionTimeout/2
		r.Step(answered, appendReply("b", 2, 2, lateTime))
		r.TakeEffects()
		Expect(r.LeaseUntil(answered)).To(Equal(lateTime + worldElectionTimeout*leasePercent/100))
	})

	ginkgo.It("gives up its lease when it hands over, and does not take it again", func() {
		r := lead(foundingState(), lateTime)
		r.Synced(lateTime, r.TakeEffects().Mark)
		r.Step(lateTime, appendReply("b", 2, 2, lateTime))
		r.TakeEffects()
		Expect(r.TransferLeadership(lateTime)).To(BeTrue())
		Expect(r.LeaseUntil(lateTime)).To(BeZero())
		r.Tick(lateTime + worldElectionTimeout)
		Expect(r.Status().Role).To(Equal(Follower))
	})

	ginkgo.It("steps down without a majority", func() {
		r := lead(foundingState(), lateTime)
		r.Tick(lateTime + worldElectionTimeout)
		Expect(r.Status().Role).To(Equal(Follower))
	})

	ginkgo.It("refuses more than its bound of uncommitted entries", func() {
		r := lead(foundingState(), lateTime)
		commands := make([][]byte, DefaultMaxUncommitted)
		_, _, err := r.Propose(lateTime, commands)
		Expect(err).To(MatchError(ErrBacklog))
	})
})

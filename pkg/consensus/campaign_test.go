package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// campaigner returns member a after its first pre-vote requests.
func campaigner() *Raft {
	r := startMember(bootstrapState(), 0)
	r.Tick(lateTime)
	r.TakeEffects()
	return r
}

func preVoteRefusal(from string, term uint64, why Refusal) Message {
	return Message{From: memberOf(from), To: memberOf("a"), Term: term, VoteReply: &VoteReply{Pre: true, Refusal: why}}
}

var _ = ginkgo.Describe("A campaign", func() {
	// Guards against campaigns that fail without a trace of who refused, and why.
	ginkgo.It("records each voter's last answer", func() {
		r := campaigner()
		Expect(r.Campaign()).To(Equal(Campaign{
			Eligible: true, LastIndex: BootstrapIndex, LastTerm: BootstrapTerm,
			Answers: []VoteAnswer{{Voter: memberOf("b"), Unanswered: 1}, {Voter: memberOf("c"), Unanswered: 1}},
		}))
		r.Step(lateTime, preVoteRefusal("b", BootstrapTerm, LogBehind))
		r.Tick(r.Deadline())
		Expect(r.Campaign().Answers).To(Equal([]VoteAnswer{
			{Voter: memberOf("b"), Answered: true, Refusal: LogBehind, Unanswered: 1},
			{Voter: memberOf("c"), Unanswered: 2},
		}))
	})

	ginkgo.It("ends with a message of a leader", func() {
		r := campaigner()
		r.Step(lateTime, preVoteRefusal("b", BootstrapTerm, LogBehind))
		r.Step(lateTime, Message{From: memberOf("c"), To: memberOf("a"), Term: BootstrapTerm, Append: &AppendRequest{}})
		Expect(r.Campaign().Answers).To(HaveEach(HaveField("Answered", false)))
	})

	// Guards against a refusal that raises the term of a member that campaigns, also of
	// one that doesn't know reasons.
	ginkgo.It("is not changed by the refusal of a member that hears a leader", func() {
		voter := startMember(bootstrapState(), lateTime)
		voter.term = 7
		voter.Step(lateTime, Message{From: memberOf("b"), To: memberOf("a"), Term: BootstrapTerm + 1, Vote: &VoteRequest{Pre: true}})
		reply := voter.TakeEffects().Messages[0]
		Expect(*reply.VoteReply).To(Equal(VoteReply{Pre: true, Refusal: RecentLeader}))

		r := campaigner()
		before := r.Status()
		reply.From, reply.To = memberOf("b"), memberOf("a")
		r.Step(lateTime, reply)
		Expect(r.Status()).To(Equal(before))
		Expect(r.HasEffects()).To(BeFalse())
		Expect(r.Campaign().Answers[0].Refusal).To(Equal(RecentLeader))
	})

	ginkgo.DescribeTable("states why a vote is refused",
		func(term uint64, v VoteRequest, why Refusal) {
			r := startMember(bootstrapState(), 0)
			r.Step(lateTime, voteRequest("b", 5))
			r.TakeEffects()
			r.Step(lateTime, Message{From: memberOf("c"), To: memberOf("a"), Term: term, Vote: &v})
			Expect(r.TakeEffects().Messages[0].VoteReply).To(Equal(&VoteReply{Pre: v.Pre, Refusal: why}))
		},
		ginkgo.Entry("vote given away", uint64(5), VoteRequest{LastIndex: 9, LastTerm: 4}, VotedForOther),
		ginkgo.Entry("shorter log", uint64(6), VoteRequest{}, LogBehind),
		ginkgo.Entry("older term", uint64(4), VoteRequest{LastIndex: 9, LastTerm: 4}, OlderTerm),
		ginkgo.Entry("pre-vote for the present term", uint64(5), VoteRequest{LastIndex: 9, LastTerm: 4, Pre: true}, OlderTerm),
		ginkgo.Entry("pre-vote with a shorter log", uint64(6), VoteRequest{Pre: true}, LogBehind),
	)
})

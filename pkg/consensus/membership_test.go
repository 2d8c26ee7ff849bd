package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// leaderWithLearner returns member a as the leader of three voters and the learner d, which
// has the whole log.
func leaderWithLearner() *Raft {
	r := electLeader(bootstrapState(), lateTime)
	r.Synced(lateTime, r.TakeEffects().Mark)
	r.Step(lateTime, appendReply("b", 2, 2, lateTime))
	_, _, err := r.ProposeChange(lateTime, Change{Kind: AddLearner, Member: memberOf("d")})
	Expect(err).NotTo(HaveOccurred())
	acknowledge(r, "b", "d")
	return r
}

// acknowledge lets members acknowledge the whole log.
func acknowledge(r *Raft, from ...string) {
	r.Synced(lateTime, r.TakeEffects().Mark)
	for _, id := range from {
		r.Step(lateTime, appendReply(id, 2, r.log.lastIndex(), lateTime))
	}
}

var _ = ginkgo.Describe("A learner", func() {
	ginkgo.It("has caught up with the whole log", func() {
		r := leaderWithLearner()
		Expect(r.LearnerProgress(lateTime)).To(Equal([]LearnerProgress{{Member: memberOf("d"), Index: 3, CaughtUp: true}}))
		Expect(r.LossesTolerated(lateTime)).To(BeZero())
		Expect(r.SilentVoters(lateTime)).To(Equal([]Member{memberOf("c")}))
	})

	// Guards against a voter that lacks so much that the group waits for it for long.
	ginkgo.It("has not caught up while it lacks more than one message holds", func() {
		r := leaderWithLearner()
		_, _, err := r.Propose(lateTime, [][]byte{make([]byte, DefaultMaxAppendBytes)})
		Expect(err).NotTo(HaveOccurred())
		acknowledge(r, "b")
		_, _, err = r.ProposeChange(lateTime, Change{Kind: Promote, Member: memberOf("d")})
		Expect(err).To(MatchError(ErrNotCaughtUp))
		acknowledge(r, "d")
		_, _, err = r.ProposeChange(lateTime, Change{Kind: Promote, Member: memberOf("d")})
		Expect(err).NotTo(HaveOccurred())
	})

	ginkgo.It("has not caught up while it doesn't reply", func() {
		r := leaderWithLearner()
		now := lateTime + testElectionTimeout
		r.Step(now, appendReply("b", 2, 3, now))
		Expect(r.LearnerProgress(now)[0].CaughtUp).To(BeFalse())
		_, _, err := r.ProposeChange(now, Change{Kind: Promote, Member: memberOf("d")})
		Expect(err).To(MatchError(ErrNotCaughtUp))
	})
})

var _ = ginkgo.Describe("The replacement of a voter", func() {
	// Guards against a lost voter that is given up for a learner that never catches up.
	ginkgo.It("changes no voter before the learner has caught up, and then removes a lost voter first", func() {
		r := leaderWithLearner()
		_, _, err := r.Propose(lateTime, [][]byte{make([]byte, DefaultMaxAppendBytes)})
		Expect(err).NotTo(HaveOccurred())
		acknowledge(r, "b")
		lost, next := memberOf("c"), memberOf("d")
		step, ok := r.ReplacementStep(lateTime, lost, next)
		Expect(ok).To(BeTrue())
		Expect(step).To(Equal(Change{Kind: Promote, Member: next}))
		_, _, err = r.ProposeChange(lateTime, step)
		Expect(err).To(MatchError(ErrNotCaughtUp))
		acknowledge(r, "d")
		step, _ = r.ReplacementStep(lateTime, lost, next)
		Expect(step).To(Equal(Change{Kind: Remove, Member: lost}))
	})
})

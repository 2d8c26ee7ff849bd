package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A learner", func() {
	// Guards against a replacement that doesn't complete, without a sign of how far it is.
	It("is reported by the leader with its index, and since when it stands still", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c", "d")
		g.propose("c0")
		leader, d := g.leader(), g.members["d"].Status().Self
		Expect(leader.AddLearner(GinkgoT().Context(), d)).To(Succeed())
		Eventually(func() bool {
			all := leader.Status().LearnerProgress
			return len(all) == 1 && all[0].CaughtUp && all[0].Index == leader.Status().LastIndex
		}, waitTimeout, heartbeat).Should(BeTrue())
		Expect(leader.Status().LearnerProgress[0].Member).To(Equal(d))

		g.network.setIsolated("d", true)
		before := leader.Status().LearnerProgress[0].Index
		g.propose("c1")
		const idle = 500 * time.Millisecond
		Eventually(func() int64 { return leader.Status().LearnerProgress[0].IdleMilliseconds }, waitTimeout, heartbeat).
			Should(BeNumerically(">", idle.Milliseconds()))
		Expect(leader.Status().LearnerProgress[0].Index).To(Equal(before))
	})
})

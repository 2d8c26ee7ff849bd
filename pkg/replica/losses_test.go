package replica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

var _ = Describe("A leader", Serial, func() {
	// Guards against a group that is one loss away from standing still without a sign of it.
	It("logs how many more voters may be lost when that falls and when it recovers", func() {
		log := collectEvents()
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		leader := g.leader().Status().Self
		var silent model.InstanceID
		for id := range g.members {
			if id != leader.Instance {
				silent = id
			}
		}
		stopped := g.members[silent].Status().Self
		g.stop(silent)
		fell := func() []map[string]any { return log.with(events.LossesToleratedFell) }
		Eventually(fell, waitTimeout, heartbeat).Should(ContainElement(And(
			HaveKeyWithValue("tolerated", BeEquivalentTo(0)),
			HaveKeyWithValue("usual", BeEquivalentTo(1)),
			HaveKeyWithValue("silent", ConsistOf(stopped.String())),
		)))
		Expect(*g.leader().Status().LossesTolerated).To(Equal(0))
		g.start(silent)
		Eventually(func() []map[string]any { return log.with(events.LossesToleratedUsual) }, waitTimeout, heartbeat).ShouldNot(BeEmpty())
	})
})

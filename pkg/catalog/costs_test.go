package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/model"
)

// recordReplies reports one reply each 70 ms from `from` on, as 78 instances together do
// for one target; cost gives what a reply at a time costs.
func recordReplies(c *catalog.CostTracker, from, length time.Duration, cost func(time.Duration) float32) {
	for now := from; now < from+length; now += 70 * time.Millisecond {
		c.Record(now, []catalog.CostSample{{Target: "i", Sum: cost(now), Count: 1}})
	}
}

// expensiveTargets returns the targets that an instance without hints is told of.
func expensiveTargets(c *catalog.CostTracker, now time.Duration) []catalog.Hint {
	hints := c.Since(now, catalog.Position{})
	if hints == nil {
		return nil
	}
	return hints.Expensive
}

var _ = Describe("Costs", func() {
	constant := func(v float32) func(time.Duration) float32 {
		return func(time.Duration) float32 { return v }
	}

	It("tells of a slow target within a second", func() {
		c := catalog.NewCostTracker(1)
		recordReplies(c, 0, 10*time.Second, constant(1))
		recordReplies(c, 10*time.Second, time.Second, constant(9))
		Expect(expensiveTargets(c, 11*time.Second)).To(HaveLen(1))
	})

	It("tells of a target that turns 45% of its requests away", func() {
		c, n := catalog.NewCostTracker(1), 0
		recordReplies(c, 0, 4*time.Second, func(time.Duration) float32 {
			n++
			if n*45%100 < 45 {
				return 7
			}
			return 1
		})
		Expect(expensiveTargets(c, 4*time.Second)).To(HaveLen(1))
	})

	It("says nothing of a target that stands still for a quarter of a second", func() {
		c := catalog.NewCostTracker(1)
		for start := time.Duration(0); start < 30*time.Second; start += 6 * time.Second {
			recordReplies(c, start, 5750*time.Millisecond, constant(1))
			recordReplies(c, start+5750*time.Millisecond, 250*time.Millisecond, constant(8))
			Expect(expensiveTargets(c, start+6*time.Second)).To(BeEmpty())
		}
	})

	It("takes the hint back when the target does well again, or when nobody asks it", func() {
		c := catalog.NewCostTracker(1)
		recordReplies(c, 0, 3*time.Second, constant(9))
		recordReplies(c, 3*time.Second, 3*time.Second, constant(1))
		Expect(expensiveTargets(c, 6*time.Second)).To(BeEmpty())
		recordReplies(c, 6*time.Second, 3*time.Second, constant(9))
		Expect(expensiveTargets(c, 9*time.Second)).To(HaveLen(1))
		Expect(expensiveTargets(c, 30*time.Second)).To(BeEmpty())
	})

	It("tells an instance only what changed since", func() {
		c := catalog.NewCostTracker(1)
		recordReplies(c, 0, 3*time.Second, constant(9))
		first := c.Since(3*time.Second, catalog.Position{})
		known := first.Apply(nil)
		Expect(known).To(HaveKeyWithValue(model.TargetID("i"), BeNumerically("~", 9, 0.1)))
		recordReplies(c, 3*time.Second, time.Second, constant(10))
		Expect(c.Since(4*time.Second, first.To)).To(BeNil())
		recordReplies(c, 4*time.Second, 4*time.Second, constant(1))
		later := c.Since(8*time.Second, first.To)
		Expect(later.Full).To(BeFalse())
		Expect(later.Expensive).To(BeEmpty())
		Expect(later.Apply(known)).To(BeEmpty())
	})

	It("replaces what was known under an earlier leader", func() {
		c := catalog.NewCostTracker(2)
		h := c.Since(time.Second, catalog.Position{Term: 1, Sequence: 7})
		Expect(h.Apply(map[model.TargetID]float64{"old": 5})).To(BeEmpty())
	})

	It("reports changes for the log once a second at most", func() {
		c := catalog.NewCostTracker(1)
		recordReplies(c, 0, 3*time.Second, constant(9))
		expensiveTargets(c, 3*time.Second)
		changed, count := c.ChangesToLog(3 * time.Second)
		Expect(changed.Expensive).To(HaveLen(1))
		Expect(count).To(Equal(1))
		recordReplies(c, 3*time.Second, 3*time.Second, constant(1))
		expensiveTargets(c, 6*time.Second)
		again, _ := c.ChangesToLog(3500 * time.Millisecond)
		Expect(again).To(BeNil())
		cleared, count := c.ChangesToLog(6 * time.Second)
		Expect(cleared.Cleared).To(HaveLen(1))
		Expect(count).To(Equal(0))
	})
})

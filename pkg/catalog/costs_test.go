package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/model"
)

// recordReplies records one reply every 70 ms, the combined rate of 78 instances
// at one target; cost returns the cost of a reply at a given time.
func recordReplies(c *catalog.CostTracker, from, length time.Duration, cost func(time.Duration) float32) {
	for now := from; now < from+length; now += 70 * time.Millisecond {
		c.Record(now, []catalog.CostSample{{Target: "i", Sum: cost(now), Count: 1}})
	}
}

// expensiveTargets returns the hints that an instance without any hints receives.
func expensiveTargets(c *catalog.CostTracker, now time.Duration) []catalog.Hint {
	hints := c.Since(now, catalog.Position{})
	if hints == nil {
		return nil
	}
	return hints.Expensive
}

var _ = Describe("CostTracker", func() {
	constant := func(v float32) func(time.Duration) float32 {
		return func(time.Duration) float32 { return v }
	}

	It("publishes a slow target within a second", func() {
		c := catalog.NewCostTracker(1)
		recordReplies(c, 0, 10*time.Second, constant(1))
		recordReplies(c, 10*time.Second, time.Second, constant(9))
		Expect(expensiveTargets(c, 11*time.Second)).To(HaveLen(1))
	})

	It("publishes a target that rejects 45% of its requests", func() {
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

	It("does not publish a target that stalls for a quarter of a second", func() {
		c := catalog.NewCostTracker(1)
		for start := time.Duration(0); start < 30*time.Second; start += 6 * time.Second {
			recordReplies(c, start, 5750*time.Millisecond, constant(1))
			recordReplies(c, start+5750*time.Millisecond, 250*time.Millisecond, constant(8))
			Expect(expensiveTargets(c, start+6*time.Second)).To(BeEmpty())
		}
	})

	It("clears the hint when the target recovers or receives no requests", func() {
		c := catalog.NewCostTracker(1)
		recordReplies(c, 0, 3*time.Second, constant(9))
		recordReplies(c, 3*time.Second, 3*time.Second, constant(1))
		Expect(expensiveTargets(c, 6*time.Second)).To(BeEmpty())
		recordReplies(c, 6*time.Second, 3*time.Second, constant(9))
		Expect(expensiveTargets(c, 9*time.Second)).To(HaveLen(1))
		Expect(expensiveTargets(c, 30*time.Second)).To(BeEmpty())
	})

	It("returns only the changes since a position", func() {
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

	It("replaces the hints of an earlier leader", func() {
		c := catalog.NewCostTracker(2)
		h := c.Since(time.Second, catalog.Position{Term: 1, Sequence: 7})
		Expect(h.Apply(map[model.TargetID]float64{"old": 5})).To(BeEmpty())
	})

	It("returns changes for the log at most once a second", func() {
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

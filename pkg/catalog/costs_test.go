package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/model"
)

// feed reports one reply each 70 ms from `from` on, as 78 instances together do
// for one target; cost gives what a reply at a time costs.
func feed(c *catalog.Costs, from, length time.Duration, cost func(time.Duration) float32) {
	for now := from; now < from+length; now += 70 * time.Millisecond {
		c.Note(now, []catalog.Sample{{Target: "i", Sum: cost(now), Count: 1}})
	}
}

// dear returns the targets that an instance without hints is told of.
func dear(c *catalog.Costs, now time.Duration) []catalog.Hint {
	hints := c.Since(now, catalog.Position{})
	if hints == nil {
		return nil
	}
	return hints.Dear
}

var _ = Describe("Costs", func() {
	constant := func(v float32) func(time.Duration) float32 {
		return func(time.Duration) float32 { return v }
	}

	It("tells of a slow target within a second", func() {
		c := catalog.NewCosts(1)
		feed(c, 0, 10*time.Second, constant(1))
		feed(c, 10*time.Second, time.Second, constant(9))
		Expect(dear(c, 11*time.Second)).To(HaveLen(1))
	})

	It("tells of a target that turns 45% of its requests away", func() {
		c, n := catalog.NewCosts(1), 0
		feed(c, 0, 4*time.Second, func(time.Duration) float32 {
			n++
			if n*45%100 < 45 {
				return 7
			}
			return 1
		})
		Expect(dear(c, 4*time.Second)).To(HaveLen(1))
	})

	It("says nothing of a target that stands still for a quarter of a second", func() {
		c := catalog.NewCosts(1)
		for start := time.Duration(0); start < 30*time.Second; start += 6 * time.Second {
			feed(c, start, 5750*time.Millisecond, constant(1))
			feed(c, start+5750*time.Millisecond, 250*time.Millisecond, constant(8))
			Expect(dear(c, start+6*time.Second)).To(BeEmpty())
		}
	})

	It("takes the hint back when the target does well again, or when nobody asks it", func() {
		c := catalog.NewCosts(1)
		feed(c, 0, 3*time.Second, constant(9))
		feed(c, 3*time.Second, 3*time.Second, constant(1))
		Expect(dear(c, 6*time.Second)).To(BeEmpty())
		feed(c, 6*time.Second, 3*time.Second, constant(9))
		Expect(dear(c, 9*time.Second)).To(HaveLen(1))
		Expect(dear(c, 30*time.Second)).To(BeEmpty())
	})

	It("tells an instance only what changed since", func() {
		c := catalog.NewCosts(1)
		feed(c, 0, 3*time.Second, constant(9))
		told := c.Since(3*time.Second, catalog.Position{})
		known := told.Apply(nil)
		Expect(known).To(HaveKeyWithValue(model.TargetID("i"), BeNumerically("~", 9, 0.1)))
		feed(c, 3*time.Second, time.Second, constant(10))
		Expect(c.Since(4*time.Second, told.To)).To(BeNil())
		feed(c, 4*time.Second, 4*time.Second, constant(1))
		later := c.Since(8*time.Second, told.To)
		Expect(later.Whole).To(BeFalse())
		Expect(later.Dear).To(BeEmpty())
		Expect(later.Apply(known)).To(BeEmpty())
	})

	It("replaces what was known under an earlier leader", func() {
		c := catalog.NewCosts(2)
		h := c.Since(time.Second, catalog.Position{Term: 1, Sequence: 7})
		Expect(h.Apply(map[model.TargetID]float64{"old": 5})).To(BeEmpty())
	})

	It("reports changes for the log once a second at most", func() {
		c := catalog.NewCosts(1)
		feed(c, 0, 3*time.Second, constant(9))
		dear(c, 3*time.Second)
		changed, count := c.Report(3 * time.Second)
		Expect(changed.Dear).To(HaveLen(1))
		Expect(count).To(Equal(1))
		feed(c, 3*time.Second, 3*time.Second, constant(1))
		dear(c, 6*time.Second)
		again, _ := c.Report(3500 * time.Millisecond)
		Expect(again).To(BeNil())
		cleared, count := c.Report(6 * time.Second)
		Expect(cleared.Usual).To(HaveLen(1))
		Expect(count).To(Equal(0))
	})
})

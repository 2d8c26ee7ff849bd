package hedge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/query/hedge"
	"radishturn.example/radishturn/pkg/query/latency"
)

// burst is the documented capacity of the budget.
const burst = 40

var _ = Describe("the budget", func() {
	It("never lets extra requests exceed the share and the burst", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.Float64Range(0, 0.3).Draw(t, "share")
			b := hedge.NewBudget(share)
			attempts, hedges, retries := 0, 0, 0
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0:
					n := rapid.IntRange(1, 150).Draw(t, "attempts")
					attempts += n
					b.RecordAttempts(n)
				case 1:
					if b.TakeHedge(0) {
						hedges++
					}
				case 2:
					if b.TakeRetry() {
						retries++
					}
				}
				earned := burst + share*float64(attempts)
				if float64(hedges) > earned || float64(hedges+retries) > earned+burst+1e-6 {
					t.Fatalf("%d hedges and %d retries over %d attempts at %v", hedges, retries, attempts, share)
				}
			}
		})
	})

	It("allows no hedges, but retries, after a target has shed load", func() {
		b := hedge.NewBudget(0.05)
		b.PauseHedges(0)
		Expect(b.TakeHedge(500 * time.Millisecond)).To(BeFalse())
		Expect(b.TakeRetry()).To(BeTrue())
		Expect(b.TakeHedge(2 * time.Second)).To(BeTrue())
	})

	It("sends no hedge with a share of zero", func() {
		b := hedge.NewBudget(0)
		Expect(b.TakeHedge(0)).To(BeFalse())
	})
})

var _ = Describe("the delay", func() {
	var h latency.Histogram
	for i := range 250 {
		h.Add(time.Duration(i+1) * 40 * time.Microsecond)
	}

	It("is at least 1.5 times the median where latencies vary little", func() {
		var even latency.Histogram
		for range 250 {
			even.Add(4 * time.Millisecond)
		}
		d, _ := hedge.Policy{Mode: hedge.ModeAdaptive}.DelayFor(&even, 1)
		Expect(d).To(BeNumerically(">=", 6*time.Millisecond))
	})

	It("is longer the emptier the budget is", func() {
		p := hedge.Policy{Mode: hedge.ModeAdaptive}
		full, ok := p.DelayFor(&h, 1)
		Expect(ok).To(BeTrue())
		empty, _ := p.DelayFor(&h, 0)
		Expect(full).To(BeNumerically("~", 9200*time.Microsecond, time.Millisecond))
		Expect(empty).To(BeNumerically(">=", full))
	})

	It("is extended while a large share of a query is late, but not without limit", func() {
		Expect(hedge.Postpone(2, 40, 10*time.Millisecond, 10*time.Millisecond)).To(BeZero())
		Expect(hedge.Postpone(1, 1, 10*time.Millisecond, 10*time.Millisecond)).To(BeZero())
		Expect(hedge.Postpone(20, 40, 10*time.Millisecond, 10*time.Millisecond)).To(Equal(10 * time.Millisecond))
		Expect(hedge.Postpone(20, 40, 20*time.Millisecond, 10*time.Millisecond)).To(BeZero())
	})

	It("is undefined without enough samples", func() {
		var few latency.Histogram
		few.Add(time.Millisecond)
		_, ok := hedge.Policy{Mode: hedge.ModeAdaptive}.DelayFor(&few, 1)
		Expect(ok).To(BeFalse())
	})

	It("is fixed or absent in the other modes", func() {
		d, ok := hedge.Policy{Mode: hedge.ModeFixed, Delay: time.Second}.DelayFor(&h, 1)
		Expect(ok).To(BeTrue())
		Expect(d).To(Equal(time.Second))
		_, ok = hedge.Policy{Mode: hedge.ModeNone}.DelayFor(&h, 1)
		Expect(ok).To(BeFalse())
	})
})

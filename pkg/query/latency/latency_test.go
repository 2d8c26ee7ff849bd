package latency_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/query/latency"
)

var _ = Describe("the mean of a target", func() {
	It("follows a slowdown faster than a recovery", func() {
		var up, down latency.Mean
		up.Add(10*time.Millisecond, 0)
		up.Add(110*time.Millisecond, 0)
		down.Add(110*time.Millisecond, 0)
		down.Add(10*time.Millisecond, 0)
		Expect(up.Value(0, 0) - 10*time.Millisecond).To(BeNumerically(">", 110*time.Millisecond-down.Value(0, 0)))
	})

	It("decays to the expected latency while a slow target gets no requests", func() {
		var m latency.Mean
		m.Add(time.Second, 0)
		Expect(m.Value(time.Minute, 10*time.Millisecond)).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("treats the duration of an abandoned attempt as a lower bound", func() {
		var m latency.Mean
		m.Add(10*time.Millisecond, 0)
		m.AddLowerBound(time.Millisecond, 0)
		Expect(m.Value(0, 0)).To(Equal(10 * time.Millisecond))
		m.AddLowerBound(time.Second, 0)
		Expect(m.Value(0, 0)).To(BeNumerically(">", 100*time.Millisecond))
	})
})

var _ = Describe("the distribution of a leaf", func() {
	It("returns quantiles at most 10% too high", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			samples := rapid.SliceOfN(rapid.IntRange(100, 5_000_000), 1, 250).Draw(t, "µs")
			q := rapid.Float64Range(0.01, 1).Draw(t, "q")
			var h latency.Histogram
			for _, s := range samples {
				h.Add(time.Duration(s) * time.Microsecond)
			}
			slices.Sort(samples)
			rank := int(q*float64(len(samples)) + 0.999999)
			exact := time.Duration(samples[max(rank, 1)-1]) * time.Microsecond
			got := h.Quantile(q)
			if got < exact-time.Microsecond || float64(got) > 1.1*float64(exact) {
				t.Fatalf("quantile %v is %v, exact value is %v", q, got, exact)
			}
		})
	})

	It("forgets old samples", func() {
		var h latency.Histogram
		for range 4096 {
			h.Add(time.Second)
		}
		for range 8192 {
			h.Add(time.Millisecond)
		}
		Expect(h.Quantile(0.98)).To(BeNumerically("<", 2*time.Millisecond))
	})
})

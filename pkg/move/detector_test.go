package move

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMove(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Move controller")
}

var _ = Describe("the sequential test", func() {
	const limit = 15.0

	DescribeTable("has likelihood ratios with a mean of 1 at the tolerance",
		func(newTotal, oldTotal, bad float64) {
			p := tolerance * newTotal / (tolerance*newTotal + oldTotal)
			for _, r := range rateRatios {
				var mean float64
				for k := 0.0; k <= bad; k++ {
					c := counts{oldTotal: oldTotal, oldBad: bad - k, newTotal: newTotal, newBad: k}
					mean += binomialCoefficient(bad, k) * math.Pow(p, k) * math.Pow(1-p, bad-k) * math.Exp(binomialLLR(c, r))
				}
				Expect(mean).To(BeNumerically("~", 1, 1e-6), "rate ratio %g", r)
			}
		},
		Entry("little traffic on the new version", 10.0, 990.0, 12.0),
		Entry("equal traffic on both", 500.0, 500.0, 20.0),
		Entry("most traffic on the new version", 990.0, 10.0, 8.0),
	)

	It("never decides on a single window, whatever its counts", func() {
		t := newSequentialTest(failureFloor)
		t.add(counts{oldTotal: 10000, newTotal: 10000, newBad: 10000}, limit)
		Expect(t.evidence()).To(BeNumerically("<", limit))
		t.add(counts{oldTotal: 10000, newTotal: 10000, newBad: 10000}, limit)
		Expect(t.evidence()).To(BeNumerically(">=", limit))
	})

	It("collects no evidence from a fault of both versions", func() {
		t := newSequentialTest(failureFloor)
		for range 100 {
			t.add(counts{oldTotal: 900, oldBad: 300, newTotal: 100, newBad: 40}, limit)
		}
		Expect(t.evidence()).To(BeNumerically("<", 1))
	})

	It("keeps its false-alarm rate at the tolerance", func() {
		const (
			runs    = 400
			windows = 600
			alpha   = 0.05
		)
		random := rand.New(rand.NewPCG(1, 1))
		alarms := 0
		for range runs {
			if raisesAlarm(random, windows, math.Log(windows/alpha)) {
				alarms++
			}
		}
		Expect(alarms).To(BeNumerically("<=", alpha*runs))
	})
})

// raisesAlarm reports whether the test alarms on a version whose rate is
// tolerance times that of the old one.
func raisesAlarm(random *rand.Rand, windows int, limit float64) bool {
	const all, rate = 200, 0.01
	t := newSequentialTest(failureFloor)
	for range windows {
		c := counts{oldTotal: all, newTotal: all}
		for range all {
			if random.Float64() < rate {
				c.oldBad++
			}
			if random.Float64() < rate*tolerance {
				c.newBad++
			}
		}
		t.add(c, limit)
		if t.evidence() >= limit {
			return true
		}
	}
	return false
}

func binomialCoefficient(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return math.Exp(a - b - c)
}

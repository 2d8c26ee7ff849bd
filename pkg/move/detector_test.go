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
	RunSpecs(t, "Controller of moves")
}

var _ = Describe("the sequential test", func() {
	const limit = 15.0

	DescribeTable("has ratios with a mean of at most 1 at the edge of the tolerance",
		func(newAll, oldAll, bad float64) {
			p := tolerance * newAll / (tolerance*newAll + oldAll)
			for _, o := range odds {
				var mean float64
				for k := 0.0; k <= bad; k++ {
					c := counts{oldAll: oldAll, oldBad: bad - k, newAll: newAll, newBad: k}
					mean += choose(bad, k) * math.Pow(p, k) * math.Pow(1-p, bad-k) * math.Exp(compareRates(c, o))
				}
				Expect(mean).To(BeNumerically("~", 1, 1e-6), "odds %g", o)
			}
		},
		Entry("few of the new version", 10.0, 990.0, 12.0),
		Entry("half of each", 500.0, 500.0, 20.0),
		Entry("almost all new", 990.0, 10.0, 8.0),
	)

	It("never decides on one window, whatever is in it", func() {
		t := newSequentialTest(failureFloor)
		t.add(counts{oldAll: 10000, newAll: 10000, newBad: 10000}, limit)
		Expect(t.evidence()).To(BeNumerically("<", limit))
		t.add(counts{oldAll: 10000, newAll: 10000, newBad: 10000}, limit)
		Expect(t.evidence()).To(BeNumerically(">=", limit))
	})

	It("is unmoved by a fault of both versions", func() {
		t := newSequentialTest(failureFloor)
		for range 100 {
			t.add(counts{oldAll: 900, oldBad: 300, newAll: 100, newBad: 40}, limit)
		}
		Expect(t.evidence()).To(BeNumerically("<", 1))
	})

	It("keeps its false-alarm rate at the edge of the tolerance", func() {
		const (
			runs    = 400
			windows = 600
			alpha   = 0.05
		)
		random := rand.New(rand.NewPCG(1, 1))
		alarms := 0
		for range runs {
			if alarmed(random, windows, math.Log(windows/alpha)) {
				alarms++
			}
		}
		Expect(alarms).To(BeNumerically("<=", alpha*runs))
	})
})

// alarmed runs the test on a version whose rate is tolerance times the old one's.
func alarmed(random *rand.Rand, windows int, limit float64) bool {
	const all, rate = 200, 0.01
	t := newSequentialTest(failureFloor)
	for range windows {
		c := counts{oldAll: all, newAll: all}
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

func choose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return math.Exp(a - b - c)
}

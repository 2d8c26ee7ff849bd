package move

import "math"

// tolerance is the largest ratio of the new version's rate of bad answers to the
// old version's at which the new version counts as no worse.
const tolerance = 2.0

// rateRatios are the alternative hypotheses of the test: the factors by which the
// rate of a bad version exceeds the tolerance.
var rateRatios = []float64{2, 4, 16, 128, 1024}

// maxRate bounds the rate that an alternative hypothesis assumes.
const maxRate = 0.95

// minWindows is the minimum number of windows needed for a decision, so that a
// burst in one window, such as the crash of one target, never decides alone.
const minWindows = 2

// counts holds the number of answers and of bad answers of both versions in one
// window.
type counts struct {
	oldTotal, oldBad float64
	newTotal, newBad float64
}

// sequentialTest compares the rates of bad answers of two versions. For each
// alternative it keeps a CUSUM of the likelihood ratio of the windows.
//
// The test is conditioned on the number of bad answers in a window. How these
// divide between the versions does not depend on how frequent they are, so a
// fault that affects both versions equally does not change the evidence. The
// likelihood ratio of a window has a mean of at most 1 while the new version's
// rate is within the tolerance or below the floor. By Doob's inequality, the
// probability that the evidence exceeds log(n/alpha) within n windows is then at
// most alpha.
type sequentialTest struct {
	// floor is the rate of bad answers that is always allowed.
	floor  float64
	cusums []float64
}

func newSequentialTest(floor float64) *sequentialTest {
	return &sequentialTest{floor: floor, cusums: make([]float64, len(rateRatios))}
}

// add updates the CUSUMs with a window. The contribution of one window is bounded
// by limit/minWindows, plus the slack of boundSlack.
func (t *sequentialTest) add(c counts, limit float64) {
	bound := limit / minWindows * (1 + boundSlack)
	for i, r := range rateRatios {
		ratio := min(binomialLLR(c, r), poissonLLR(c, t.floor, r))
		t.cusums[i] = max(0, t.cusums[i]) + min(ratio, bound)
	}
}

// boundSlack raises the bound of a window so that exactly minWindows windows at the
// bound reach the limit, although the evidence is a mean over the alternatives.
const boundSlack = 0.25

// evidence returns the logarithm of the mean of the likelihood ratios in the CUSUMs.
func (t *sequentialTest) evidence() float64 {
	var sum float64
	for _, s := range t.cusums {
		sum += math.Exp(max(0, s))
	}
	return math.Log(sum / float64(len(t.cusums)))
}

// binomialLLR returns the binomial log-likelihood ratio of how the bad answers
// divide between the versions, given their total number.
func binomialLLR(c counts, rateRatio float64) float64 {
	if c.newTotal == 0 || c.oldTotal == 0 {
		return 0
	}
	nullShare := tolerance * c.newTotal / (tolerance*c.newTotal + c.oldTotal)
	alternativeShare := tolerance * rateRatio * c.newTotal / (tolerance*rateRatio*c.newTotal + c.oldTotal)
	return c.newBad*math.Log(alternativeShare/nullShare) + c.oldBad*math.Log((1-alternativeShare)/(1-nullShare))
}

// poissonLLR returns the Poisson log-likelihood ratio of the number of the new
// version's bad answers against a fixed rate.
func poissonLLR(c counts, floor, rateRatio float64) float64 {
	rate := min(maxRate, floor*tolerance*rateRatio)
	return c.newBad*math.Log(rate/floor) - c.newTotal*(rate-floor)
}

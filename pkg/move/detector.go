package move

import "math"

// tolerance is the ratio of the new version's rate to the old one's up to
// which the new version counts as no worse.
const tolerance = 2.0

// odds are the alternatives of the test: by which factor beyond the tolerance
// the rate of a bad version is higher.
var odds = []float64{2, 4, 16, 128, 1024}

// maxRate bounds the rates that an alternative may suppose.
const maxRate = 0.95

// minimumWindows is the least number of windows that decide together. A burst
// in one window, such as one target's death, never decides alone.
const minimumWindows = 2

// counts are the answers of both versions in one window, and how many of them
// are bad.
type counts struct {
	oldAll, oldBad float64
	newAll, newBad float64
}

// sequentialTest compares the rates of bad answers of two versions. For each
// alternative it keeps a CUSUM of the likelihood ratio of the windows.
//
// Given the bad answers of a window, how they fall on the two versions does not
// depend on how common they are, so a fault that hits both leaves the test
// unmoved. Each window's ratio has a mean of at most 1 while the new version's
// rate is within the tolerance or below the floor; by Doob's inequality the
// chance that the test ever passes log(n/alpha) within n windows is then at
// most alpha.
type sequentialTest struct {
	// floor is a rate of bad answers that is always allowed.
	floor float64
	sums  []float64
}

func newSequentialTest(floor float64) *sequentialTest {
	return &sequentialTest{floor: floor, sums: make([]float64, len(odds))}
}

// add takes in a window. Its weight is bounded to limit/minimumWindows.
func (t *sequentialTest) add(c counts, limit float64) {
	bound := limit / minimumWindows * (1 + boundSlack)
	for i, o := range odds {
		ratio := min(compareRates(c, o), compareFloor(c, t.floor, o))
		t.sums[i] = max(0, t.sums[i]) + min(ratio, bound)
	}
}

// boundSlack lets exactly minimumWindows full windows pass the limit although
// the evidence is the mean over the alternatives.
const boundSlack = 0.25

// evidence returns the logarithm of the mean of the CUSUMs.
func (t *sequentialTest) evidence() float64 {
	var sum float64
	for _, s := range t.sums {
		sum += math.Exp(max(0, s))
	}
	return math.Log(sum / float64(len(t.sums)))
}

// compareRates is the logarithm of the binomial likelihood ratio of the bad
// answers' division between the versions, given their number.
func compareRates(c counts, odds float64) float64 {
	if c.newAll == 0 || c.oldAll == 0 {
		return 0
	}
	null := tolerance * c.newAll / (tolerance*c.newAll + c.oldAll)
	other := tolerance * odds * c.newAll / (tolerance*odds*c.newAll + c.oldAll)
	return c.newBad*math.Log(other/null) + c.oldBad*math.Log((1-other)/(1-null))
}

// compareFloor is the logarithm of the Poisson likelihood ratio of the new
// version's bad answers against a fixed rate.
func compareFloor(c counts, floor, odds float64) float64 {
	rate := min(maxRate, floor*tolerance*odds)
	return c.newBad*math.Log(rate/floor) - c.newAll*(rate-floor)
}

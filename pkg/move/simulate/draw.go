package simulate

import (
	"math"
	"math/rand/v2"
)

const (
	// maxBernoulliTrials is the largest number of trials drawn one by one.
	maxBernoulliTrials = 16
	// minNormalMean is the mean from which the normal approximation is used.
	minNormalMean = 30
)

// binomial draws the number of successes in n trials of probability p. Large n uses
// the Poisson or the normal approximation.
func binomial(r *rand.Rand, n int, p float64) int {
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	case n <= maxBernoulliTrials:
		return binomialByTrials(r, n, p)
	}
	mean := float64(n) * p
	if mean < minNormalMean {
		return min(n, poisson(r, mean))
	}
	deviation := math.Sqrt(mean * (1 - p))
	return min(n, max(0, int(math.Round(mean+deviation*r.NormFloat64()))))
}

func binomialByTrials(r *rand.Rand, n int, p float64) int {
	hits := 0
	for range n {
		if r.Float64() < p {
			hits++
		}
	}
	return hits
}

// poisson draws by multiplying uniform numbers (Knuth's algorithm), or from the
// normal approximation for a large mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean >= minNormalMean {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), r.Float64(), 0
	for product > limit {
		product *= r.Float64()
		n++
	}
	return n
}

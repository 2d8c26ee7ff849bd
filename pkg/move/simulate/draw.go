package simulate

import (
	"math"
	"math/rand/v2"
)

const (
	// bernoulliBelow is the size up to which trials are drawn one by one.
	bernoulliBelow = 16
	// normalAbove is the mean from which on the normal distribution serves.
	normalAbove = 30
)

// binomial draws the number of hits among n trials of probability p.
func binomial(r *rand.Rand, n int, p float64) int {
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	case n <= bernoulliBelow:
		return bernoulli(r, n, p)
	}
	mean := float64(n) * p
	if mean < normalAbove {
		return min(n, poisson(r, mean))
	}
	deviation := math.Sqrt(mean * (1 - p))
	return min(n, max(0, int(math.Round(mean+deviation*r.NormFloat64()))))
}

func bernoulli(r *rand.Rand, n int, p float64) int {
	hits := 0
	for range n {
		if r.Float64() < p {
			hits++
		}
	}
	return hits
}

// poisson draws by the product of uniform numbers, or by the normal
// distribution for a large mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean >= normalAbove {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), r.Float64(), 0
	for product > limit {
		product *= r.Float64()
		n++
	}
	return n
}

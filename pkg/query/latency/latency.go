// Package latency estimates the mean latency of a target and the latency
// distribution of a leaf. Both estimates decay old samples.
package latency

import (
	"math"
	"time"
)

const (
	// riseWeight is the weight of a sample above the mean. It is larger than
	// fallWeight, so that the mean quickly follows a target that slows down.
	riseWeight = 0.3
	fallWeight = 0.1
	// idleHalfLife is the half-life of the difference to the expected latency
	// while no samples arrive, so that a target that was slow is tried again.
	idleHalfLife = 10 * time.Second
)

// Mean is a peak-sensitive exponentially weighted moving average. The zero Mean
// has no samples.
type Mean struct {
	value time.Duration
	at    time.Duration
}

// HasSample reports whether any sample was added.
func (m *Mean) HasSample() bool { return m.value > 0 }

// Add adds a sample that ended at now.
func (m *Mean) Add(sample, now time.Duration) {
	if m.value == 0 {
		m.value, m.at = max(sample, 1), now
		return
	}
	weight := fallWeight
	if sample > m.value {
		weight = riseWeight
	}
	m.value = max(1, m.value+time.Duration(weight*float64(sample-m.value)))
	m.at = now
}

// AddLowerBound adds an attempt that was abandoned after elapsed, which is a
// lower bound of its latency.
func (m *Mean) AddLowerBound(elapsed, now time.Duration) {
	if elapsed > m.value {
		m.Add(elapsed, now)
	}
}

// Value returns the mean at now. expected is the latency assumed without samples, such
// as the usual latency of the leaf; a mean above it decays towards it while no samples
// arrive.
func (m *Mean) Value(now, expected time.Duration) time.Duration {
	if m.value == 0 {
		return expected
	}
	idle := now - m.at
	if idle <= 0 || expected <= 0 || m.value <= expected {
		return m.value
	}
	keep := math.Exp2(-float64(idle) / float64(idleHalfLife))
	return expected + time.Duration(keep*float64(m.value-expected))
}

const (
	// bucketsPerDoubling is how many buckets a doubling of the latency spans:
	// 2^(1/8) is a bucket width of 9%.
	bucketsPerDoubling = 8
	firstBucket        = 64 * time.Microsecond
	bucketCount        = 160
	// samplesPerHalving is the number of samples between two halvings of the counts.
	samplesPerHalving = 256
)

// Histogram counts latencies in exponential buckets. Its counts are halved
// every samplesPerHalving samples, so that the last few hundred samples dominate.
type Histogram struct {
	counts [bucketCount]uint32
	total  uint32
	added  uint32
}

// Add adds a sample.
func (h *Histogram) Add(sample time.Duration) {
	h.counts[bucketOf(sample)]++
	h.total++
	h.added++
	if h.added >= samplesPerHalving {
		h.halve()
	}
}

func (h *Histogram) halve() {
	h.added, h.total = 0, 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// Count returns the number of samples left after decay.
func (h *Histogram) Count() int { return int(h.total) }

// Quantile returns an upper bound of the q-quantile, or 0 without samples.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	want := uint32(math.Ceil(q * float64(h.total)))
	var seen uint32
	for i, n := range h.counts {
		seen += n
		if seen >= want && seen > 0 {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := int(bucketsPerDoubling * math.Log2(float64(d)/float64(firstBucket)))
	return min(i+1, bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// Package retry bounds the extra requests that a service gets from the fleet:
// hedges and repeats beyond the first request to each shard. The bound holds in
// any window of fixed length, as a share of the requests plus a constant, which
// the instances divide among themselves. It holds while the rate of requests
// does not change manifold within a window: then the requests that an instance
// has counted may lie in two windows, and each allows its share alone.
package retry

import (
	"time"

	"radishturn.example/radishturn/pkg/ring"
)

// windowBuckets divide the window. One more is kept, so that a bucket that is partly
// out of the window still counts.
const windowBuckets = 10

// Bound is the allowance of the whole fleet.
type Bound struct {
	Window time.Duration
	// Ratio is the share of extra requests, from 0 to 1.
	Ratio float64
	// Slack is the constant part, in requests per window.
	Slack float64
}

// Share returns one instance's part of the bound. Safety below 1 leaves room
// for windows that do not align and for restarts.
func (b Bound) Share(instances int, safety float64) Bound {
	return Bound{Window: b.Window, Ratio: b.Ratio * safety, Slack: b.Slack * safety / float64(max(1, instances))}
}

// Budget counts the requests of one service. It is not safe for concurrent use.
type Budget struct {
	first, extra [windowBuckets + 1]int
	// newest is the number of the newest bucket since the origin of time.
	newest int64
}

// RecordRequest counts the first request to a service.
func (b *Budget) RecordRequest(now time.Duration, bound Bound) {
	b.advance(now, bound)
	b.first[b.newest%(windowBuckets+1)]++
}

// Take counts an extra request if the bound allows it.
func (b *Budget) Take(now time.Duration, bound Bound) bool {
	if b.Remaining(now, bound) < 1 {
		return false
	}
	b.extra[b.newest%(windowBuckets+1)]++
	return true
}

// Remaining returns how many extra requests the bound allows now.
func (b *Budget) Remaining(now time.Duration, bound Bound) float64 {
	b.advance(now, bound)
	first, extra := 0, 0
	for i := range b.first {
		first += b.first[i]
		extra += b.extra[i]
	}
	// The oldest bucket may be out of the window: it counts as extra but not as
	// a request that allows some.
	first -= b.first[(b.newest+1)%(windowBuckets+1)]
	return bound.Ratio*float64(first) + bound.Slack - float64(extra)
}

func (b *Budget) advance(now time.Duration, bound Bound) {
	current := int64(now / (bound.Window / windowBuckets))
	ring.Advance(&b.newest, current, windowBuckets+1, func(slot int64) { b.first[slot], b.extra[slot] = 0, 0 })
}

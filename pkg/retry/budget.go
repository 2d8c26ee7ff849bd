// Package retry implements a retry budget. It bounds the extra requests that a
// service gets from the fleet: hedges and retries beyond the first request to
// each shard. The bound applies to any window of fixed length. It is a share of
// the requests plus a constant, which the instances divide among themselves. It
// holds as long as the request rate does not change by a large factor within a
// window. Each instance checks the bound for the window that ends at the moment of
// the extra request. A window of the fleet may therefore contain extra requests that
// were allowed by first requests before that window. If the rate changes, the extra
// requests of one window may reach the share of the requests of that window and of
// the previous one together.
//
// The budget is used by pkg/dispatch; pkg/fanout limits the extra requests of a
// collection with hedge.Budget.
package retry

import (
	"time"

	"radishturn.example/radishturn/pkg/ring"
)

// windowBuckets is the number of buckets that a window is divided into. One more
// is kept, so that a bucket that is partly outside the window still counts.
const windowBuckets = 10

// Bound is the maximum of extra requests in a window, of the fleet or of one
// instance.
type Bound struct {
	Window time.Duration
	// Ratio is the ratio of extra requests to first requests, from 0 to 1.
	Ratio float64
	// Slack is the constant part, in extra requests per window.
	Slack float64
}

// ForInstance returns one instance's part of a fleet-wide bound. Ratio applies to
// the instance's own requests, so only Slack is divided. A safety factor below 1
// leaves a margin for windows that are not aligned and for restarts.
func (b Bound) ForInstance(instances int, safety float64) Bound {
	return Bound{Window: b.Window, Ratio: b.Ratio * safety, Slack: b.Slack * safety / float64(max(1, instances))}
}

// Budget counts the requests of one service. It is not safe for concurrent use.
type Budget struct {
	first, extra [windowBuckets + 1]int
	// newest is the number of the newest bucket, counted from time 0.
	newest int64
}

// RecordRequest counts a first request, as opposed to an extra one.
func (b *Budget) RecordRequest(now time.Duration, bound Bound) {
	b.advance(now, bound)
	b.first[b.newest%(windowBuckets+1)]++
}

// Take reports whether the bound allows an extra request, and counts it if so.
func (b *Budget) Take(now time.Duration, bound Bound) bool {
	if b.Remaining(now, bound) < 1 {
		return false
	}
	b.extra[b.newest%(windowBuckets+1)]++
	return true
}

// Remaining returns how many more extra requests the bound allows now.
func (b *Budget) Remaining(now time.Duration, bound Bound) float64 {
	b.advance(now, bound)
	first, extra := 0, 0
	for i := range b.first {
		first += b.first[i]
		extra += b.extra[i]
	}
	// The oldest bucket may be partly outside the window. Its extra requests
	// count, but its first requests do not add to the allowance.
	first -= b.first[(b.newest+1)%(windowBuckets+1)]
	return bound.Ratio*float64(first) + bound.Slack - float64(extra)
}

func (b *Budget) advance(now time.Duration, bound Bound) {
	current := int64(now / (bound.Window / windowBuckets))
	ring.Advance(&b.newest, current, windowBuckets+1, func(slot int64) { b.first[slot], b.extra[slot] = 0, 0 })
}

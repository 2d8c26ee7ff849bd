// Package retry bounds the extra requests that a service gets from the fleet:
// hedges and repeats beyond the first request to each shard. The bound holds in
// any window of fixed length, as a share of the requests plus a constant, which
// the instances divide among themselves. It holds while the rate of requests
// does not change manifold within a window: then the requests that an instance
// has counted may lie in two windows, and each allows its share alone.
package retry

import (
	"hash/fnv"
	"math"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// buckets divide the window. One more is kept, so that a bucket that is partly
// out of the window still counts.
const buckets = 10

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
	first, extra [buckets + 1]int
	// newest is the number of the newest bucket since the origin of time.
	newest int64
}

// Note counts the first request to a service.
func (b *Budget) Note(now time.Duration, bound Bound) {
	b.advance(now, bound)
	b.first[b.newest%(buckets+1)]++
}

// Take counts an extra request if the bound allows it.
func (b *Budget) Take(now time.Duration, bound Bound) bool {
	if b.Left(now, bound) < 1 {
		return false
	}
	b.extra[b.newest%(buckets+1)]++
	return true
}

// Left returns how many extra requests the bound allows now.
func (b *Budget) Left(now time.Duration, bound Bound) float64 {
	b.advance(now, bound)
	first, extra := 0, 0
	for i := range b.first {
		first += b.first[i]
		extra += b.extra[i]
	}
	// The oldest bucket may be out of the window: it counts as extra but not as
	// a request that allows some.
	first -= b.first[(b.newest+1)%(buckets+1)]
	return bound.Ratio*float64(first) + bound.Slack - float64(extra)
}

// extras returns the extra requests in the window; advance comes before.
func (b *Budget) extras() int {
	n := 0
	for _, e := range b.extra {
		n += e
	}
	return n
}

// Window returns the requests in the window.
func (b *Budget) Window(now time.Duration, bound Bound) (first, extra int) {
	b.advance(now, bound)
	for _, n := range b.first {
		first += n
	}
	return first, b.extras()
}

// Member is one instance's place in the fleet.
type Member struct {
	Fleet     Bound
	Instances int
	// Ordinal differs between instances. Where there are more of them than free
	// extra requests in a bucket, it says whose turn it is.
	Ordinal uint64
}

// TakeShared counts an extra request if the instance may use one. A part of its
// own share it may use at once, whatever the others do. Beyond that it draws on
// what they leave, at a rate that all instances together can keep up until the
// leader hears of it, as long as the service is not tight. Reserve is a part of
// the own share that is not to be used.
func (b *Budget) TakeShared(now time.Duration, m Member, service model.ServiceID, a *Allowance, reserve float64) bool {
	own := m.Fleet.Share(m.Instances, safety*ownShare)
	if b.takeAbove(now, own, reserve*own.Slack) {
		return true
	}
	if a == nil || !a.Free || a.IsTight(service) {
		return false
	}
	return b.takeFree(now, m, service)
}

func (b *Budget) takeFree(now time.Duration, m Member, service model.ServiceID) bool {
	b.advance(now, m.Fleet)
	bucket, before := &b.extra[b.newest%(buckets+1)], b.extra[(b.newest+buckets)%(buckets+1)]
	perBucket := freeShare * m.Fleet.Slack / float64(max(1, m.Instances))
	if perBucket < 1 {
		// Instances take turns, each service with another order.
		turns := uint64(math.Ceil(1 / max(perBucket, minPerBucket)))
		if (uint64(b.newest)+m.Ordinal+serviceHash(service))%turns != 0 {
			return false
		}
	}
	// What the bucket before left over may be used as well.
	if float64(*bucket+min(before, int(perBucket)))+1 > max(1, 2*perBucket) {
		return false
	}
	*bucket++
	return true
}

// minPerBucket keeps the turns finite in very large fleets.
const minPerBucket = 0.001

func serviceHash(s model.ServiceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// safety leaves room for windows that do not align and for restarts.
const safety = 0.85

func (b *Budget) takeAbove(now time.Duration, bound Bound, reserve float64) bool {
	return b.Left(now, bound) >= 1+reserve && b.Take(now, bound)
}

func (b *Budget) advance(now time.Duration, bound Bound) {
	current := int64(now / (bound.Window / buckets))
	for steps := 0; b.newest < current; steps++ {
		if steps > buckets {
			b.newest = current
			return
		}
		b.newest++
		b.first[b.newest%(buckets+1)], b.extra[b.newest%(buckets+1)] = 0, 0
	}
}

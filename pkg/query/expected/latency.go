package expected

import "time"

const (
	// initialDelay is the assumed round trip to another availability zone before any
	// reply from there; maxDelay bounds what is learned.
	initialDelay = 4 * time.Millisecond
	maxDelay     = 20 * time.Millisecond
	// maxDelayStep bounds the difference that one reply counts for, and minDelayWeight is
	// its least weight, so that replies delayed by pauses and queues hardly count.
	maxDelayStep   = 2 * time.Millisecond
	minDelayWeight = 1.0 / 64
)

// Delay is the round trip to an availability zone, beyond the one within the own zone. It
// is learned from replies. Its zero value knows nothing.
type Delay struct {
	// offset is the difference to initialDelay.
	offset time.Duration
	count  int
}

// Record adds a reply that arrived after latency, of which the work explains a part.
func (d *Delay) Record(latency, explained time.Duration) {
	d.count++
	step := min(maxDelayStep, max(-maxDelayStep, latency-explained-d.Value()))
	d.offset += time.Duration(max(minDelayWeight, 1/float64(d.count+1)) * float64(step))
	d.offset = min(maxDelay, max(0, d.Value())) - initialDelay
}

// Value returns the learned delay.
func (d *Delay) Value() time.Duration { return initialDelay + d.offset }

// Request is what a request to a target consists of, apart from the target's own state.
type Request struct {
	// Work is how long the request takes at the usual pace, and Delay the round trip to
	// the target's availability zone.
	Work, Delay time.Duration
}

// Usual returns how long the request takes at a usual target without a queue.
func (r Request) Usual() time.Duration { return r.Work + r.Delay }

// Completion returns how long the request takes at a target whose work, including its
// queue, takes slowness times as long as usual, beside connect for a new connection.
func (r Request) Completion(slowness float64, connect time.Duration) time.Duration {
	return time.Duration(slowness*float64(r.Work)) + r.Delay + connect
}

// Ratio returns a latency as a multiple of the usual one at pace 1, without the delay.
func (r Request) Ratio(latency time.Duration) float64 {
	return float64(max(0, latency-r.Delay)) / float64(max(r.Work, time.Microsecond))
}

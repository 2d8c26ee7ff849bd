// Package ring advances ring buffers of time buckets: a fixed number of slots,
// each of which is reused when its bucket's time has passed.
package ring

// Advance advances the newest bucket to current and clears the slots of the
// buckets that become part of the ring. newest and current are bucket numbers:
// time divided by the width of a bucket. Bucket n is in slot n modulo size.
func Advance(newest *int64, current, size int64, clear func(slot int64)) {
	for n := max(*newest+1, current-size+1); n <= current; n++ {
		clear(n % size)
	}
	*newest = max(*newest, current)
}

// Package ring moves counts on that are kept in buckets of time: a fixed number
// of buckets, of which each is used again when its time has passed.
package ring

// Advance moves the newest bucket on to current, and clears the slots of those
// that it comes to. Buckets are numbered since the origin of time; bucket n has
// the slot n modulo size.
func Advance(newest *int64, current, size int64, clear func(slot int64)) {
	for n := max(*newest+1, current-size+1); n <= current; n++ {
		clear(n % size)
	}
	*newest = max(*newest, current)
}

// Package boottime measures time that goes on while the machine is suspended.
// The monotonic clock of the runtime stands still then, so a lease that is
// measured with it would seem to hold long after the others gave it up.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a function that gives the time since Clock was called. Where
// the system has no such clock, it counts on the monotonic clock instead.
func Clock() func() time.Duration {
	origin, ok := now()
	if !ok {
		start := time.Now()
		return func() time.Duration { return time.Since(start) }
	}
	return func() time.Duration {
		t, _ := now()
		return t - origin
	}
}

func now() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

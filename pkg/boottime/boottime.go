// Package boottime measures time including the time in which the machine is
// suspended. The monotonic clock of the Go runtime stops during suspension, so a
// lease timed with it would seem valid long after other instances consider it
// expired.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a function that returns the time since Clock was called. If the
// system has no CLOCK_BOOTTIME, it falls back to the monotonic clock.
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

// processStart is the origin of Now if the system has no CLOCK_BOOTTIME.
var processStart = time.Now()

// Now returns the time since the machine was started. If the system has no
// CLOCK_BOOTTIME, it returns the time since the process was started.
func Now() time.Duration {
	if t, ok := now(); ok {
		return t
	}
	return time.Since(processStart)
}

func now() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

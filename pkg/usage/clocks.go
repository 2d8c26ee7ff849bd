package usage

import (
	"time"

	"radishturn.example/radishturn/pkg/boottime"
)

// Clocks are the clocks of a machine.
type Clocks struct {
	// Boot is the boot-time clock, which counts the time in which the machine is
	// suspended and never jumps.
	Boot func() time.Duration
	// Wall returns the time of the wall clock since the start of 1970.
	Wall func() time.Duration
}

// SystemClocks returns the clocks of this machine.
func SystemClocks() Clocks {
	return Clocks{Boot: boottime.Now, Wall: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
}

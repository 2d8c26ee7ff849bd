package membudget

import "runtime/debug"

const (
	bytesPerMB = 1 << 20
	// messagesDivisor is the part of the process's memory that is for messages of others.
	messagesDivisor = 4
	// runtimeShare is the share of the process's memory beyond which memory that is no
	// longer used is collected and returned at once. The rest is for the code and for
	// what is allocated meanwhile.
	runtimeShare = 0.6
)

// ForProcess returns the budget of a process that may use memoryMB MiB, or nil, which is
// without limit, if its memory is not stated.
func ForProcess(memoryMB int) *Budget {
	if memoryMB <= 0 {
		return nil
	}
	return New(int64(memoryMB) * bytesPerMB / messagesDivisor)
}

// LimitRuntime makes the runtime collect memory before the process uses more than memoryMB
// MiB. It does nothing if the memory is not stated.
func LimitRuntime(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memoryMB) * bytesPerMB))
	}
}

package dispatch

import (
	"radishturn.example/radishturn/pkg/failure"
)

// recheck returns why the call may no longer run, or nil.
func (c *Call) recheck() *failure.Error {
	if c.Recheck == nil {
		return nil
	}
	return c.Recheck()
}

// recheckUnsent returns why the query may no longer run, or nil; also nil if a target
// may have run a part of it.
func (q *query) recheckUnsent() *failure.Error {
	if q.mayHaveRun() {
		return nil
	}
	return q.call.recheck()
}

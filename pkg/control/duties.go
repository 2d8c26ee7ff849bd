package control

import (
	"time"

	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/usage"
)

// UsageCall is a call to the platform that reports one window. Its content is fixed: each
// call on the window, by whichever instance, has the same.
type UsageCall struct {
	// Claim is the right by which this instance makes the call.
	Claim duty.Claim
	// Holder is the name under which the platform knows this instance.
	Holder string
	Window usage.Window
	// Counts are sorted by caller.
	Counts []usage.Count
}

// CallAnswer is the answer to a call to the platform.
type CallAnswer struct {
	Answer duty.Answer
	// RetryAfter is the delay that the platform asked for, 0 if it named none.
	RetryAfter time.Duration
	// Detail is the status or the error.
	Detail string
}

// Duties is the interface for the module that makes the calls of duties. Its methods do
// not wait for the platform; RecordAnswer and MayCall do not wait for the log either.
type Duties interface {
	// NextUsageCall returns the call to make now, or false if there is none.
	NextUsageCall() (UsageCall, bool)
	// MayCall returns an error unless this instance has the right to make the call at
	// this moment. It is to be asked immediately before the first byte is sent.
	MayCall(c UsageCall) error
	// RecordAnswer records the answer to a call that was made.
	RecordAnswer(c UsageCall, a CallAnswer)
}

// Package failure defines the errors that reach callers and operators. Each
// carries the step and the peer at which it occurred, and whether the request is
// known to have run.
package failure

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether a request is known to have taken effect: on a target, or in
// the replicated state.
type Ran string

const (
	// NotRun is used only if it is certain that the request did not take effect; no
	// target ran it.
	NotRun Ran = "not-run"
	// DidRun is used if a target has confirmed that it ran the request.
	DidRun Ran = "ran"
	// Unknown is used if the request may have been sent and no reply proves whether
	// it ran. An order in this state is not sent again.
	Unknown Ran = "unknown"
)

// Code identifies a kind of failure. It is part of the caller and admin APIs; the
// data-folder codes occur only at start and in events.
type Code string

// Codes of the caller and admin APIs.
const (
	BadRequest         Code = "bad-request"
	TooLarge           Code = "too-large"
	UnknownCollection  Code = "unknown-collection"
	UnknownLeaf        Code = "unknown-leaf"
	DeadlineExceeded   Code = "deadline-exceeded"
	Overloaded         Code = "overloaded"
	CallerLimit        Code = "caller-limit"
	Quarantined        Code = "quarantined"
	NoSnapshot         Code = "no-snapshot"
	CoverageTooLow     Code = "coverage-too-low"
	LeaseExpired       Code = "lease-expired"
	Draining           Code = "draining"
	NoQuorum           Code = "no-quorum"
	NotLeader          Code = "not-leader"
	Conflict           Code = "conflict"
	KeyReused          Code = "key-reused"
	Unauthorized       Code = "unauthorized"
	NotFound           Code = "not-found"
	TargetFailed       Code = "target-failed"
	TargetShed         Code = "target-shed"
	NotHeld            Code = "not-held"
	NoTarget           Code = "no-target"
	MismatchedReply    Code = "mismatched-reply"
	PeerUnreachable    Code = "peer-unreachable"
	OutcomeUnknown     Code = "outcome-unknown"
	Internal           Code = "internal"
	DataFolderDamaged  Code = "data-folder-damaged"
	DataFolderReadOnly Code = "data-folder-read-only"
	DataFolderFull     Code = "data-folder-full"
	DataFolderOccupied Code = "data-folder-occupied"
)

// Error is a failure at a known step.
type Error struct {
	Code Code
	// Step is the operation that failed, such as "claim" or "query leaf".
	Step string
	// Peer is the remote side, an instance, a target or an address, or a file or
	// folder; empty if none.
	Peer string
	// Ran is treated as Unknown if empty.
	Ran Ran
	// RetryAfter is how long the caller should wait; 0 means not stated.
	RetryAfter time.Duration
	// Err is the cause and may be nil.
	Err error
}

// New returns an Error with a formatted cause. The format accepts %w.
func New(code Code, ran Ran, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}

// Error returns "step peer: code: cause".
func (e *Error) Error() string {
	where := e.Step
	if e.Peer != "" {
		where += " " + e.Peer
	}
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", where, e.Code)
	}
	return fmt.Sprintf("%s: %s: %v", where, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the first Error in the chain of err, or Internal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// RanOf returns Ran of the first Error in the chain of err. An error of another
// type proves nothing, so the result is Unknown.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) && e.Ran != "" {
		return e.Ran
	}
	return Unknown
}

// PeerOf returns the peer of the first Error in the chain of err, or "".
func PeerOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Peer
	}
	return ""
}

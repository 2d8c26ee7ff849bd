// Package eject implements outlier ejection: it decides when a target that keeps
// failing gets no more requests, and when it is tried again.
package eject

import "time"

const (
	// failuresToEject is the number of consecutive failures that ejects a target.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection. It doubles with each
	// further ejection without a success in between, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 16 * time.Second
)

// State is the ejection state of one target. The zero State is not ejected.
type State struct {
	failures     int
	duration     time.Duration
	ejectedUntil time.Duration
	// awaitingSuccess is set from an ejection until the next success, also after
	// the ejection has expired.
	awaitingSuccess bool
}

// RecordFailure counts a failed attempt and reports whether it causes the first
// ejection since the last success. After that ejection has expired, a single failure
// ejects the target again.
func (s *State) RecordFailure(now time.Duration) bool {
	s.failures++
	if s.awaitingSuccess && now < s.ejectedUntil {
		return false
	}
	if !s.awaitingSuccess && s.failures < failuresToEject {
		return false
	}
	s.duration = min(max(2*s.duration, baseEjection), maxEjection)
	s.ejectedUntil = now + s.duration
	first := !s.awaitingSuccess
	s.awaitingSuccess = true
	return first
}

// RecordSuccess resets the state after a successful answer and reports whether
// that readmits the target.
func (s *State) RecordSuccess() bool {
	readmitted := s.awaitingSuccess
	*s = State{}
	return readmitted
}

// Ejected reports whether the target may get no request. After the ejection has
// expired, the target gets one request at a time until one succeeds.
func (s *State) Ejected(inFlight int, now time.Duration) bool {
	if !s.awaitingSuccess {
		return false
	}
	return now < s.ejectedUntil || inFlight > 0
}

// OnProbation reports whether the target has been ejected and has not answered
// successfully since. This includes the time while it is ejected.
func (s *State) OnProbation() bool { return s.awaitingSuccess }

// Package eject decides when a target that keeps failing is left out, and when
// it is tried again.
package eject

import "time"

const (
	// failuresToEject is how many failures in a row eject a target.
	failuresToEject = 3
	// baseEjection is how long the first ejection lasts; each one that follows
	// without a success lasts twice as long, up to longestEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 16 * time.Second
)

// State is the record of one target. The zero State is not ejected.
type State struct {
	failures     int
	duration     time.Duration
	ejectedUntil time.Duration
	ejected      bool
}

// RecordFailure counts a failed attempt and reports whether the target is ejected by it.
func (s *State) RecordFailure(now time.Duration) bool {
	s.failures++
	if s.ejected && now < s.ejectedUntil {
		return false
	}
	if !s.ejected && s.failures < failuresToEject {
		return false
	}
	s.duration = min(max(2*s.duration, baseEjection), maxEjection)
	s.ejectedUntil = now + s.duration
	first := !s.ejected
	s.ejected = true
	return first
}

// RecordSuccess counts a good answer and reports whether it readmits the target.
func (s *State) RecordSuccess() bool {
	readmitted := s.ejected
	*s = State{}
	return readmitted
}

// Ejected reports whether the target is left out. Once the ejection has lasted
// its time, one attempt at a time may try the target.
func (s *State) Ejected(inFlight int, now time.Duration) bool {
	if !s.ejected {
		return false
	}
	return now < s.ejectedUntil || inFlight > 0
}

// OnProbation reports whether the target's last attempts all failed.
func (s *State) OnProbation() bool { return s.ejected }

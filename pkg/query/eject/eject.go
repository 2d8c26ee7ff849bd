// Package eject decides when a target that keeps failing is left out, and when
// it is tried again.
package eject

import "time"

const (
	// failuresToEject is how many failures in a row eject a target.
	failuresToEject = 3
	// firstEjection is how long the first ejection lasts; each one that follows
	// without a success lasts twice as long, up to longestEjection.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 16 * time.Second
)

// State is the record of one target. The zero State is not ejected.
type State struct {
	failures int
	length   time.Duration
	until    time.Duration
	ejected  bool
}

// Failed counts a failed attempt and reports whether the target is ejected by it.
func (s *State) Failed(now time.Duration) bool {
	s.failures++
	if s.ejected && now < s.until {
		return false
	}
	if !s.ejected && s.failures < failuresToEject {
		return false
	}
	s.length = min(max(2*s.length, firstEjection), longestEjection)
	s.until = now + s.length
	first := !s.ejected
	s.ejected = true
	return first
}

// Succeeded counts a good answer and reports whether it readmits the target.
func (s *State) Succeeded() bool {
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
	return now < s.until || inFlight > 0
}

// Probation reports whether the target's last attempts all failed.
func (s *State) Probation() bool { return s.ejected }

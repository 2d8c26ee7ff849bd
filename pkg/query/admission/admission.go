// Package admission decides whether an instance accepts one more query. A refused
// query has not run, so refusing early is cheap for all parties.
package admission

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// interval is the time between adaptations of the limit.
	interval = 100 * time.Millisecond
	// maxAcceptableWait is the maximum acceptable wait for a target's capacity.
	maxAcceptableWait = 5 * time.Millisecond
	// decreaseFactor multiplies the limit while every query waits too long.
	decreaseFactor = 0.85
	// increaseFactor multiplies the limit while it is utilized and not every
	// query waits too long.
	increaseFactor = 1.05
	// minUtilization is the share of the limit that has to be in use before the
	// limit is raised, unless queries were refused.
	minUtilization = 0.5
	// minLimit keeps the instance serving under any overload.
	minLimit = 4
	// priorityStep is the share of the limit that each priority leaves to the
	// next higher one.
	priorityStep = 0.15
	// minPriorityShare is the minimum share of the limit for any priority.
	minPriorityShare = 0.25
	// busyShare is the utilization of the limit from which callers are limited to
	// a fair share.
	busyShare = 0.5
	// singleCallerShare bounds the share of a caller that is alone on the
	// instance, so that the next caller is admitted at once.
	singleCallerShare = 0.8
)

// Decision states whether a query is admitted.
type Decision int

// Values of Decision.
const (
	// Admitted queries count as in flight until Done.
	Admitted Decision = iota
	// Full means that the limit, or the share of it that the query's priority may
	// use, is reached.
	Full
	// OverFairShare means that the caller would exceed its fair share of a busy
	// instance.
	OverFairShare
)

// State is the admission state of one instance.
type State struct {
	limit    float64
	max      int
	inFlight int
	byCaller map[model.CallerID]int

	intervalEnd  time.Duration
	minWait      time.Duration
	finished     int
	peakInFlight int
	refused      bool
}

// New returns a State that admits at most max queries at a time.
func New(max int) *State {
	return &State{limit: float64(max), max: max, byCaller: make(map[model.CallerID]int)}
}

// InFlight returns the number of queries in progress.
func (s *State) InFlight() int { return s.inFlight }

// Limit returns the current limit for the highest priority.
func (s *State) Limit() int { return int(s.limit) }

// Admit decides whether to admit a query. Priority 0 is the highest.
func (s *State) Admit(caller model.CallerID, priority int) Decision {
	decision := s.decide(caller, priority)
	if decision != Admitted {
		s.refused = true
		return decision
	}
	s.inFlight++
	s.byCaller[caller]++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	return Admitted
}

func (s *State) decide(caller model.CallerID, priority int) Decision {
	share := max(minPriorityShare, 1-priorityStep*float64(priority))
	if float64(s.inFlight+1) > max(1, s.limit*share) {
		return Full
	}
	if float64(s.byCaller[caller]+1) > s.callerLimit(caller) {
		return OverFairShare
	}
	return Admitted
}

// callerLimit returns how many queries the caller may have in flight.
func (s *State) callerLimit(caller model.CallerID) float64 {
	if float64(s.inFlight) < busyShare*s.limit {
		return s.limit
	}
	callers := len(s.byCaller)
	if s.byCaller[caller] == 0 {
		callers++
	}
	if callers == 1 {
		return max(1, singleCallerShare*s.limit)
	}
	return max(1, s.limit/float64(callers))
}

// Done ends an admitted query. waited is the longest time that any of its leaf
// requests waited for a target's capacity.
func (s *State) Done(caller model.CallerID, waited, now time.Duration) {
	s.inFlight--
	if s.byCaller[caller]--; s.byCaller[caller] <= 0 {
		delete(s.byCaller, caller)
	}
	if s.finished == 0 || waited < s.minWait {
		s.minWait = waited
	}
	s.finished++
	if now >= s.intervalEnd {
		s.adapt(now)
	}
}

// adapt decreases the limit if even the shortest wait of the interval exceeded
// maxAcceptableWait. Otherwise it increases the limit if queries were refused or
// at least minUtilization of it was in use. It then begins the next interval.
func (s *State) adapt(now time.Duration) {
	switch {
	case s.minWait > maxAcceptableWait:
		s.limit = max(min(minLimit, float64(s.max)), s.limit*decreaseFactor)
	case s.refused || float64(s.peakInFlight) >= minUtilization*s.limit:
		s.limit = min(float64(s.max), s.limit*increaseFactor+1)
	}
	s.intervalEnd = now + interval
	s.finished, s.peakInFlight, s.refused = 0, s.inFlight, false
}

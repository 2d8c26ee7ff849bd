// Package poison decides how a request is treated that was in flight at a
// target when it died. Such a request is suspect: it runs again only alone on a
// target, and a death there condemns it here, before control has confirmed it.
package poison

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// DeathsToCondemn is how many deaths a request may cause.
const DeathsToCondemn = 2

const (
	// trialsOfAnswered is how many deaths alone condemn a request that targets
	// have answered lately.
	trialsOfAnswered = 2
	// suspicionLasts is how long an unproven suspicion is kept.
	suspicionLasts = 10 * time.Minute
	// maxSuspects bounds the memory of suspects; the oldest is dropped first.
	maxSuspects = 4096
)

// Standing is how a request is treated.
type Standing int

// Standings.
const (
	// Clear requests are treated as any other.
	Clear Standing = iota
	// Suspect requests run on one leaf alone before they run on the others.
	Suspect
	// Condemned requests are refused.
	Condemned
)

type record struct {
	deaths int
	// trials counts the deaths that it met alone.
	trials int
	at     time.Duration
	// trial is set while one run tries the request alone.
	trial bool
}

// State remembers suspects.
type State struct {
	records map[model.Fingerprint]record
}

// New returns a State without suspects.
func New() *State { return &State{records: make(map[model.Fingerprint]record)} }

// Standing returns how a request is treated at now.
func (s *State) Standing(f model.Fingerprint, now time.Duration) Standing {
	r, ok := s.records[f]
	switch {
	case !ok || now-r.at >= suspicionLasts:
		return Clear
	case r.deaths >= DeathsToCondemn:
		return Condemned
	}
	return Suspect
}

// Died counts a death with the requests that were in flight. A request that
// ran alone caused the death, so it is counted as the cause; of several
// requests each stays a suspect, however often it was near. See DiedOnTrial
// for requests that the leaf has answered lately.
func (s *State) Died(inFlight []model.Fingerprint, alone bool, now time.Duration) {
	for _, f := range inFlight {
		r, known := s.records[f]
		if !known && len(s.records) >= maxSuspects {
			s.dropOldest()
		}
		r.deaths = max(r.deaths, 1)
		if alone && known {
			r.deaths = DeathsToCondemn
		}
		r.at = now
		s.records[f] = r
	}
}

// DiedOnTrial counts a death that a request met alone and reports whether it
// condemned the request. One that targets have answered lately, and that may
// have met the death of another instance's request, is condemned by its second.
func (s *State) DiedOnTrial(f model.Fingerprint, answeredLately bool, now time.Duration) bool {
	r, known := s.records[f]
	r.trials++
	if known {
		s.records[f] = r
	}
	guilty := known && (!answeredLately || r.trials >= trialsOfAnswered)
	s.Died([]model.Fingerprint{f}, guilty, now)
	return guilty
}

// BeginTrial reports whether a suspect may be tried alone now. Only one trial
// runs at a time, so that a request cannot cause two more deaths at once.
func (s *State) BeginTrial(f model.Fingerprint, now time.Duration) bool {
	r := s.records[f]
	if s.Standing(f, now) != Suspect || r.trial {
		return false
	}
	r.trial = true
	s.records[f] = r
	return true
}

// EndTrial ends a trial that proved nothing, such as one that was refused.
func (s *State) EndTrial(f model.Fingerprint) {
	if r, ok := s.records[f]; ok {
		r.trial = false
		s.records[f] = r
	}
}

// Survived clears a request that ran alone without a death.
func (s *State) Survived(f model.Fingerprint) { delete(s.records, f) }

// Expire drops suspicions that were not confirmed in time.
func (s *State) Expire(now time.Duration) {
	for f, r := range s.records {
		if now-r.at >= suspicionLasts {
			delete(s.records, f)
		}
	}
}

// Len returns the number of suspects.
func (s *State) Len() int { return len(s.records) }

func (s *State) dropOldest() {
	var oldest model.Fingerprint
	first := true
	for f, r := range s.records {
		if first || r.at < s.records[oldest].at {
			oldest, first = f, false
		}
	}
	delete(s.records, oldest)
}

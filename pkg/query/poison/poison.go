// Package poison decides how a request is treated that was in flight at a
// target when it died. Such a request is suspect: it runs again only alone on a
// target, and a death there condemns it here, before control has confirmed it.
package poison

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// CrashesToQuarantine is how many deaths a request may cause.
const CrashesToQuarantine = 2

const (
	// knownGoodTrialCrashes is how many deaths alone condemn a request that targets
	// have answered lately.
	knownGoodTrialCrashes = 2
	// suspicionTTL is how long an unproven suspicion is kept.
	suspicionTTL = 10 * time.Minute
	// maxSuspects bounds the memory of suspects; the oldest is dropped first.
	maxSuspects = 4096
)

// Status is how a request is treated.
type Status int

// Standings.
const (
	// Clear requests are treated as any other.
	Clear Status = iota
	// Suspect requests run on one leaf alone before they run on the others.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

type record struct {
	crashes int
	// trialCrashes counts the deaths that it met alone.
	trialCrashes int
	lastCrash    time.Duration
	// onTrial is set while one run tries the request alone.
	onTrial bool
}

// State remembers suspects.
type State struct {
	records map[model.Fingerprint]record
}

// New returns a State without suspects.
func New() *State { return &State{records: make(map[model.Fingerprint]record)} }

// Status returns how a request is treated at now.
func (s *State) Status(f model.Fingerprint, now time.Duration) Status {
	r, ok := s.records[f]
	switch {
	case !ok || now-r.lastCrash >= suspicionTTL:
		return Clear
	case r.crashes >= CrashesToQuarantine:
		return Quarantined
	}
	return Suspect
}

// RecordCrash counts a death with the requests that were in flight. A request that
// ran alone caused the death, so it is counted as the cause; of several
// requests each stays a suspect, however often it was near. See DiedOnTrial
// for requests that the leaf has answered lately.
func (s *State) RecordCrash(inFlight []model.Fingerprint, alone bool, now time.Duration) {
	for _, f := range inFlight {
		r, known := s.records[f]
		if !known && len(s.records) >= maxSuspects {
			s.dropOldest()
		}
		r.crashes = max(r.crashes, 1)
		if alone && known {
			r.crashes = CrashesToQuarantine
		}
		r.lastCrash = now
		s.records[f] = r
	}
}

// RecordTrialCrash counts a death that a request met alone and reports whether it
// condemned the request. One that targets have answered lately, and that may
// have met the death of another instance's request, is condemned by its second.
func (s *State) RecordTrialCrash(f model.Fingerprint, answeredLately bool, now time.Duration) bool {
	r, known := s.records[f]
	r.trialCrashes++
	if known {
		s.records[f] = r
	}
	guilty := known && (!answeredLately || r.trialCrashes >= knownGoodTrialCrashes)
	s.RecordCrash([]model.Fingerprint{f}, guilty, now)
	return guilty
}

// BeginTrial reports whether a suspect may be tried alone now. Only one trial
// runs at a time, so that a request cannot cause two more deaths at once.
func (s *State) BeginTrial(f model.Fingerprint, now time.Duration) bool {
	r := s.records[f]
	if s.Status(f, now) != Suspect || r.onTrial {
		return false
	}
	r.onTrial = true
	s.records[f] = r
	return true
}

// EndTrial ends a trial that proved nothing, such as one that was refused.
func (s *State) EndTrial(f model.Fingerprint) {
	if r, ok := s.records[f]; ok {
		r.onTrial = false
		s.records[f] = r
	}
}

// RecordTrialSuccess clears a request that ran alone without a death.
func (s *State) RecordTrialSuccess(f model.Fingerprint) { delete(s.records, f) }

// Expire drops suspicions that were not confirmed in time.
func (s *State) Expire(now time.Duration) {
	for f, r := range s.records {
		if now-r.lastCrash >= suspicionTTL {
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
		if first || r.lastCrash < s.records[oldest].lastCrash {
			oldest, first = f, false
		}
	}
	delete(s.records, oldest)
}

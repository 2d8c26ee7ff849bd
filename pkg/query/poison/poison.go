// Package poison detects poison requests, which crash the targets that run them. A
// request that was in flight at a target when the target crashed is a suspect: it is
// retried only in isolation, as the only request at a target. If that target crashes
// too, the request is quarantined on this instance, before the control group, the
// replicated instances that decide for the fleet, has confirmed the quarantine.
package poison

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// CrashesToQuarantine is the number of crashes that quarantines a request.
const CrashesToQuarantine = 2

const (
	// trialCrashesIfAnswered is the number of crashes in isolation that
	// quarantines a request that targets have answered recently.
	trialCrashesIfAnswered = 2
	// suspicionTTL is how long a suspicion or a local quarantine is kept after the
	// last crash.
	suspicionTTL = 10 * time.Minute
	// maxSuspects bounds the number of suspect and quarantined requests; the one
	// with the oldest crash is dropped first.
	maxSuspects = 4096
)

// Status determines how a request is treated.
type Status int

// Values of Status.
const (
	// Clear requests run without restrictions.
	Clear Status = iota
	// Suspect requests run in isolation on one leaf before they run on the others.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

type record struct {
	crashes int
	// trialCrashes counts the crashes during trials in isolation.
	trialCrashes int
	lastCrash    time.Duration
	// onTrial is set while the request runs in isolation.
	onTrial bool
}

// State holds the suspect and quarantined requests of one instance.
type State struct {
	records map[model.Fingerprint]record
}

// New returns a State without suspects.
func New() *State { return &State{records: make(map[model.Fingerprint]record)} }

// Status returns the status of a request at now.
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

// RecordCrash records a crash for the requests that were in flight. quarantine is set
// if a suspect that ran alone is taken as the cause; it is then quarantined. quarantine
// may be set only if inFlight has one request: of several requests, each is only a
// suspect, however many crashes it was involved in. See RecordTrialCrash for requests
// that targets have answered recently.
func (s *State) RecordCrash(inFlight []model.Fingerprint, quarantine bool, now time.Duration) {
	for _, f := range inFlight {
		r, known := s.records[f]
		if !known && len(s.records) >= maxSuspects {
			s.dropOldest()
		}
		r.crashes = max(r.crashes, 1)
		if quarantine && known {
			r.crashes = CrashesToQuarantine
		}
		r.lastCrash = now
		s.records[f] = r
	}
}

// RecordTrialCrash records a crash during a trial and reports whether it
// quarantines the request. A request that targets have answered recently
// (answeredRecently) is quarantined only by its second such crash, because another
// instance's request may have caused the first.
func (s *State) RecordTrialCrash(f model.Fingerprint, answeredRecently bool, now time.Duration) bool {
	r, known := s.records[f]
	r.trialCrashes++
	if known {
		s.records[f] = r
	}
	quarantine := known && (!answeredRecently || r.trialCrashes >= trialCrashesIfAnswered)
	s.RecordCrash([]model.Fingerprint{f}, quarantine, now)
	return quarantine
}

// BeginTrial starts a trial in isolation and reports whether it may run now. Each
// suspect has only one trial at a time, so that a request cannot cause two more
// crashes at once.
func (s *State) BeginTrial(f model.Fingerprint, now time.Duration) bool {
	r := s.records[f]
	if s.Status(f, now) != Suspect || r.onTrial {
		return false
	}
	r.onTrial = true
	s.records[f] = r
	return true
}

// EndTrial ends a trial, so that the request can get another one if it is still a
// suspect, such as after a trial that was refused. It has no effect once the request
// was cleared.
func (s *State) EndTrial(f model.Fingerprint) {
	if r, ok := s.records[f]; ok {
		r.onTrial = false
		s.records[f] = r
	}
}

// RecordTrialSuccess clears a request that was answered in isolation.
func (s *State) RecordTrialSuccess(f model.Fingerprint) { delete(s.records, f) }

// Expire drops the suspect and quarantined requests whose last crash is older than
// suspicionTTL.
func (s *State) Expire(now time.Duration) {
	for f, r := range s.records {
		if now-r.lastCrash >= suspicionTTL {
			delete(s.records, f)
		}
	}
}

// Len returns the number of suspect and quarantined requests.
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

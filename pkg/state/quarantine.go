package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
)

// The limits of the control group; see pkg/query/poison for the check of one instance.
const (
	// quarantineAfterCrashes is the number of distinct crashes after which a
	// fingerprint is quarantined, if at one of them it was on trial: the only
	// request at the target.
	quarantineAfterCrashes = 2
	// quarantineAfterUnanswered is the number of distinct crashes after which a
	// fingerprint is quarantined without a trial, if no target has answered it.
	// minUnansweredSpread is the minimum time between the first and the last of the
	// crashes: when targets fail together, the requests in flight need not be the
	// cause.
	quarantineAfterUnanswered = 3
	minUnansweredSpread       = time.Second
	// unansweredQuarantine is the duration of a quarantine without a trial. It
	// ends by itself, since the fingerprint was never observed in isolation.
	unansweredQuarantine = 10 * time.Minute
	// suspicionWindow is how long a crash counts, on the group clock. A further
	// crash extends it.
	suspicionWindow = 10 * time.Minute
	// MaxSuspects limits the number of suspects.
	MaxSuspects = 4096
	// MaxQuarantined limits the number of quarantined fingerprints.
	MaxQuarantined = 4096
	// maxSuspectsPerCrash limits the suspects counted for one crash.
	maxSuspectsPerCrash = 512
	// maxCrashesPerSuspect limits the crashes recorded for one suspect.
	maxCrashesPerSuspect = 16
)

// suspect is a fingerprint that was in flight at a target that crashed.
type suspect struct {
	// Crashes are the distinct target incarnations that crashed.
	Crashes []incarnation `cbor:"1,keyasint"`
	// HadTrial is set if it was the only request at the target at one of the crashes.
	HadTrial bool `cbor:"2,keyasint"`
	// Expires is a time on the group clock.
	Expires time.Duration `cbor:"3,keyasint"`
	// Unanswered is the number of crashes whose reporters know of no target that
	// has answered the fingerprint. FirstCrashAt is when the first crash was
	// recorded, on the group clock.
	Unanswered   int           `cbor:"4,keyasint,omitempty"`
	FirstCrashAt time.Duration `cbor:"5,keyasint,omitempty"`
}

type incarnation struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Boot   model.BootID   `cbor:"2,keyasint"`
}

// recordCrashes counts the crashes for each suspect. It quarantines a suspect after
// two distinct crashes, if at one of them it was on trial: the only request at the
// target. When a rack or an availability zone fails, the requests in flight are
// involved in many crashes at once, and a popular request is the only suspect of
// many of them; the trial distinguishes a harmful request from those. Without a
// trial, a request that no target has answered is quarantined after three crashes
// that are spread over time.
func (s *State) recordCrashes(index uint64, d *TargetCrashes) *Result {
	s.expireSuspects()
	s.expireQuarantines(index)
	s.expireLifted()
	result := &Result{}
	for _, crash := range d.Crashes {
		for _, f := range crash.Suspects[:min(len(crash.Suspects), maxSuspectsPerCrash)] {
			if s.recordCrash(f, crash, d.At) {
				s.recordChange(index, fingerprintKey(f))
				result.Quarantined = append(result.Quarantined, f)
			}
		}
	}
	return result
}

// recordCrash counts one crash and reports whether it led to a quarantine.
func (s *State) recordCrash(f model.Fingerprint, d TargetCrash, at time.Time) bool {
	crashed := incarnation{Target: d.Target, Boot: d.Boot}
	if _, ok := s.data.Quarantined[f]; ok {
		s.judge(f, crashed)
		return false
	}
	if s.alreadyLifted(f, crashed) {
		return false
	}
	entry := s.data.Suspects[f]
	if !slices.Contains(entry.Crashes, crashed) && len(entry.Crashes) < maxCrashesPerSuspect {
		if len(entry.Crashes) == 0 {
			entry.FirstCrashAt = s.data.Clock
		}
		entry.Crashes = append(slices.Clone(entry.Crashes), crashed)
		if d.NeverAnswered {
			entry.Unanswered++
		}
	}
	entry.HadTrial = entry.HadTrial || d.Trial
	entry.Expires = s.data.Clock + suspicionWindow
	until, quarantined := entry.quarantineDecision(s.data.Clock)
	if !quarantined || len(s.data.Quarantined) >= MaxQuarantined {
		s.data.Suspects[f] = entry
		s.limitSuspects()
		return false
	}
	delete(s.data.Suspects, f)
	s.judge(f, entry.Crashes...)
	s.data.Quarantined[f] = control.Quarantine{Fingerprint: f, Deaths: targetsOf(entry.Crashes), At: at, Until: until}
	return true
}

// quarantineDecision reports whether the crashes justify a quarantine, and until
// when on the group clock; 0 means until an operator lifts it.
func (s suspect) quarantineDecision(now time.Duration) (until time.Duration, quarantined bool) {
	switch {
	case len(s.Crashes) >= quarantineAfterCrashes && s.HadTrial:
		return 0, true
	case s.Unanswered >= quarantineAfterUnanswered && now-s.FirstCrashAt >= minUnansweredSpread:
		return now + unansweredQuarantine, true
	}
	return 0, false
}

// expireQuarantines ends the quarantines that have expired.
func (s *State) expireQuarantines(index uint64) {
	for _, f := range slices.Sorted(maps.Keys(s.data.Quarantined)) {
		if quarantineExpired(s.data.Quarantined[f], s.data.Clock) {
			s.keepLifted(f, s.data.Quarantined[f].Deaths)
			delete(s.data.Quarantined, f)
			s.recordChange(index, fingerprintKey(f))
		}
	}
}

func quarantineExpired(q control.Quarantine, now time.Duration) bool {
	return q.Until > 0 && q.Until <= now
}

// HasExpiredQuarantine reports whether a quarantine has expired at now on the group
// clock but is not removed yet. The next TargetCrashes command removes it, even an empty
// one.
func (s *State) HasExpiredQuarantine(now time.Duration) bool {
	for _, q := range s.data.Quarantined {
		if quarantineExpired(q, now) {
			return true
		}
	}
	return false
}

func targetsOf(crashed []incarnation) []model.TargetID {
	targets := make([]model.TargetID, len(crashed))
	for i, d := range crashed {
		targets[i] = d.Target
	}
	return targets
}

// limitSuspects drops the suspect that expires first if there are too many.
func (s *State) limitSuspects() {
	if len(s.data.Suspects) <= MaxSuspects {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.data.Suspects)), func(a, b model.Fingerprint) int {
		return cmp.Or(cmp.Compare(s.data.Suspects[a].Expires, s.data.Suspects[b].Expires), cmp.Compare(a, b))
	})
	delete(s.data.Suspects, oldest)
}

func (s *State) expireSuspects() {
	for f, entry := range s.data.Suspects {
		if entry.Expires <= s.data.Clock {
			delete(s.data.Suspects, f)
		}
	}
}

func (s *State) liftQuarantine(index uint64, l *LiftQuarantine) *Result {
	quarantine, ok := s.data.Quarantined[l.Fingerprint]
	if !ok {
		return &Result{Refusal: refuse(failure.NotFound, "fingerprint %016x is not quarantined", uint64(l.Fingerprint))}
	}
	if l.Began != 0 && l.Began != quarantine.At.Unix() {
		return &Result{Refusal: refuse(failure.Conflict, "fingerprint %016x was quarantined again at %s", uint64(l.Fingerprint), quarantine.At.UTC().Format(time.RFC3339))}
	}
	s.keepLifted(l.Fingerprint, quarantine.Deaths)
	delete(s.data.Quarantined, l.Fingerprint)
	s.recordChange(index, fingerprintKey(l.Fingerprint))
	return &Result{}
}

// Quarantined returns the quarantines sorted by fingerprint.
func (s *State) Quarantined() []control.Quarantine {
	list := make([]control.Quarantine, 0, len(s.data.Quarantined))
	for _, f := range slices.Sorted(maps.Keys(s.data.Quarantined)) {
		list = append(list, s.data.Quarantined[f])
	}
	return list
}

func fingerprintKey(f model.Fingerprint) itemKey {
	return itemKey{kind: itemQuarantine, name: fmt.Sprintf("%016x", uint64(f)), fingerprint: f}
}

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

const (
	// condemnAfter is the number of distinct deaths that condemn a fingerprint
	// which had the target alone at one of them.
	condemnAfter = 2
	// condemnUnanswered is that number for a fingerprint without a trial that no
	// target has answered, and unansweredSpread the least time between the first
	// and the last: targets that fail together take requests with them.
	condemnUnanswered = 3
	unansweredSpread  = time.Second
	// unansweredQuarantine is how long such a fingerprint is refused. Nobody has
	// seen it alone, so it gets another chance.
	unansweredQuarantine = 10 * time.Minute
	// suspicionWindow is how long one death counts, on the clock of the group.
	suspicionWindow = 10 * time.Minute
	// MaxSuspects bounds the fingerprints with a single death.
	MaxSuspects = 4096
	// MaxQuarantined bounds the condemned fingerprints.
	MaxQuarantined = 4096
	// maxSuspectsOfDeath bounds the suspects of one death that are counted.
	maxSuspectsOfDeath = 512
	// maxDeathsOfSuspect bounds the deaths kept for one suspect.
	maxDeathsOfSuspect = 16
)

// suspect is a fingerprint that was in flight at a target that died.
type suspect struct {
	// Deaths are the distinct incarnations that died.
	Deaths []incarnation `cbor:"1,keyasint"`
	// Tried is set if it had the target alone at one of the deaths.
	Tried bool `cbor:"2,keyasint"`
	// Expires is on the clock of the group.
	Expires time.Duration `cbor:"3,keyasint"`
	// Unanswered are those of the deaths whose reporters know of no target that
	// has answered the fingerprint, and Since is when the first was recorded.
	Unanswered int           `cbor:"4,keyasint,omitempty"`
	Since      time.Duration `cbor:"5,keyasint,omitempty"`
}

type incarnation struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Boot   model.BootID   `cbor:"2,keyasint"`
}

// recordDeaths counts the deaths for each suspect and condemns those with two
// distinct deaths, in one of which it had the target alone on trial. When a
// rack or an availability zone fails, the requests in flight see many deaths
// together, and a popular request is the only suspect of many of them; the trial
// is what tells a harmful request from those. Without trials, one that no target
// has answered is condemned by three deaths that did not come together.
func (s *State) recordDeaths(index uint64, d *Deaths) *Result {
	s.expireSuspects()
	s.expireQuarantines(index)
	result := &Result{}
	for _, death := range d.Deaths {
		for _, f := range death.Suspects[:min(len(death.Suspects), maxSuspectsOfDeath)] {
			if s.suspectDied(f, death, d.At) {
				s.changed(index, fingerprintKey(f))
				result.Quarantined = append(result.Quarantined, f)
			}
		}
	}
	return result
}

// suspectDied counts one death and reports whether it condemned the fingerprint.
func (s *State) suspectDied(f model.Fingerprint, d Death, at time.Time) bool {
	if _, ok := s.data.Quarantined[f]; ok {
		return false
	}
	entry := s.data.Suspects[f]
	died := incarnation{Target: d.Target, Boot: d.Boot}
	if !slices.Contains(entry.Deaths, died) && len(entry.Deaths) < maxDeathsOfSuspect {
		if len(entry.Deaths) == 0 {
			entry.Since = s.data.Clock
		}
		entry.Deaths = append(slices.Clone(entry.Deaths), died)
		if d.NeverAnswered {
			entry.Unanswered++
		}
	}
	entry.Tried = entry.Tried || d.Trial
	entry.Expires = s.data.Clock + suspicionWindow
	until, condemned := entry.sentence(s.data.Clock)
	if !condemned || len(s.data.Quarantined) >= MaxQuarantined {
		s.data.Suspects[f] = entry
		s.boundSuspects()
		return false
	}
	delete(s.data.Suspects, f)
	s.data.Quarantined[f] = control.Quarantine{Fingerprint: f, Deaths: targetsOf(entry.Deaths), At: at, Until: until}
	return true
}

// sentence reports whether the deaths condemn the fingerprint, and until when on
// the clock of the group; 0 means until an operator lifts it.
func (s suspect) sentence(now time.Duration) (until time.Duration, condemned bool) {
	switch {
	case len(s.Deaths) >= condemnAfter && s.Tried:
		return 0, true
	case s.Unanswered >= condemnUnanswered && now-s.Since >= unansweredSpread:
		return now + unansweredQuarantine, true
	}
	return 0, false
}

// expireQuarantines ends those whose time is over.
func (s *State) expireQuarantines(index uint64) {
	for _, f := range slices.Sorted(maps.Keys(s.data.Quarantined)) {
		if overdue(s.data.Quarantined[f], s.data.Clock) {
			delete(s.data.Quarantined, f)
			s.changed(index, fingerprintKey(f))
		}
	}
}

func overdue(q control.Quarantine, now time.Duration) bool {
	return q.Until > 0 && q.Until <= now
}

// HasExpiredQuarantine reports whether a quarantine should have ended at now on the
// clock of the group. The next command on deaths ends it, an empty one as well.
func (s *State) HasExpiredQuarantine(now time.Duration) bool {
	for _, q := range s.data.Quarantined {
		if overdue(q, now) {
			return true
		}
	}
	return false
}

func targetsOf(deaths []incarnation) []model.TargetID {
	targets := make([]model.TargetID, len(deaths))
	for i, d := range deaths {
		targets[i] = d.Target
	}
	return targets
}

// boundSuspects drops the suspect that expires first once there are too many.
func (s *State) boundSuspects() {
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

func (s *State) lift(index uint64, l *LiftQuarantine) *Result {
	if _, ok := s.data.Quarantined[l.Fingerprint]; !ok {
		return &Result{Refusal: refuse(failure.NotFound, "fingerprint %016x is not quarantined", uint64(l.Fingerprint))}
	}
	delete(s.data.Quarantined, l.Fingerprint)
	s.changed(index, fingerprintKey(l.Fingerprint))
	return &Result{}
}

// Quarantined returns the condemned fingerprints in order.
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

package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// maxLifted limits the fingerprints whose lifted crashes are kept.
	maxLifted = 4096
	// maxLiftedCrashes limits the crashes kept for one fingerprint; the oldest are
	// dropped first.
	maxLiftedCrashes = 64
)

// judgedCrashes are the crashes that count for a quarantine, or counted for one that an
// operator lifted. Instances report a crash until a reply arrives, and each instance that
// saw it reports it, so that the same crash can be reported after the lift.
type judgedCrashes struct {
	// Crashes are the distinct target incarnations. An incarnation without a boot ID
	// stands for any of its target: earlier builds recorded only the targets.
	Crashes []incarnation `cbor:"1,keyasint"`
	// Expires is a time on the group clock, 0 while the quarantine lasts.
	Expires time.Duration `cbor:"2,keyasint,omitempty"`
}

func (j judgedCrashes) contains(crashed incarnation) bool {
	return slices.ContainsFunc(j.Crashes, func(i incarnation) bool {
		return i.Target == crashed.Target && (i.Boot == crashed.Boot || i.Boot == "")
	})
}

// judge adds crashes that count for the quarantine of a fingerprint.
func (s *State) judge(f model.Fingerprint, crashes ...incarnation) {
	entry := s.data.Judged[f]
	next := slices.Clone(entry.Crashes)
	for _, c := range crashes {
		if !entry.contains(c) {
			next = append(next, c)
		}
	}
	if len(next) > maxLiftedCrashes {
		next = next[len(next)-maxLiftedCrashes:]
	}
	if s.data.Judged == nil {
		s.data.Judged = make(map[model.Fingerprint]judgedCrashes)
	}
	s.data.Judged[f] = judgedCrashes{Crashes: next}
}

// keepLifted keeps the crashes of a quarantine that ends, so that the same crashes do not
// begin another one.
func (s *State) keepLifted(f model.Fingerprint, targets []model.TargetID) {
	entry, ok := s.data.Judged[f]
	if !ok {
		for _, t := range targets {
			s.judge(f, incarnation{Target: t})
		}
		entry = s.data.Judged[f]
	}
	entry.Expires = s.data.Clock + suspicionWindow
	s.data.Judged[f] = entry
	s.limitLifted()
}

// alreadyLifted reports whether a crash counted for a quarantine that has ended.
func (s *State) alreadyLifted(f model.Fingerprint, crashed incarnation) bool {
	entry := s.data.Judged[f]
	return entry.Expires > s.data.Clock && entry.contains(crashed)
}

// expireLifted forgets the crashes of quarantines that ended long ago.
func (s *State) expireLifted() {
	maps.DeleteFunc(s.data.Judged, func(_ model.Fingerprint, j judgedCrashes) bool {
		return j.Expires != 0 && j.Expires <= s.data.Clock
	})
}

// limitLifted drops the entry that expires first if too many quarantines have ended.
func (s *State) limitLifted() {
	var ended []model.Fingerprint
	for f, j := range s.data.Judged {
		if j.Expires != 0 {
			ended = append(ended, f)
		}
	}
	if len(ended) <= maxLifted {
		return
	}
	delete(s.data.Judged, slices.MinFunc(ended, func(a, b model.Fingerprint) int {
		return cmp.Or(cmp.Compare(s.data.Judged[a].Expires, s.data.Judged[b].Expires), cmp.Compare(a, b))
	}))
}

// Package warmth decides whether a target counts as cold. A target is cold
// until its answers to requests show otherwise.
package warmth

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// warmStreak is how many good answers in a row show that a target is warm.
	warmStreak = 16
	// warmStatedStreak is enough if the target states in each that it is warm.
	warmStatedStreak = 4
	// warmFactor bounds the latency of a good answer by the leaf's usual one.
	warmFactor = 3
	// coldFactor is how many times the usual latency a warm target's mean has to
	// reach to count as a sign of cold, and coldStreak for how many answers.
	coldFactor = 8
	coldStreak = 4
)

// Change says what an event did to the state.
type Change int

// Changes.
const (
	// Unchanged means that the target counts as before.
	Unchanged Change = iota
	// TurnedCold means that the target showed a sign of being cold.
	TurnedCold
	// TurnedWarm means that the target has shown that it is warm.
	TurnedWarm
)

// State is what is known of one target. The zero State is cold.
type State struct {
	warm   bool
	boot   model.BootID
	streak int
	stated int
	slow   int
}

// Warm reports whether the target may take its full load.
func (s *State) Warm() bool { return s.warm }

// Boot returns the incarnation that answered last.
func (s *State) Boot() model.BootID { return s.boot }

// Answer is a good answer of the target.
type Answer struct {
	Boot    model.BootID
	State   targetproto.State
	Latency time.Duration
	// Usual is the median latency of the leaf's warm targets; 0 if not known.
	Usual time.Duration
}

// Answered takes in a good answer.
func (s *State) Answered(a Answer) Change {
	if a.Boot != s.boot {
		return s.newBoot(a.Boot)
	}
	if a.State == targetproto.StateCold {
		return s.clamp()
	}
	if s.warm {
		return s.watch(a)
	}
	return s.count(a)
}

// newBoot takes in the first answer of an incarnation.
func (s *State) newBoot(boot model.BootID) Change {
	change := s.clamp()
	s.boot = boot
	return change
}

// Lost takes in a lost connection, which may mean a restart. One good answer
// of the same incarnation is enough to show that a warm target still is.
func (s *State) Lost() Change {
	change := s.clamp()
	if change == TurnedCold {
		s.streak = warmStreak - 1
	}
	return change
}

// Hinted takes in a hint of the health endpoint. It can only clamp: a hint
// that the target is warm proves nothing.
func (s *State) Hinted(boot model.BootID, stated targetproto.State) Change {
	if boot != "" && s.boot != "" && boot != s.boot {
		return s.newBoot(boot)
	}
	if stated == targetproto.StateCold && s.boot != "" && boot == s.boot && !s.warm {
		return s.clamp()
	}
	return Unchanged
}

func (s *State) clamp() Change {
	was := s.warm
	s.warm, s.streak, s.stated, s.slow = false, 0, 0, 0
	if was {
		return TurnedCold
	}
	return Unchanged
}

// watch looks for a warm target that turns cold without a restart.
func (s *State) watch(a Answer) Change {
	if a.Usual == 0 || a.State == targetproto.StateWarm || a.Latency < coldFactor*a.Usual {
		s.slow = 0
		return Unchanged
	}
	s.slow++
	if s.slow < coldStreak {
		return Unchanged
	}
	return s.clamp()
}

// count looks for enough good answers of a cold target.
func (s *State) count(a Answer) Change {
	if a.Usual > 0 && a.Latency > warmFactor*a.Usual {
		s.streak, s.stated = 0, 0
		return Unchanged
	}
	s.streak++
	s.stated++
	if a.State != targetproto.StateWarm {
		s.stated = 0
	}
	if s.streak < warmStreak && s.stated < warmStatedStreak {
		return Unchanged
	}
	s.warm = true
	return TurnedWarm
}

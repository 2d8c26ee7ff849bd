// Package warmth decides whether a target counts as cold. A target is cold
// until its answers to requests show otherwise.
package warmth

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// loadStreak is how many good answers in a row show that a target bears
	// its present load.
	loadStreak = 16
	// statedWarmStreak is enough if the target states in each that it is warm; it
	// then counts as warm.
	statedWarmStreak = 4
	// maxGoodLatencyFactor bounds the latency of a good answer by the leaf's usual one.
	maxGoodLatencyFactor = 3
	// coldLatencyFactor is how many times the usual latency the answers of a target
	// take that turned cold without a restart, and coldStreak how many do.
	coldLatencyFactor = 8
	coldStreak        = 4
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
	// SustainedLoad means that a cold target bears its present load.
	SustainedLoad
	// Suspended means that the target may have restarted, and counts as cold
	// until it answers.
	Suspended
	// Resumed means that a suspended target has not restarted.
	Resumed
)

// State is what is known of one target. The zero State is cold.
type State struct {
	warm       bool
	suspended  bool
	boot       model.BootID
	streak     int
	statedWarm int
	slow       int
}

// Warm reports whether the target may take its full load.
func (s *State) Warm() bool { return s.warm && !s.suspended }

// Suspended reports whether the target may have restarted since its last answer.
func (s *State) Suspended() bool { return s.suspended }

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

// RecordAnswer takes in a good answer.
func (s *State) RecordAnswer(a Answer) Change {
	if a.Boot != s.boot {
		return s.recordBoot(a.Boot)
	}
	if a.State == targetproto.StateCold {
		return s.markCold()
	}
	if s.suspended {
		s.suspended = false
		return Resumed
	}
	if s.warm {
		return s.detectCold(a)
	}
	return s.detectWarm(a)
}

// recordBoot takes in the first answer of an incarnation. The first incarnation
// that is seen at all is no change, since unknown targets count as cold.
func (s *State) recordBoot(boot model.BootID) Change {
	known := s.boot != ""
	*s = State{boot: boot}
	if known {
		return TurnedCold
	}
	return Unchanged
}

func (s *State) markCold() Change {
	wasWarm := s.warm
	*s = State{boot: s.boot}
	if wasWarm {
		return TurnedCold
	}
	return Unchanged
}

// RecordConnectionLoss takes in a lost connection, which may mean a restart.
func (s *State) RecordConnectionLoss() Change {
	if s.suspended {
		return Unchanged
	}
	s.suspended = true
	return Suspended
}

// ForceCold takes in that another instance has seen a sign of cold.
func (s *State) ForceCold() {
	*s = State{boot: s.boot, suspended: s.suspended}
}

// ApplyHint takes in a hint of the health endpoint. Only another incarnation
// counts: a hint that the target is warm or cold proves nothing.
func (s *State) ApplyHint(boot model.BootID) Change {
	if boot == "" || s.boot == "" || boot == s.boot {
		return Unchanged
	}
	return s.recordBoot(boot)
}

// detectCold looks for a warm target that turns cold without a restart.
func (s *State) detectCold(a Answer) Change {
	if a.Usual == 0 || a.State == targetproto.StateWarm || a.Latency < coldLatencyFactor*a.Usual {
		s.slow = 0
		return Unchanged
	}
	s.slow++
	if s.slow < coldStreak {
		return Unchanged
	}
	return s.markCold()
}

// detectWarm looks for enough good answers of a cold target.
func (s *State) detectWarm(a Answer) Change {
	if a.Usual > 0 && a.Latency > maxGoodLatencyFactor*a.Usual {
		s.streak, s.statedWarm = 0, 0
		return Unchanged
	}
	s.streak++
	s.statedWarm++
	if a.State != targetproto.StateWarm {
		s.statedWarm = 0
	}
	switch {
	case s.statedWarm >= statedWarmStreak:
		s.warm = true
		return TurnedWarm
	case s.streak >= loadStreak:
		s.streak = 0
		return SustainedLoad
	}
	return Unchanged
}

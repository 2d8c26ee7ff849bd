// Package warmth tracks whether a target has warmed up. A warm target can take its
// full load. A cold one is usually freshly started, and slower until its caches are
// filled. A target counts as cold until its answers to requests show otherwise.
package warmth

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// loadStreak is the number of consecutive good answers that shows that a
	// target sustains its current load.
	loadStreak = 16
	// statedWarmStreak is the number of consecutive good answers stating that the
	// target is warm after which it counts as warm.
	statedWarmStreak = 4
	// maxGoodLatencyFactor times the usual latency of the leaf is the maximum
	// latency of a good answer.
	maxGoodLatencyFactor = 3
	// coldLatencyFactor times the usual latency is the latency from which an
	// answer is a sign that a warm target turned cold without a restart.
	// coldStreak consecutive ones make it count as cold.
	coldLatencyFactor = 8
	coldStreak        = 4
)

// Change is the effect of an event on the state.
type Change int

// Values of Change.
const (
	// Unchanged means that the event had no effect on the target's status.
	Unchanged Change = iota
	// TurnedCold means that the target restarted or showed another sign of being
	// cold.
	TurnedCold
	// TurnedWarm means that the target now counts as warm.
	TurnedWarm
	// SustainedLoad means that a cold target sustains its current load.
	SustainedLoad
	// MayHaveRestarted means that the target may have restarted; it counts as cold
	// until it answers.
	MayHaveRestarted
	// NotRestarted means that the target answered and had not restarted.
	NotRestarted
)

// State is the warm-up state of one target. The zero State is cold.
type State struct {
	warm             bool
	mayHaveRestarted bool
	boot             model.BootID
	streak           int
	statedWarm       int
	slow             int
}

// Warm reports whether the target can take its full load.
func (s *State) Warm() bool { return s.warm && !s.mayHaveRestarted }

// MayHaveRestarted reports whether the target may have restarted since its last
// answer.
func (s *State) MayHaveRestarted() bool { return s.mayHaveRestarted }

// Boot returns the boot ID of the target's last known incarnation, or "" if none is
// known.
func (s *State) Boot() model.BootID { return s.boot }

// Answer is a successful answer of the target.
type Answer struct {
	Boot    model.BootID
	State   targetproto.State
	Latency time.Duration
	// Usual is the median latency of the leaf's warm targets, or 0 if unknown.
	Usual time.Duration
}

// RecordAnswer records a successful answer.
func (s *State) RecordAnswer(a Answer) Change {
	if a.Boot != s.boot {
		return s.recordBoot(a.Boot)
	}
	if a.State == targetproto.StateCold {
		return s.markCold()
	}
	if s.mayHaveRestarted {
		s.mayHaveRestarted = false
		return NotRestarted
	}
	if s.warm {
		return s.detectCold(a)
	}
	return s.detectWarm(a)
}

// recordBoot resets the state for a new incarnation. The first known incarnation
// of a target is no change, since unknown targets count as cold.
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

// RecordConnectionLoss records a lost connection, which may be due to a restart.
func (s *State) RecordConnectionLoss() Change {
	if s.mayHaveRestarted {
		return Unchanged
	}
	s.mayHaveRestarted = true
	return MayHaveRestarted
}

// ForceCold marks the target as cold because another instance has seen a sign
// that it is.
func (s *State) ForceCold() {
	*s = State{boot: s.boot, mayHaveRestarted: s.mayHaveRestarted}
}

// ApplyHealth updates the state from the health endpoint. It only detects a new
// incarnation: a statement there that the target is warm or cold proves nothing.
func (s *State) ApplyHealth(boot model.BootID) Change {
	if boot == "" || s.boot == "" || boot == s.boot {
		return Unchanged
	}
	return s.recordBoot(boot)
}

// detectCold detects a warm target that turns cold without a restart.
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

// detectWarm counts the consecutive good answers of a cold target.
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

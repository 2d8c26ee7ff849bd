// Package limit adapts how many requests at a time a target is sent, within
// the connections that are granted.
package limit

import "time"

const (
	// decreaseFactor shrinks the limit when the target sheds or slows down.
	decreaseFactor = 0.7
	// decreasePause is the shortest time between two decreases, so that the
	// requests already in flight count once.
	decreasePause = 100 * time.Millisecond
	// slowFactor is how many times its usual latency a target may take before
	// its limit shrinks.
	slowFactor = 4
	// initialBackoff is the pause after a target has shed; each one that follows
	// without an answer lasts twice as long, up to longestBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// State is the adaptive limit of one target. The zero State starts at one
// request at a time and has to be given a maximum.
type State struct {
	value        float64
	max          int
	decreasedAt  time.Duration
	decreased    bool
	backoff      time.Duration
	backoffUntil time.Duration
}

// SetMax sets the granted connections. A larger grant raises the limit at
// once, since only signs of overload keep it below the grant.
func (s *State) SetMax(connections int) {
	if connections > s.max {
		s.value += float64(connections - s.max)
	}
	s.max = connections
	s.value = min(max(s.value, 1), float64(max(connections, 1)))
}

// Max returns the granted connections.
func (s *State) Max() int { return s.max }

// Value returns how many requests at a time are allowed.
func (s *State) Value() int { return min(s.max, int(s.value)) }

// Allows reports whether one more request may be sent at now.
func (s *State) Allows(inFlight int, now time.Duration) bool {
	return inFlight < s.Value() && now >= s.backoffUntil
}

// Backoff returns how long the target still is left alone after it has shed.
func (s *State) Backoff(now time.Duration) time.Duration {
	return max(0, s.backoffUntil-now)
}

// RecordShed takes in a refusal of an overloaded target.
func (s *State) RecordShed(now time.Duration) {
	s.decrease(now)
	if now >= s.backoffUntil {
		s.backoff = min(max(2*s.backoff, initialBackoff), maxBackoff)
		s.backoffUntil = now + s.backoff
	}
}

// RecordAnswer takes in a good answer. inFlight counts the answered request; mean
// and usual are the latencies of the target and of its leaf.
func (s *State) RecordAnswer(inFlight int, mean, usual, now time.Duration) {
	s.backoff = 0
	if usual > 0 && mean > slowFactor*usual {
		s.decrease(now)
		return
	}
	if float64(inFlight) >= s.value-1 {
		s.value = min(float64(max(s.max, 1)), s.value+1/s.value)
	}
}

func (s *State) decrease(now time.Duration) {
	if s.decreased && now-s.decreasedAt < decreasePause {
		return
	}
	s.decreased, s.decreasedAt = true, now
	s.value = max(1, s.value*decreaseFactor)
}

// Package limit implements an adaptive concurrency limit for each target, within
// the number of granted connections. The usual latency of a leaf is the recent
// median latency of its warm targets, or 0 if it is unknown.
package limit

import "time"

const (
	// decreaseFactor multiplies the limit when the target sheds load or slows down.
	decreaseFactor = 0.7
	// decreasePause is the minimum time between two decreases, so that all
	// requests already in flight cause only one.
	decreasePause = 100 * time.Millisecond
	// slowFactor times the usual latency of the leaf is the mean latency above
	// which the limit is decreased.
	slowFactor = 4
	// initialBackoff is the pause after a target has shed load. It doubles with
	// each further pause without an answer in between, up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// State is the adaptive limit of one target. The zero State allows no requests
// until SetMax sets a maximum.
type State struct {
	value        float64
	max          int
	decreasedAt  time.Duration
	decreased    bool
	backoff      time.Duration
	backoffUntil time.Duration
}

// SetMax sets the number of granted connections. A larger grant raises the limit
// at once, because only signs of overload should keep it below the grant.
func (s *State) SetMax(connections int) {
	if connections > s.max {
		s.value += float64(connections - s.max)
	}
	s.max = connections
	s.value = min(max(s.value, 1), float64(max(connections, 1)))
}

// Max returns the number of granted connections.
func (s *State) Max() int { return s.max }

// Value returns the number of concurrent requests allowed.
func (s *State) Value() int { return min(s.max, int(s.value)) }

// Allows reports whether one more request may be sent at now.
func (s *State) Allows(inFlight int, now time.Duration) bool {
	return inFlight < s.Value() && now >= s.backoffUntil
}

// Backoff returns the remaining backoff after the target has shed load.
func (s *State) Backoff(now time.Duration) time.Duration {
	return max(0, s.backoffUntil-now)
}

// RecordShed records that the target refused a request because of overload.
func (s *State) RecordShed(now time.Duration) {
	s.decrease(now)
	if now >= s.backoffUntil {
		s.backoff = min(max(2*s.backoff, initialBackoff), maxBackoff)
		s.backoffUntil = now + s.backoff
	}
}

// RecordAnswer records a successful answer. inFlight includes the answered
// request; mean is the mean latency of the target, and usual the usual latency of
// its leaf.
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

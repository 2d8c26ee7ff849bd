package pool

import "time"

const (
	// firstOpenPause is how long no new connection is opened to a target that has reset
	// one. It doubles with each further reset, up to maxOpenPause. Targets release the
	// connections of instances that have ended within seconds, so a longer pause would
	// leave released connections unused.
	firstOpenPause = 200 * time.Millisecond
	maxOpenPause   = 1600 * time.Millisecond
	// openPauseJitter is the share of a pause that is random, so that the instances of
	// the fleet do not all try the same target at the same time.
	openPauseJitter = 0.5
	// maxExcusedResets is the number of consecutive resets after which a reset of a
	// connection that the target seemed to have accepted counts as a failure of the
	// target.
	maxExcusedResets = 3
)

// openLimiter decides when new connections to one target may be opened. It is a state
// machine without a clock, locks or I/O. The zero openLimiter imposes no limit.
//
// A target above its connection limit accepts a new connection and resets it. After a
// reset, new connections pause for a growing time; then one at a time is opened until
// one of them has carried a reply.
type openLimiter struct {
	// resets counts the consecutive resets, one for each pause.
	resets      int
	pausedUntil time.Time
	// trial is the number of connections that are being opened, or have not yet outlived
	// the time within which a reset is expected, since the last pause.
	trial int
}

// allows reports whether a new connection may be opened.
func (l *openLimiter) allows(now time.Time) bool {
	return l.resets == 0 || l.trial == 0 && !now.Before(l.pausedUntil)
}

// pauseLeft returns how long no new connection may be opened, at least; 0 if one may be
// opened now or as soon as the current trial ends.
func (l *openLimiter) pauseLeft(now time.Time) time.Duration {
	return max(0, l.pausedUntil.Sub(now))
}

// limited reports whether the target has reset a connection and has not replied on a new
// one since.
func (l *openLimiter) limited() bool { return l.resets > 0 }

// begin records that a connection is being opened.
func (l *openLimiter) begin() { l.trial++ }

// end records that a connection was accepted, or that opening it ended without a reset.
func (l *openLimiter) end() { l.trial = max(0, l.trial-1) }

// proven records that a new connection has carried a reply. It reports whether that ends
// the limit.
func (l *openLimiter) proven() bool {
	wasLimited := l.limited()
	l.resets, l.pausedUntil = 0, time.Time{}
	return wasLimited
}

// reset records that the target reset a connection that has carried no reply. random is
// from 0 to 1. It reports whether the limit begins with this reset.
func (l *openLimiter) reset(now time.Time, random float64) bool {
	if l.resets > 0 && now.Before(l.pausedUntil) {
		// The connection was opened before the pause began.
		return false
	}
	pause := min(firstOpenPause<<min(l.resets, 8), maxOpenPause)
	l.resets++
	l.pausedUntil = now.Add(time.Duration((1 - openPauseJitter + 2*openPauseJitter*random) * float64(pause)))
	return l.resets == 1
}

// excuses reports whether a reset of a connection that has carried no reply is explained
// by the target's connection limit. accepted is set if the connection had outlived the
// time within which a reset is expected.
func (l *openLimiter) excuses(accepted bool) bool { return !accepted || l.resets < maxExcusedResets }

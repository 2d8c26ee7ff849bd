package events

import "time"

// Intervals between the events about a condition that lasts.
const (
	firstRecurrence = time.Second
	maxRecurrence   = 10 * time.Second
)

// Recurrence spaces the events about a condition that lasts: the first is due a second
// after its begin, and further ones at intervals that double up to 10 s. The zero value
// is ready to use. It is not safe for concurrent use.
type Recurrence struct {
	lasts    bool
	since    time.Duration
	next     time.Duration
	interval time.Duration
}

// Due reports whether an event is due at now, if the condition still lasts.
func (r *Recurrence) Due(now time.Duration, lasts bool) bool {
	if !lasts {
		*r = Recurrence{}
		return false
	}
	if !r.lasts {
		*r = Recurrence{lasts: true, since: now, next: now + firstRecurrence, interval: firstRecurrence}
	}
	if now < r.next {
		return false
	}
	r.next = now + r.interval
	r.interval = min(2*r.interval, maxRecurrence)
	return true
}

// Lasted returns for how long the condition has lasted, 0 if it does not.
func (r *Recurrence) Lasted(now time.Duration) time.Duration {
	if !r.lasts {
		return 0
	}
	return now - r.since
}

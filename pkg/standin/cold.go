package standin

import (
	"sync/atomic"
	"time"
)

// signSpread is the time after a target's first sign of cold in which instances
// may not know it yet.
const signSpread = time.Second

// warmth is how far a target has come from cold start.
type warmth struct {
	settings Cold
	// remaining is the number of requests until the target is warm.
	remaining atomic.Int64
	// since is when the target turned cold, and longest its longest way to
	// warm, both as time.Duration; since counts from the target's origin.
	origin         time.Time
	since, longest atomic.Int64
	// sign is when the target first showed that it is cold, by a reply or by a
	// restart; 0 means not yet.
	sign atomic.Int64
}

func (w *warmth) turnCold() {
	w.since.Store(int64(time.Since(w.origin)))
	w.sign.Store(0)
	w.remaining.Store(int64(w.settings.Requests))
}

// reset returns to the state at start.
func (w *warmth) reset() {
	w.remaining.Store(0)
	w.longest.Store(0)
	if w.settings.AtStart {
		w.turnCold()
	}
}

func (w *warmth) isCold() bool { return w.remaining.Load() > 0 }

// served counts a request that the target has run.
func (w *warmth) served() {
	if w.remaining.Load() > 0 && w.remaining.Add(-1) == 0 {
		w.longest.Store(max(w.longest.Load(), int64(time.Since(w.origin))-w.since.Load()))
	}
}

// idealWarmUp is the shortest time in which a target can turn warm without
// bearing more than its cold load.
func (c *Collection) idealWarmUp() time.Duration {
	meanFactor := 1 + max(0, c.Cold.Factor-1)/2
	busy := float64(c.Cold.Requests) * meanFactor * float64(c.ServiceTime.Median)
	return time.Duration(busy / float64(c.Cold.Load))
}

// overloaded reports whether a cold target has more requests in progress than
// it bears.
func (w *warmth) overloaded(inFlight int64) bool {
	return w.isCold() && inFlight > int64(w.settings.Load)
}

// shown notes a sign that the target is cold.
func (w *warmth) shown() { w.sign.CompareAndSwap(0, int64(time.Since(w.origin))) }

// isKnownCold reports whether every instance should know by now.
func (w *warmth) isKnownCold() bool {
	sign := time.Duration(w.sign.Load())
	return sign > 0 && time.Since(w.origin) > sign+signSpread
}

// crashes reports whether a cold target falls over.
func (w *warmth) crashes(inFlight int64) bool {
	return w.isCold() && w.settings.CrashLoad > 0 && inFlight >= int64(w.settings.CrashLoad)
}

// serviceTime stretches the service time of a cold target: by the rest of its
// way to warm, and by the load above what it bears.
func (w *warmth) serviceTime(d time.Duration, inFlight int64) time.Duration {
	remaining := w.remaining.Load()
	if remaining <= 0 {
		return d
	}
	share := float64(remaining) / float64(w.settings.Requests)
	factor := 1 + max(0, w.settings.Factor-1)*share
	if excess := float64(inFlight) / float64(w.settings.Load); excess > 1 {
		factor *= excess
	}
	return time.Duration(float64(d) * factor)
}

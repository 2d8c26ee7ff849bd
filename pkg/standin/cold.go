package standin

import (
	"sync/atomic"
	"time"
)

// coldSignalDelay is the time after the first signal that a target is cold in
// which instances may not know it yet.
const coldSignalDelay = time.Second

// warmUp tracks the progress of a target from cold start to warm.
type warmUp struct {
	settings Cold
	// remaining is the number of requests to serve until the target is warm.
	remaining atomic.Int64
	// epoch is the time at which the target was created. coldSince is the time at
	// which it became cold, as a time.Duration since epoch. maxDuration is the
	// longest time that it took to warm up, as a time.Duration.
	epoch                  time.Time
	coldSince, maxDuration atomic.Int64
	// firstColdSignal is the time of the first reply or restart that signalled
	// that the target is cold, as a time.Duration since epoch; 0 means none yet.
	firstColdSignal atomic.Int64
}

func (w *warmUp) markCold() {
	w.coldSince.Store(int64(time.Since(w.epoch)))
	w.firstColdSignal.Store(0)
	w.remaining.Store(int64(w.settings.Requests))
}

// reset returns to the initial state.
func (w *warmUp) reset() {
	w.remaining.Store(0)
	w.maxDuration.Store(0)
	if w.settings.AtStart {
		w.markCold()
	}
}

func (w *warmUp) isCold() bool { return w.remaining.Load() > 0 }

// countServed counts a served request towards the end of the warm-up.
func (w *warmUp) countServed() {
	if w.remaining.Load() > 0 && w.remaining.Add(-1) == 0 {
		w.maxDuration.Store(max(w.maxDuration.Load(), int64(time.Since(w.epoch))-w.coldSince.Load()))
	}
}

// idealWarmUp returns the shortest time in which a target can warm up without
// exceeding its cold load.
func (c *Collection) idealWarmUp() time.Duration {
	meanFactor := 1 + max(0, c.Cold.Factor-1)/2
	totalServiceTime := float64(c.Cold.Requests) * meanFactor * float64(c.ServiceTime.Median)
	return time.Duration(totalServiceTime / float64(c.Cold.MaxLoad))
}

// isOverloaded reports whether the target is cold and has more requests in
// flight than its cold load.
func (w *warmUp) isOverloaded(coldInFlight int64) bool {
	return w.isCold() && coldInFlight > int64(w.settings.MaxLoad)
}

// recordColdSignal records the time of the first signal that the target is cold.
func (w *warmUp) recordColdSignal() { w.firstColdSignal.CompareAndSwap(0, int64(time.Since(w.epoch))) }

// isKnownCold reports whether every instance should know by now that the target
// is cold.
func (w *warmUp) isKnownCold() bool {
	signal := time.Duration(w.firstColdSignal.Load())
	return signal > 0 && time.Since(w.epoch) > signal+coldSignalDelay
}

// shouldCrash reports whether a cold target crashes under the load.
func (w *warmUp) shouldCrash(coldInFlight int64) bool {
	return w.isCold() && w.settings.CrashLoad > 0 && coldInFlight >= int64(w.settings.CrashLoad)
}

// scaleServiceTime lengthens the service time of a cold target, in proportion to
// the remaining warm-up and to the load above its cold load.
func (w *warmUp) scaleServiceTime(d time.Duration, coldInFlight int64) time.Duration {
	remaining := w.remaining.Load()
	if remaining <= 0 {
		return d
	}
	coldShare := float64(remaining) / float64(w.settings.Requests)
	factor := 1 + max(0, w.settings.Factor-1)*coldShare
	if overload := float64(coldInFlight) / float64(w.settings.MaxLoad); overload > 1 {
		factor *= overload
	}
	return time.Duration(float64(d) * factor)
}

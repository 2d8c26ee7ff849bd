package grant

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// minGrowthInterval is the minimum time between two increases of a target's cold load.
const minGrowthInterval = 500 * time.Millisecond

// WarmUp tracks the cold load that each target may receive. It starts at baseColdLoad,
// which the settings give for a collection, doubles on reports that the target sustains
// its load at full speed, and drops back at once when the target shows signs of being
// cold or has a new incarnation.
type WarmUp struct {
	targets map[model.TargetID]*targetWarmUp
}

type targetWarmUp struct {
	boot model.BootID
	// factor multiplies baseColdLoad.
	factor  int
	grownAt time.Duration
}

// maxFactor keeps the factor from overflowing; limits cap the load far below it.
const maxFactor = 1 << 20

// NewWarmUp returns a tracker for which every target is cold.
func NewWarmUp() *WarmUp { return &WarmUp{targets: make(map[model.TargetID]*targetWarmUp)} }

// RecordCold records that an incarnation is cold and reports whether the load changed.
func (w *WarmUp) RecordCold(now time.Duration, id model.TargetID, boot model.BootID) bool {
	t := w.targets[id]
	w.targets[id] = &targetWarmUp{boot: boot, factor: 1, grownAt: now}
	return t != nil && t.factor > 1
}

// RecordSustainedLoad records that a cold target sustained its load: this incarnation
// answered at full speed under its cold load. It reports whether the load changed.
func (w *WarmUp) RecordSustainedLoad(now time.Duration, id model.TargetID, boot model.BootID) bool {
	t := w.targets[id]
	if t == nil {
		t = &targetWarmUp{boot: boot, factor: 1, grownAt: now - minGrowthInterval}
		w.targets[id] = t
	}
	if t.boot != "" && t.boot != boot {
		return w.RecordCold(now, id, boot)
	}
	t.boot = boot
	if now < t.grownAt+minGrowthInterval || t.factor >= maxFactor {
		return false
	}
	t.factor *= 2
	t.grownAt = now
	return true
}

// AssumeHeld raises the load of a target to at least what instances already hold, and
// starts to track it, so that a new leader does not throttle warm targets.
func (w *WarmUp) AssumeHeld(now time.Duration, id model.TargetID, held, baseColdLoad int) {
	if held <= baseColdLoad {
		return
	}
	t := w.targets[id]
	if t == nil {
		t = &targetWarmUp{factor: 1, grownAt: now}
		w.targets[id] = t
	}
	for baseColdLoad > 0 && t.factor*baseColdLoad < held && t.factor < maxFactor {
		t.factor *= 2
	}
}

// IsTracked reports whether there is evidence about a target, or a load was assumed
// for it.
func (w *WarmUp) IsTracked(id model.TargetID) bool { return w.targets[id] != nil }

// ColdLoad returns the cold load that a target may receive now, at most limit.
func (w *WarmUp) ColdLoad(id model.TargetID, baseColdLoad, limit int) int {
	factor := 1
	if t := w.targets[id]; t != nil {
		factor = t.factor
	}
	return min(baseColdLoad*factor, limit)
}

// Retain removes the targets for which known is false.
func (w *WarmUp) Retain(known func(model.TargetID) bool) {
	for id := range w.targets {
		if !known(id) {
			delete(w.targets, id)
		}
	}
}

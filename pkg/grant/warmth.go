package grant

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// growInterval is the shortest time between two steps of a target's cold load.
const growInterval = 500 * time.Millisecond

// Warmth tracks how much cold load each target has earned by evidence. It
// starts at the collection's ColdLoad, doubles on reports of full speed, and
// falls back at once on a sign of being cold or on a new incarnation.
type Warmth struct {
	targets map[model.TargetID]*warmth
}

type warmth struct {
	boot model.BootID
	// factor multiplies the collection's ColdLoad.
	factor  int
	grownAt time.Duration
}

// maxFactor keeps the factor from overflowing; limits cap the load far below it.
const maxFactor = 1 << 20

// NewWarmth returns a tracker for which every target is cold.
func NewWarmth() *Warmth { return &Warmth{targets: make(map[model.TargetID]*warmth)} }

// Cold notes a sign that an incarnation is cold and reports whether the load changed.
func (w *Warmth) Cold(now time.Duration, id model.TargetID, boot model.BootID) bool {
	t := w.targets[id]
	w.targets[id] = &warmth{boot: boot, factor: 1, grownAt: now}
	return t != nil && t.factor > 1
}

// Warm notes that an incarnation answered at full speed under its cold load
// and reports whether the load changed.
func (w *Warmth) Warm(now time.Duration, id model.TargetID, boot model.BootID) bool {
	t := w.targets[id]
	if t == nil {
		t = &warmth{boot: boot, factor: 1, grownAt: now - growInterval}
		w.targets[id] = t
	}
	if t.boot != "" && t.boot != boot {
		return w.Cold(now, id, boot)
	}
	t.boot = boot
	if now < t.grownAt+growInterval || t.factor >= maxFactor {
		return false
	}
	t.factor *= 2
	t.grownAt = now
	return true
}

// Assume raises the load of a target to at least what instances hold already,
// so that a new leader does not cool warm targets down.
func (w *Warmth) Assume(now time.Duration, id model.TargetID, held, start int) {
	if held <= start {
		return
	}
	t := w.targets[id]
	if t == nil {
		t = &warmth{factor: 1, grownAt: now}
		w.targets[id] = t
	}
	for start > 0 && t.factor*start < held && t.factor < maxFactor {
		t.factor *= 2
	}
}

// Known reports whether there is evidence about a target.
func (w *Warmth) Known(id model.TargetID) bool { return w.targets[id] != nil }

// Load returns how much cold load a target bears now, at most limit.
func (w *Warmth) Load(id model.TargetID, start, limit int) int {
	factor := 1
	if t := w.targets[id]; t != nil {
		factor = t.factor
	}
	return min(start*factor, limit)
}

// Keep forgets the targets for which known is false.
func (w *Warmth) Keep(known func(model.TargetID) bool) {
	for id := range w.targets {
		if !known(id) {
			delete(w.targets, id)
		}
	}
}

package standin

import (
	"context"
	"fmt"
	"time"

	"radishturn.example/radishturn/pkg/events"
)

// Apply sets a fault at all matching targets and returns their number. With
// Over set, it returns at once and sets the fault at one target after another
// within that time.
func (s *Standin) Apply(f Fault) (int, error) {
	if err := f.Check(); err != nil {
		return 0, err
	}
	var matching []*target
	for _, t := range s.targets {
		if f.AppliesTo(t.Target) {
			matching = append(matching, t)
		}
	}
	if len(matching) == 0 {
		return 0, fmt.Errorf("fault %s: no target matches", f.name())
	}
	events.Emit(events.StandinFault, fmt.Sprintf("%d of %d", len(matching), len(s.targets)), f.name())
	if f.Over > 0 {
		s.applyGradually(f, matching)
		return len(matching), nil
	}
	for _, t := range matching {
		t.apply(f)
	}
	return len(matching), s.publishList()
}

// applyGradually sets the fault at one target after another, at equal intervals
// within f.Over.
func (s *Standin) applyGradually(f Fault, matching []*target) {
	s.resetMu.Lock()
	resets := s.resetCount
	s.resetMu.Unlock()
	for i, t := range matching {
		after := f.Over.Std() * time.Duration(i) / time.Duration(len(matching))
		time.AfterFunc(after, func() {
			s.resetMu.Lock()
			defer s.resetMu.Unlock()
			if s.isStopped() || s.resetCount != resets {
				return
			}
			t.apply(f)
			s.publishList() // encoding the list cannot fail
		})
	}
}

// apply sets the fault at this target.
func (t *target) apply(f Fault) {
	switch f.Kind {
	case KindCrash:
		t.crash(f.RestartAfter.Std())
	case KindRestart:
		t.restart()
	case KindCold:
		t.warmUp.markCold()
	case KindHold:
		t.hold(f.Snapshot, false)
	case KindSwitch:
		t.hold(f.Snapshot, true)
	case KindLeave:
		t.setListed(true, true)
	case KindUnlist:
		t.setListed(false, false)
	case KindList:
		t.setListed(true, false)
	default:
		t.applyPersistent(f)
	}
}

func (t *target) applyPersistent(f Fault) {
	active := t.setFault(f)
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() {
			t.clearFaults(func(other *activeFault) bool { return other == active })
		})
	}
}

// clearAll is the name that clears every persistent fault.
const clearAll = "*"

// Clear removes persistent faults by name; "*" removes all of them.
func (s *Standin) Clear(name string) {
	for _, t := range s.targets {
		t.clearFaults(func(f *activeFault) bool { return name == clearAll || f.name() == name })
	}
	events.Emit(events.StandinFault, "all", "clear "+name)
}

// Reset returns every target to its initial state and restarts the maxima of
// the statistics. Targets that were down get a new boot ID.
func (s *Standin) Reset() error {
	s.resetMu.Lock()
	defer s.resetMu.Unlock()
	s.resetCount++
	s.Clear(clearAll)
	for _, t := range s.targets {
		t.restart()
		t.setListed(true, false)
		t.hold(t.collection.Snapshots[0].ID, true)
		t.warmUp.reset()
		t.counters.resetMaxima()
	}
	return s.publishList()
}

// runSchedule sets and clears faults as scheduled in the settings.
func (s *Standin) runSchedule(ctx context.Context) error {
	for _, step := range s.settings.Schedule {
		if !sleep(ctx, step.At.Std()-time.Since(s.start)) {
			return nil
		}
		if step.Clear != "" {
			s.Clear(step.Clear)
			continue
		}
		if _, err := s.Apply(step.Fault); err != nil {
			return fmt.Errorf("schedule at %s: %w", step.At.Std(), err)
		}
	}
	<-ctx.Done()
	return nil
}

package standin

import (
	"context"
	"fmt"
	"time"

	"radishturn.example/radishturn/pkg/events"
)

// Apply sets a fault and returns the number of targets that it concerns. With
// Over set, the last of them has it that much later.
func (s *Standin) Apply(f Fault) (int, error) {
	if err := f.Check(); err != nil {
		return 0, err
	}
	var concerned []*target
	for _, t := range s.targets {
		if f.AppliesTo(t.Target) {
			concerned = append(concerned, t)
		}
	}
	if len(concerned) == 0 {
		return 0, fmt.Errorf("fault %s: no target matches", f.name())
	}
	events.Emit(events.StandinFault, fmt.Sprintf("%d of %d", len(concerned), len(s.targets)), f.name())
	if f.Over > 0 {
		s.spread(f, concerned)
		return len(concerned), nil
	}
	for _, t := range concerned {
		t.apply(f)
	}
	return len(concerned), s.publishList()
}

// spread sets the fault at one target after the other.
func (s *Standin) spread(f Fault, concerned []*target) {
	s.changes.Lock()
	resets := s.resets
	s.changes.Unlock()
	for i, t := range concerned {
		after := f.Over.Std() * time.Duration(i) / time.Duration(len(concerned))
		time.AfterFunc(after, func() {
			s.changes.Lock()
			defer s.changes.Unlock()
			if s.isStopped() || s.resets != resets {
				return
			}
			t.apply(f)
			s.publishList() // encoding a list never fails
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
		t.warmth.turnCold()
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
		t.applyLasting(f)
	}
}

func (t *target) applyLasting(f Fault) {
	active := t.setFault(f)
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() {
			t.clearFaults(func(other *activeFault) bool { return other == active })
		})
	}
}

// clearAll is the name that clears every lasting fault.
const clearAll = "*"

// Clear removes lasting faults by name; "*" stands for all.
func (s *Standin) Clear(name string) {
	for _, t := range s.targets {
		t.clearFaults(func(f *activeFault) bool { return name == clearAll || f.name() == name })
	}
	events.Emit(events.StandinFault, "all", "clear "+name)
}

// Reset brings every target back to its state at start, but for the boot ID of
// those that were down, and starts the largest values of the statistics anew.
func (s *Standin) Reset() error {
	s.changes.Lock()
	defer s.changes.Unlock()
	s.resets++
	s.Clear(clearAll)
	for _, t := range s.targets {
		t.restart()
		t.setListed(true, false)
		t.hold(t.collection.Snapshots[0].ID, true)
		t.warmth.reset()
		t.counters.resetLargest()
	}
	return s.publishList()
}

// runSchedule sets the faults of the settings at their times.
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

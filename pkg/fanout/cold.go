package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/view"
)

// warmReportInterval is how often a warm target is reported while its grant is
// still that of a cold one.
const warmReportInterval = 500 * time.Millisecond

// noteWarmth applies a change to the load of the target at once.
func (l *leaf) noteWarmth(t *targetState, change warmth.Change, now time.Duration) warmth.Change {
	switch change {
	case warmth.TurnedCold, warmth.Suspended:
		t.clamped, t.clampedLoad = true, l.collection.firstColdLoad(t.target.ID)
	case warmth.TurnedWarm, warmth.Resumed:
		t.clamped = false
		t.warmReported, t.warmAnswers = now, 0
	case warmth.ShowedSpeed:
		t.warmReported, t.warmAnswers = now, 0
	}
	return change
}

// takeGrant takes in the grant of the newest view. A smaller cold load under
// the same instances means that another instance has seen a sign of cold.
func (t *targetState) takeGrant(granted view.Grant, requests int, sameInstances bool) {
	shrunk := granted.ColdLoad < t.grant.ColdLoad && granted.Connections == t.grant.Connections
	t.grant = granted
	t.limit.SetMax(requests)
	if shrunk && sameInstances {
		t.warmth.Clamp()
	}
	if t.clamped && !t.warmth.Suspended() && granted.ColdLoad <= t.clampedLoad {
		t.clamped = false
	}
}

// reportWarmth tells control that a target turned cold, or bears its load.
func (s *Service) reportWarmth(t *targetState, boot model.BootID, change warmth.Change) {
	sign := []view.Incarnation{{Target: t.target.ID, Boot: boot}}
	switch change {
	case warmth.TurnedCold:
		events.Emit(events.TargetCold, t.target.ID, boot, "sign on a request")
		s.reporter.Report(view.Evidence{Cold: sign})
	case warmth.TurnedWarm:
		events.Emit(events.TargetWarm, t.target.ID, boot)
		s.reporter.Report(view.Evidence{Warm: sign})
	case warmth.ShowedSpeed:
		s.reporter.Report(view.Evidence{Warm: sign})
	}
}

// reportStillWarm repeats the evidence of warm targets until their grant is full.
func (s *Service) reportStillWarm(c *collection, now time.Duration) {
	var signs []view.Incarnation
	c.mu.Lock()
	if now < c.warmCheckAt {
		c.mu.Unlock()
		return
	}
	c.warmCheckAt = now + warmReportInterval
	for _, t := range c.targets {
		if sign, ok := t.stillWarm(now); ok {
			signs = append(signs, sign)
		}
	}
	c.mu.Unlock()
	if len(signs) > 0 {
		s.reporter.Report(view.Evidence{Warm: signs})
	}
}

func (t *targetState) stillWarm(now time.Duration) (view.Incarnation, bool) {
	t.leaf.mu.Lock()
	defer t.leaf.mu.Unlock()
	due := now-t.warmReported >= warmReportInterval
	if !t.warmth.Warm() || t.grant.ColdLoad >= t.limit.Max() || t.warmAnswers == 0 || !due {
		return view.Incarnation{}, false
	}
	t.warmReported, t.warmAnswers = now, 0
	return view.Incarnation{Target: t.target.ID, Boot: t.warmth.Boot()}, true
}

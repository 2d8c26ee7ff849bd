package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/view"
)

// warmReportInterval is how often a warm target is reported to the control group
// while its grant is still that of a cold target.
const warmReportInterval = 500 * time.Millisecond

// applyWarmthChange adjusts the load limit of the target to a change of its
// warmth at once, without waiting for a new grant.
func (l *leaf) applyWarmthChange(t *targetState, change warmth.Change, now time.Duration) warmth.Change {
	switch change {
	case warmth.TurnedCold, warmth.MayHaveRestarted:
		t.locallyLimited, t.localColdLoad = true, l.collection.initialColdLoad(t.target.ID)
	case warmth.TurnedWarm, warmth.NotRestarted:
		t.locallyLimited = false
		t.warmReportedAt, t.answersSinceReport = now, 0
	case warmth.SustainedLoad:
		t.warmReportedAt, t.answersSinceReport = now, 0
	}
	return change
}

// updateGrant applies the grant of the newest view. A smaller cold load with
// the same connections and instances means that another instance has found the
// target cold.
func (t *targetState) updateGrant(granted view.Grant, requestLimit int, sameInstances bool) {
	shrunk := granted.ColdLoad < t.grant.ColdLoad && granted.Connections == t.grant.Connections
	t.grant = granted
	t.limit.SetMax(requestLimit)
	if shrunk && sameInstances {
		t.warmth.ForceCold()
	}
	if t.locallyLimited && !t.warmth.MayHaveRestarted() && granted.ColdLoad <= t.localColdLoad {
		t.locallyLimited = false
	}
}

// reportWarmth reports to control that a target turned cold or warm, or that a
// cold target handles its present load. Both of the latter are reported in
// Evidence.Warm.
func (s *Service) reportWarmth(t *targetState, boot model.BootID, change warmth.Change) {
	report := []view.Incarnation{{Target: t.target.ID, Boot: boot}}
	switch change {
	case warmth.TurnedCold:
		events.Emit(events.TargetCold, t.target.ID, boot, "indicated by a reply or health hint")
		s.reporter.Report(view.Evidence{Cold: report})
	case warmth.TurnedWarm:
		events.Emit(events.TargetWarm, t.target.ID, boot)
		s.reporter.Report(view.Evidence{Warm: report})
	case warmth.SustainedLoad:
		s.reporter.Report(view.Evidence{Warm: report})
	}
}

// repeatWarmReports repeats the reports of warm targets until their cold load no
// longer restricts them.
func (s *Service) repeatWarmReports(c *collection, now time.Duration) {
	var reports []view.Incarnation
	c.mu.Lock()
	if now < c.nextWarmReportsAt {
		c.mu.Unlock()
		return
	}
	c.nextWarmReportsAt = now + warmReportInterval
	for _, t := range c.targets {
		if report, ok := t.takeWarmReport(now); ok {
			reports = append(reports, report)
		}
	}
	c.mu.Unlock()
	if len(reports) > 0 {
		s.reporter.Report(view.Evidence{Warm: reports})
	}
}

// takeWarmReport returns the report of a warm target if one is due, and restarts
// its interval.
func (t *targetState) takeWarmReport(now time.Duration) (view.Incarnation, bool) {
	t.leaf.mu.Lock()
	defer t.leaf.mu.Unlock()
	due := now-t.warmReportedAt >= warmReportInterval
	if !t.warmth.Warm() || t.grant.ColdLoad >= t.limit.Max() || t.answersSinceReport == 0 || !due {
		return view.Incarnation{}, false
	}
	t.warmReportedAt, t.answersSinceReport = now, 0
	return view.Incarnation{Target: t.target.ID, Boot: t.warmth.Boot()}, true
}

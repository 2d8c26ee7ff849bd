package load

import (
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin"
)

// slowFactor is how far above the usual p99 a second counts as slow.
const slowFactor = 2

// LeavingReport says how long targets got new work after they began to leave.
type LeavingReport struct {
	Fault   standin.FaultKind `json:"fault"`
	Targets int               `json:"targets"`
	// Longest is the time from the fault to the newest request, in
	// milliseconds; 0 means that none came after the fault.
	Longest int64 `json:"longestMs"`
}

// leavingReports looks at every fault that makes targets leave for good. start is when
// the run began, on the clock of the stand-in.
func leavingReports(faults []standin.ScheduledFault, targets []standin.TargetStats, start int64) []LeavingReport {
	var reports []LeavingReport
	for _, step := range faults {
		if !isLeaving(step.Fault.Kind) || step.Fault.For > 0 {
			continue
		}
		report := LeavingReport{Fault: step.Fault.Kind}
		for _, t := range targets {
			target := model.Target{ID: t.ID, AvailabilityZone: t.AvailabilityZone, Version: t.Version}
			if step.Fault.AppliesTo(target) {
				report.Targets++
				report.Longest = max(report.Longest, t.LastRequest-start-step.At.Std().Milliseconds())
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// addRecovery notes until when the faults were felt.
func (v *VariantReport) addRecovery(faults []standin.ScheduledFault) {
	if len(faults) == 0 {
		return
	}
	first := int(faults[0].At.Std().Seconds())
	usual := usualP99(v.Timeline[:min(first, len(v.Timeline))])
	for _, s := range v.Timeline {
		if s.Second < first {
			continue
		}
		if s.OK < s.Sent || s.Partial > 0 {
			v.HarmedUntil = s.Second + 1
		}
		if usual > 0 && s.P99 > slowFactor*usual {
			v.SlowUntil = s.Second + 1
		}
	}
}

// usualP99 is the median p99 of the seconds, or 0 without any.
func usualP99(seconds []SecondReport) float64 {
	var values []float64
	for _, s := range seconds {
		if s.OK > 0 {
			values = append(values, s.P99)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func isLeaving(k standin.FaultKind) bool {
	return k == standin.KindDrain || k == standin.KindLeave || k == standin.KindUnlist
}

package load

import (
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin"
)

// slowFactor is the multiple of the baseline p99 above which a second counts as
// slow.
const slowFactor = 2

// RemovalReport states how long targets got new requests after a removal: a drain,
// leave or unlist fault, which takes them out of service.
type RemovalReport struct {
	Fault   standin.FaultKind `json:"fault"`
	Targets int               `json:"targets"`
	// LongestMs is the time from the fault to the last new request, in
	// milliseconds; 0 means that none came after the fault.
	LongestMs int64 `json:"longestMs"`
}

// removalReports returns a report for every removal that is not undone, that
// is, every drain, leave or unlist fault without For. start is the start of the
// run on the clock of the stand-in.
func removalReports(faults []standin.ScheduledFault, targets []standin.TargetStats, start int64) []RemovalReport {
	var reports []RemovalReport
	for _, scheduled := range faults {
		if !isRemoval(scheduled.Fault.Kind) || scheduled.Fault.For > 0 {
			continue
		}
		report := RemovalReport{Fault: scheduled.Fault.Kind}
		for _, t := range targets {
			target := model.Target{ID: t.ID, AvailabilityZone: t.AvailabilityZone, Version: t.Version}
			if scheduled.Fault.AppliesTo(target) {
				report.Targets++
				report.LongestMs = max(report.LongestMs, t.LastRequest-start-scheduled.At.Std().Milliseconds())
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// addRecovery records how long callers saw failures, partial answers or slow
// answers after the first fault.
func (v *VariantReport) addRecovery(faults []standin.ScheduledFault) {
	if len(faults) == 0 {
		return
	}
	firstFault := int(faults[0].At.Std().Seconds())
	baseline := baselineP99(v.Timeline[:min(firstFault, len(v.Timeline))])
	for _, s := range v.Timeline {
		if s.Second < firstFault {
			continue
		}
		if s.OK < s.Sent || s.Partial > 0 {
			v.DegradedUntilSecond = s.Second + 1
		}
		if baseline > 0 && s.P99 > slowFactor*baseline {
			v.SlowUntilSecond = s.Second + 1
		}
	}
}

// baselineP99 returns the median of the p99 of the seconds with answers, or 0 if
// there are none.
func baselineP99(seconds []SecondReport) float64 {
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

func isRemoval(k standin.FaultKind) bool {
	return k == standin.KindDrain || k == standin.KindLeave || k == standin.KindUnlist
}

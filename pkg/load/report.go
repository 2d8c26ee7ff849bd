package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin"
)

// Report is the result of an experiment.
type Report struct {
	Experiment string          `json:"experiment"`
	About      string          `json:"about,omitempty"`
	Seed       uint64          `json:"seed"`
	Variants   []VariantReport `json:"variants"`
}

// HasViolations reports whether a check found a violation in any variant.
func (r *Report) HasViolations() bool {
	for _, v := range r.Variants {
		if len(v.Violations) > 0 {
			return true
		}
	}
	return false
}

// VariantReport is the result of one variant. Latencies, outcomes and coverage
// exclude Load.UnmeasuredTime; sent requests and violations include it.
type VariantReport struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// NotSent is the number of requests that were not sent because MaxInFlight
	// or MaxRequests was reached.
	NotSent int `json:"notSent"`
	// InTime and Late are the numbers of answers with status 200 within and
	// after the deadline, counted from the intended send time.
	InTime int `json:"inTime"`
	Late   int `json:"late"`
	// Goodput is the number of answers in time per second.
	Goodput float64 `json:"goodput"`
	// WeightedGoodput weights each of these answers by its coverage, and
	// FullGoodput counts only those with full coverage.
	WeightedGoodput float64        `json:"coveredGoodput"`
	FullGoodput     float64        `json:"fullGoodput"`
	Queries         LatencyReport  `json:"queries"`
	Orders          LatencyReport  `json:"orders"`
	Failures        LatencyReport  `json:"failures"`
	Coverage        CoverageReport `json:"coverage"`
	Outcomes        []OutcomeCount `json:"outcomes"`
	// Targets are the counts of the collection's targets during the run;
	// maxima are those since the stand-in was reset.
	Targets standin.Counts `json:"targets"`
	// ExtraLoad is the ratio of hedges and retries to the first requests on a leaf.
	ExtraLoad float64 `json:"extraLoad"`
	// AvailabilityZones and Versions are sums over all collections.
	AvailabilityZones map[model.AvailabilityZoneID]standin.Counts `json:"availabilityZones"`
	Versions          map[model.VersionID]standin.Counts          `json:"versions"`
	// IdealWarmUpMs is the shortest possible time to warm up a target, in
	// milliseconds, for comparison with Targets.MaxWarmUp.
	IdealWarmUpMs int64 `json:"idealWarmUpMs"`
	// DegradedUntilSecond is the end of the last second since the first fault
	// that has a failure or a partial answer, and SlowUntilSecond that of the
	// last one whose p99 was over twice the baseline before the fault; 0 means
	// none.
	DegradedUntilSecond int                   `json:"harmedUntilS"`
	SlowUntilSecond     int                   `json:"slowUntilS"`
	Removals            []RemovalReport       `json:"leaving,omitempty"`
	OrderRuns           OrderReport           `json:"orderRuns"`
	Timeline            []SecondReport        `json:"timeline"`
	Violations          map[ViolationKind]int `json:"violations,omitempty"`
	Examples            []Violation           `json:"examples,omitempty"`
}

// LatencyReport holds latencies in milliseconds, measured from the intended
// send time.
type LatencyReport struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
	// Curve holds the latency at increasing percentiles, for plots.
	Curve []CurvePoint `json:"curve,omitempty"`
}

// CurvePoint is a point of the latency distribution.
type CurvePoint struct {
	Percentile   float64 `json:"percentile"`
	Milliseconds float64 `json:"ms"`
}

// SecondReport summarizes one second of the timeline.
type SecondReport struct {
	Second int `json:"second"`
	// Sent excludes requests within Load.UnmeasuredTime and those that the caller
	// cancelled.
	Sent    int     `json:"sent"`
	OK      int     `json:"ok"`
	Partial int     `json:"partial"`
	P50     float64 `json:"p50Ms"`
	P99     float64 `json:"p99Ms"`
	Max     float64 `json:"maxMs"`
	// Coverage is the mean coverage of the answers.
	Coverage float64 `json:"coverage"`
	// LeafRequests and the following fields are counted by the targets.
	// AvailabilityZones and Versions count the requests of all collections.
	LeafRequests      int64                              `json:"leafRequests"`
	ExtraRequests     int64                              `json:"extraRequests"`
	ColdTargets       int64                              `json:"coldTargets"`
	ColdOverloads     int64                              `json:"coldOverloads"`
	Crashes           int64                              `json:"crashes"`
	Shed              int64                              `json:"shed"`
	AvailabilityZones map[model.AvailabilityZoneID]int64 `json:"availabilityZones,omitempty"`
	Versions          map[model.VersionID]int64          `json:"versions,omitempty"`
}

// curvePercentiles are the percentiles at which a latency curve has points.
var curvePercentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.75, 99.9, 99.95, 99.99}

func latencyReport(h *hdrhistogram.Histogram) LatencyReport {
	report := LatencyReport{
		Count: h.TotalCount(),
		Mean:  h.Mean() / float64(time.Millisecond),
		P50:   quantile(h, 50),
		P90:   quantile(h, 90),
		P99:   quantile(h, 99),
		P999:  quantile(h, 99.9),
		Max:   milliseconds(h.Max()),
	}
	if report.Count == 0 {
		return LatencyReport{}
	}
	for _, p := range curvePercentiles {
		report.Curve = append(report.Curve, CurvePoint{Percentile: p, Milliseconds: quantile(h, p)})
	}
	return report
}

func quantile(h *hdrhistogram.Histogram, percentile float64) float64 {
	return milliseconds(h.ValueAtQuantile(percentile))
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}

// report builds the report of the variant from the recorded outcomes and the
// samples of the targets' counts.
func (r *recorder) report(name string, samples []standin.Stats) VariantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	measuredSeconds := (r.load.Duration.Std() - r.load.UnmeasuredTime.Std()).Seconds()
	v := VariantReport{
		Name:            name,
		Sent:            r.sent,
		NotSent:         r.notSent,
		InTime:          r.inTime,
		Late:            r.late,
		Goodput:         float64(r.inTime) / measuredSeconds,
		WeightedGoodput: r.coverageSumInTime / measuredSeconds,
		FullGoodput:     float64(r.fullAnswers) / measuredSeconds,
		Queries:         latencyReport(r.queries),
		Orders:          latencyReport(r.orders),
		Failures:        latencyReport(r.failures),
		Coverage:        r.coverage.report(),
		Outcomes:        r.outcomeCounts(),
		Violations:      r.violations,
		Examples:        r.examples,
	}
	for i, s := range r.seconds {
		v.Timeline = append(v.Timeline, s.report(i))
	}
	v.addSamples(r.load.Collection, samples)
	return v
}

func (s *secondStats) report(number int) SecondReport {
	return SecondReport{
		Second:   number,
		Sent:     s.sent,
		OK:       s.ok,
		Partial:  s.partial,
		P50:      quantile(s.latency, 50),
		P99:      quantile(s.latency, 99),
		Max:      milliseconds(s.latency.Max()),
		Coverage: s.coverageSum / float64(max(s.ok, 1)),
	}
}

// addSamples adds the counts of the targets, given one sample per second.
func (v *VariantReport) addSamples(collection model.CollectionID, samples []standin.Stats) {
	if len(samples) == 0 {
		return
	}
	first, last := samples[0], samples[len(samples)-1]
	v.Targets = last.Collections[collection].Since(first.Collections[collection])
	if base := v.Targets.Requests - v.Targets.ExtraRequests; base > 0 {
		v.ExtraLoad = float64(v.Targets.ExtraRequests) / float64(base)
	}
	v.AvailabilityZones = countsSince(last.AvailabilityZones, first.AvailabilityZones)
	v.Versions = countsSince(last.Versions, first.Versions)
	for i := 1; i < len(samples) && i <= len(v.Timeline); i++ {
		v.Timeline[i-1].addDelta(collection, samples[i-1], samples[i])
	}
}

func countsSince[K comparable](last, first map[K]standin.Counts) map[K]standin.Counts {
	deltas := make(map[K]standin.Counts, len(last))
	for k, c := range last {
		deltas[k] = c.Since(first[k])
	}
	return deltas
}

func (s *SecondReport) addDelta(collection model.CollectionID, before, after standin.Stats) {
	d := after.Collections[collection].Since(before.Collections[collection])
	s.LeafRequests, s.ExtraRequests = d.Requests, d.ExtraRequests
	s.ColdTargets = d.ColdTargets
	s.ColdOverloads, s.Crashes, s.Shed = d.ColdOverloads, d.Crashes, d.Shed
	s.AvailabilityZones = make(map[model.AvailabilityZoneID]int64)
	for id, c := range after.AvailabilityZones {
		s.AvailabilityZones[id] = c.Requests - before.AvailabilityZones[id].Requests
	}
	s.Versions = make(map[model.VersionID]int64)
	for id, c := range after.Versions {
		s.Versions[id] = c.Requests - before.Versions[id].Requests
	}
}

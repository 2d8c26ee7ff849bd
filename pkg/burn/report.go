package burn

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// Alarm is a multi-window burn-rate alarm. The long window shows that the loss is
// significant, the short one that it is still going on.
type Alarm struct {
	Short time.Duration `json:"short"`
	Long  time.Duration `json:"long"`
	// Rate is the burn rate at which both windows raise the alarm; a rate of 1
	// spends the budget in exactly its period.
	Rate float64 `json:"rate"`
}

// Alarms are the alarms of every objective. The rates are the usual ones for a
// budget of 30 days: 2% of it spent in an hour, 5% in six hours, 10% in three days.
var Alarms = []Alarm{
	{5 * time.Minute, time.Hour, 14.4},
	{30 * time.Minute, 6 * time.Hour, 6},
	{6 * time.Hour, 3 * 24 * time.Hour, 1},
}

const (
	// maxCauses bounds the causes listed for each dimension.
	maxCauses = 5
	// timelineWindow is the time span of the plots.
	timelineWindow = fineMinutes
)

// Report holds the state of all error budgets.
type Report struct {
	At         time.Time         `json:"at"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the state of one error budget.
type ObjectiveReport struct {
	Collection model.CollectionID `json:"collection"`
	Objective  Objective          `json:"objective"`
	// TargetShare is the fraction of requests that should be good, from 0 to 1.
	TargetShare float64        `json:"target"`
	Windows     []WindowReport `json:"windows"`
	// Burning is set when both windows of an alarm are at or above its rate.
	Burning bool `json:"burning"`
	// Causes break down the bad requests of the last hour by dimension and value,
	// in descending order within each dimension.
	Causes []Cause `json:"causes"`
	// LatencyMs holds latency quantiles of the last hour in milliseconds; empty for
	// objectives other than latency.
	LatencyMs map[string]float64 `json:"latencyMs,omitempty"`
	Timeline  []Point            `json:"timeline"`
}

// WindowReport is the burn rate of one window.
type WindowReport struct {
	Window time.Duration `json:"window"`
	Counts Counts        `json:"counts"`
	Rate   float64       `json:"rate"`
	// Present is the fraction of the window's minutes that have data.
	Present float64 `json:"present"`
}

// Cause is the contribution of one value of a dimension to the bad requests.
type Cause struct {
	Dimension Dimension `json:"dimension"`
	Value     string    `json:"value"`
	Counts    Counts    `json:"counts"`
	// Share is the fraction of all bad requests, from 0 to 1.
	Share float64 `json:"share"`
}

// Point is one span of the timeline. Spans without data are omitted, so that they
// appear as gaps.
type Point struct {
	At    time.Time     `json:"at"`
	Width time.Duration `json:"width"`
	Rate  float64       `json:"rate"`
}

// BuildReport computes the burn rates of all objectives at now.
func BuildReport(s *Store, collections []settings.Collection, now time.Time) Report {
	r := Report{At: now.UTC()}
	minute := MinuteOf(now)
	for _, c := range collections {
		targets := []struct {
			objective Objective
			target    float64
		}{
			{ObjectiveLatency, c.Objectives.LatencyShare},
			{ObjectiveCoverage, c.Objectives.CoverageShare},
			{ObjectiveOrders, c.Objectives.OrderShare},
		}
		for _, t := range targets {
			r.Objectives = append(r.Objectives, s.objective(c.ID, t.objective, t.target, minute))
		}
	}
	return r
}

func (s *Store) objective(c model.CollectionID, objective Objective, target float64, now Minute) ObjectiveReport {
	r := ObjectiveReport{Collection: c, Objective: objective, TargetShare: target}
	series := Series{Collection: c, Objective: objective}
	for _, alarm := range Alarms {
		short := s.window(series, target, now, alarm.Short)
		long := s.window(series, target, now, alarm.Long)
		r.addWindow(short)
		r.addWindow(long)
		r.Burning = r.Burning || (short.Rate >= alarm.Rate && long.Rate >= alarm.Rate)
	}
	r.Causes = s.causes(c, objective, now)
	r.Timeline = s.timeline(series, target, now)
	if objective == ObjectiveLatency {
		r.LatencyMs = s.latency(c, now)
	}
	return r
}

// addWindow adds a window unless an earlier alarm uses the same one.
func (r *ObjectiveReport) addWindow(w WindowReport) {
	if !slices.ContainsFunc(r.Windows, func(o WindowReport) bool { return o.Window == w.Window }) {
		r.Windows = append(r.Windows, w)
	}
}

func minutes(d time.Duration) Minute { return Minute(d / time.Minute) }

func (s *Store) window(series Series, target float64, now Minute, window time.Duration) WindowReport {
	w := WindowReport{Window: window}
	var present Minute
	for _, span := range s.since(now, minutes(window)) {
		present += span.Width
		if c, ok := span.bucket.counts[series]; ok {
			w.Counts.Add(*c)
		}
	}
	w.Rate = burnRate(w.Counts, target)
	w.Present = min(1, float64(present)/float64(minutes(window)))
	return w
}

// burnRate returns the fraction of bad requests divided by the fraction that the
// objective allows.
func burnRate(c Counts, target float64) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - target)
}

func (s *Store) timeline(series Series, target float64, now Minute) []Point {
	var points []Point
	for _, span := range s.since(now, timelineWindow) {
		c, ok := span.bucket.counts[series]
		if !ok {
			continue
		}
		points = append(points, Point{
			At:    span.Start.Time(),
			Width: time.Duration(span.Width) * time.Minute,
			Rate:  burnRate(*c, target),
		})
	}
	return points
}

func (s *Store) causes(c model.CollectionID, objective Objective, now Minute) []Cause {
	sums := make(map[Series]*Counts)
	var total Counts
	for _, span := range s.since(now, minutes(time.Hour)) {
		for series, counts := range span.bucket.counts {
			if series.Collection != c || series.Objective != objective {
				continue
			}
			if series.Dimension == DimensionTotal {
				total.Add(*counts)
				continue
			}
			if sums[series] == nil {
				sums[series] = new(Counts)
			}
			sums[series].Add(*counts)
		}
	}
	return worstCauses(sums, total)
}

// worstCauses keeps the maxCauses worst values of each dimension.
func worstCauses(sums map[Series]*Counts, total Counts) []Cause {
	var causes []Cause
	for series, counts := range sums {
		if counts.Bad > 0 {
			share := float64(counts.Bad) / float64(total.Bad)
			causes = append(causes, Cause{series.Dimension, series.Value, *counts, share})
		}
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Value, b.Value))
	})
	kept := make(map[Dimension]int)
	return slices.DeleteFunc(causes, func(c Cause) bool {
		kept[c.Dimension]++
		return kept[c.Dimension] > maxCauses
	})
}

var reportedQuantiles = map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999}

func (s *Store) latency(c model.CollectionID, now Minute) map[string]float64 {
	merged := NewBucket()
	for _, span := range s.since(now, minutes(time.Hour)) {
		if sketch, ok := span.bucket.latencies[c]; ok {
			// All sketches of the store have the same accuracy, so merging cannot fail.
			_ = merged.sketch(c).MergeWith(sketch)
		}
	}
	result := make(map[string]float64)
	sketch := merged.sketch(c)
	for name, q := range reportedQuantiles {
		if v, err := sketch.GetValueAtQuantile(q); err == nil {
			result[name] = v / float64(time.Millisecond/time.Microsecond)
		}
	}
	return result
}

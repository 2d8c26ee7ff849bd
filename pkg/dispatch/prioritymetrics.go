package dispatch

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxPriorityLabel is the highest priority number with time series of its own; the
// others share otherPriorityLabel.
const (
	maxPriorityLabel   = 9
	otherPriorityLabel = "other"
)

// byPriority holds the metrics of one kind for each priority label. A metric is registered
// by name when it is first used, which is too slow to be done for each call.
type byPriority[M any] struct {
	register func(priority string) *M
	// metrics holds the metric of otherPriorityLabel at the end.
	metrics [maxPriorityLabel + 2]atomic.Pointer[M]
}

func (b *byPriority[M]) of(priority int) *M {
	i := maxPriorityLabel + 1
	if priority >= 0 && priority <= maxPriorityLabel {
		i = priority
	}
	m := b.metrics[i].Load()
	if m == nil {
		m = b.register(priorityLabel(priority))
		b.metrics[i].Store(m)
	}
	return m
}

func callsByPriority(result string) *byPriority[metrics.Counter] {
	return &byPriority[metrics.Counter]{register: func(priority string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_calls_by_priority_total{priority=%q,result=%q}`, priority, result))
	}}
}

var (
	callsInTime = callsByPriority("in time")
	callsLate   = callsByPriority("late")
	callWaits   = &byPriority[metrics.Histogram]{register: func(priority string) *metrics.Histogram {
		return metrics.GetOrCreateHistogram(fmt.Sprintf(`radishturn_call_wait_seconds{priority=%q}`, priority))
	}}
)

// priorityLabel returns the label of a priority.
func priorityLabel(priority int) string {
	if priority < 0 || priority > maxPriorityLabel {
		return otherPriorityLabel
	}
	return strconv.Itoa(priority)
}

// observePriority updates the metrics by priority for a call that has ended. Its objective
// includes the time before its arrival.
func observePriority(c *Call, out Outcome) {
	if out.NotRun() {
		metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_call_refusals_total{cause=%q,priority=%q}`, out.Err.Step, priorityLabel(c.Priority))).Inc()
		return
	}
	calls := callsInTime
	if out.Err != nil || c.Route.Objective > 0 && time.Since(c.Arrived)+c.Elapsed > c.Route.Objective {
		calls = callsLate
	}
	calls.of(c.Priority).Inc()
}

// observeWait updates the metrics for a call that has waited for a place or a connection.
func observeWait(priority int, waited time.Duration) {
	callWaits.of(priority).Update(waited.Seconds())
}

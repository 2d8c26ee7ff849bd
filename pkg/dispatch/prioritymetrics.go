package dispatch

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxPriorityLabel is the highest priority number with time series of its own; the
// others share otherPriorityLabel.
const (
	maxPriorityLabel   = 9
	otherPriorityLabel = "other"
)

func priorityLabel(priority int) string {
	if priority < 0 || priority > maxPriorityLabel {
		return otherPriorityLabel
	}
	return strconv.Itoa(priority)
}

// observePriority updates the metrics by priority for a call that has ended. Its objective
// includes the time before its arrival.
func observePriority(c *Call, out Outcome) {
	priority := priorityLabel(c.Priority)
	if out.NotRun() {
		metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_call_refusals_total{cause=%q,priority=%q}`, out.Err.Step, priority)).Inc()
		return
	}
	late := out.Err != nil || c.Route.Objective > 0 && time.Since(c.Arrived)+c.Elapsed > c.Route.Objective
	result := "in time"
	if late {
		result = "late"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_calls_by_priority_total{priority=%q,result=%q}`, priority, result)).Inc()
}

// observeWait updates the metrics for a call that has waited for a place or a connection.
func observeWait(priority int, waited time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`radishturn_call_wait_seconds{priority=%q}`, priorityLabel(priority))).Update(waited.Seconds())
}

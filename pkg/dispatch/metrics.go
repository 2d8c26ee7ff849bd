package dispatch

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcomes of calls, as metric label values.
const (
	outcomeWhole   = "whole"
	outcomePartial = "partial"
	// outcomeForwarded: a target's reply was forwarded, whatever its status.
	outcomeForwarded = "passed"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
)

// callMetrics holds the metrics of one kind of call.
type callMetrics struct {
	seconds  *metrics.Histogram
	outcomes map[string]*metrics.Counter
}

func newCallMetrics(kind string) callMetrics {
	m := callMetrics{
		seconds:  metrics.GetOrCreateHistogram(fmt.Sprintf(`radishturn_call_seconds{kind=%q}`, kind)),
		outcomes: make(map[string]*metrics.Counter),
	}
	for _, o := range []string{outcomeWhole, outcomePartial, outcomeForwarded, outcomeRefused, outcomeFailed} {
		m.outcomes[o] = metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_calls_total{kind=%q,outcome=%q}`, kind, o))
	}
	return m
}

var (
	singleCalls   = newCallMetrics("one")
	queryCalls    = newCallMetrics("shards")
	targetSeconds = metrics.GetOrCreateHistogram("radishturn_target_seconds")
	requestsSent  = metrics.GetOrCreateCounter("radishturn_target_requests_total")
	// requestsFurther counts hedges and retries (see Trace), not only those that use the
	// retry budget.
	requestsFurther = metrics.GetOrCreateCounter("radishturn_target_requests_extra_total")
	requestsDenied  = metrics.GetOrCreateCounter("radishturn_target_requests_denied_total")
	partsMissing    = metrics.GetOrCreateCounter("radishturn_parts_missing_total")
)

// observe updates the metrics for a call that has ended, and returns its outcome.
func observe(c *Call, out Outcome) Outcome {
	m := singleCalls
	if c.Route.Fanout != nil {
		m = queryCalls
	}
	m.seconds.Update(time.Since(c.Arrived).Seconds())
	requestsSent.Add(out.Trace.Sent)
	requestsFurther.Add(out.Trace.Hedged + out.Trace.RetriesDue)
	requestsDenied.Add(out.Trace.Denied)
	outcome := outcomeName(out)
	m.outcomes[outcome].Inc()
	route := routeLabels.label(c.Route.Name)
	metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_route_calls_total{route=%q,outcome=%q}`, route, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`radishturn_route_seconds{route=%q}`, route)).Update(time.Since(c.Arrived).Seconds())
	observePriority(c, out)
	if out.Err != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_call_failures_total{code=%q,step=%q}`, out.Err.Code, out.Err.Step)).Inc()
	}
	return out
}

// maxRouteLabels bounds the number of routes with their own time series, since
// routes are added and removed with the routing table. The others share the label
// otherRoutesLabel.
const (
	maxRouteLabels   = 64
	otherRoutesLabel = "other"
)

// boundedLabels gives the first maxRouteLabels names labels of their own.
type boundedLabels struct {
	mu    sync.Mutex
	names map[string]bool
}

var routeLabels = boundedLabels{names: make(map[string]bool)}

func (l *boundedLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.names[name]:
		return name
	case len(l.names) >= maxRouteLabels:
		return otherRoutesLabel
	}
	l.names[name] = true
	return name
}

// outcomeName returns the outcome of a call as a metric label value. It also counts
// the parts missing from a partial answer.
func outcomeName(out Outcome) string {
	switch {
	case out.Answer != nil && out.Answer.Missing == 0:
		return outcomeWhole
	case out.Answer != nil:
		partsMissing.Add(out.Answer.Missing)
		return outcomePartial
	case out.Reply != nil:
		return outcomeForwarded
	case out.NotRun():
		return outcomeRefused
	}
	return outcomeFailed
}

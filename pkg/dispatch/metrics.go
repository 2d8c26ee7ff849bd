package dispatch

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// outcomes of calls, as label values.
const (
	outcomeWhole   = "whole"
	outcomePartial = "partial"
	outcomePassed  = "passed"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
)

// callMetrics are the metrics of one kind of call.
type callMetrics struct {
	seconds  *metrics.Histogram
	outcomes map[string]*metrics.Counter
}

func newCallMetrics(kind string) callMetrics {
	m := callMetrics{
		seconds:  metrics.GetOrCreateHistogram(fmt.Sprintf(`radishturn_call_seconds{kind=%q}`, kind)),
		outcomes: make(map[string]*metrics.Counter),
	}
	for _, o := range []string{outcomeWhole, outcomePartial, outcomePassed, outcomeRefused, outcomeFailed} {
		m.outcomes[o] = metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_calls_total{kind=%q,outcome=%q}`, kind, o))
	}
	return m
}

var (
	callsToOne     = newCallMetrics("one")
	callsToShards  = newCallMetrics("shards")
	targetSeconds  = metrics.GetOrCreateHistogram("radishturn_target_seconds")
	requestsSent   = metrics.GetOrCreateCounter("radishturn_target_requests_total")
	requestsHedged = metrics.GetOrCreateCounter("radishturn_target_requests_extra_total")
	extrasDenied   = metrics.GetOrCreateCounter("radishturn_target_requests_denied_total")
	partsMissing   = metrics.GetOrCreateCounter("radishturn_parts_missing_total")
)

// observe counts a call that has ended.
func observe(c *Call, out Outcome) Outcome {
	m := callsToOne
	if c.Route.Fanout != nil {
		m = callsToShards
	}
	m.seconds.Update(time.Since(c.Arrived).Seconds())
	requestsSent.Add(out.Trace.Sent)
	requestsHedged.Add(out.Trace.Hedged + out.Trace.Retried)
	extrasDenied.Add(out.Trace.Denied)
	outcome := outcomeName(out)
	m.outcomes[outcome].Inc()
	route := routeLabels.bound(c.Route.Name)
	metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_route_calls_total{route=%q,outcome=%q}`, route, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`radishturn_route_seconds{route=%q}`, route)).Update(time.Since(c.Arrived).Seconds())
	if out.Err != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_call_failures_total{code=%q,step=%q}`, out.Err.Code, out.Err.Step)).Inc()
	}
	return out
}

// maxRouteLabels bounds the routes with series of their own, and otherRoutes is
// the label of the rest. Routes come and go with the table.
const (
	maxRouteLabels = 64
	otherRoutes    = "other"
)

// labelSet gives the first names that come labels of their own.
type labelSet struct {
	mu    sync.Mutex
	names map[string]bool
}

var routeLabels = labelSet{names: make(map[string]bool)}

func (l *labelSet) bound(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.names[name]:
		return name
	case len(l.names) >= maxRouteLabels:
		return otherRoutes
	}
	l.names[name] = true
	return name
}

func outcomeName(out Outcome) string {
	switch {
	case out.Answer != nil && out.Answer.Missing == 0:
		return outcomeWhole
	case out.Answer != nil:
		partsMissing.Add(out.Answer.Missing)
		return outcomePartial
	case out.Reply != nil:
		return outcomePassed
	case out.NotRun():
		return outcomeRefused
	}
	return outcomeFailed
}

package dispatch

import (
	"fmt"
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
	requestsHedged.Add(out.Trace.Hedged + out.Trace.Repeated)
	extrasDenied.Add(out.Trace.Denied)
	m.outcomes[outcomeName(out)].Inc()
	return out
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

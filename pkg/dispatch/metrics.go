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

var (
	callSeconds = map[string]*metrics.Histogram{
		"one":    metrics.GetOrCreateHistogram(`radishturn_call_seconds{kind="one"}`),
		"shards": metrics.GetOrCreateHistogram(`radishturn_call_seconds{kind="shards"}`),
	}
	targetSeconds  = metrics.GetOrCreateHistogram("radishturn_target_seconds")
	requestsSent   = metrics.GetOrCreateCounter("radishturn_target_requests_total")
	requestsHedged = metrics.GetOrCreateCounter("radishturn_target_requests_extra_total")
	extrasDenied   = metrics.GetOrCreateCounter("radishturn_target_requests_denied_total")
	partsMissing   = metrics.GetOrCreateCounter("radishturn_parts_missing_total")
)

// observe counts a call that has ended.
func observe(c *Call, out Outcome) Outcome {
	kind := "one"
	if c.Route.Fanout != nil {
		kind = "shards"
	}
	callSeconds[kind].Update(time.Since(c.Arrived).Seconds())
	requestsSent.Add(out.Trace.Sent)
	requestsHedged.Add(out.Trace.Hedged + out.Trace.Repeated)
	extrasDenied.Add(out.Trace.Denied)
	metrics.GetOrCreateCounter(fmt.Sprintf(`radishturn_calls_total{kind=%q,outcome=%q}`, kind, outcomeName(out))).Inc()
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

package fanout

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/target"
)

// queryMetrics holds the metrics of the query path. Label values come from fixed
// sets, which bounds the number of time series.
type queryMetrics struct {
	attempts       [target.KindCancelled + 1]*metrics.Counter
	orderAttempts  [target.KindCancelled + 1]*metrics.Counter
	leafLatency    *metrics.Histogram
	queryLatency   *metrics.Histogram
	wholeAnswers   *metrics.Counter
	partialAnswers *metrics.Counter
}

func newQueryMetrics() *queryMetrics {
	m := &queryMetrics{
		leafLatency:    metrics.GetOrCreateHistogram("radishturn_query_leaf_seconds"),
		queryLatency:   metrics.GetOrCreateHistogram("radishturn_query_seconds"),
		wholeAnswers:   metrics.GetOrCreateCounter("radishturn_query_whole_answers_total"),
		partialAnswers: metrics.GetOrCreateCounter("radishturn_query_partial_answers_total"),
	}
	for k := range m.attempts {
		m.attempts[k] = metrics.GetOrCreateCounter(
			fmt.Sprintf("radishturn_query_leaf_requests_total{result=%q}", target.Kind(k)))
	}
	for k := range m.orderAttempts {
		m.orderAttempts[k] = metrics.GetOrCreateCounter(
			fmt.Sprintf("radishturn_query_order_attempts_total{result=%q}", target.Kind(k)))
	}
	return m
}

func (m *queryMetrics) recordOrderAttempt(k target.Kind) { m.orderAttempts[k].Inc() }

func (m *queryMetrics) recordAttempt(k target.Kind, elapsed time.Duration) {
	m.attempts[k].Inc()
	if k == target.KindOK {
		m.leafLatency.Update(elapsed.Seconds())
	}
}

func (m *queryMetrics) recordQuery(elapsed time.Duration) { m.queryLatency.Update(elapsed.Seconds()) }

// countAnswer counts an answer as whole or partial. It is called before the answer is
// checked against the required coverage, so one that is refused counts as partial, and
// so does a query that no leaf answered.
func (m *queryMetrics) countAnswer(fraction float64) {
	if fraction >= 1 {
		m.wholeAnswers.Inc()
		return
	}
	m.partialAnswers.Inc()
}

func (m *queryMetrics) recordRefusal(code failure.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf("radishturn_query_refusals_total{code=%q}", string(code))).Inc()
}

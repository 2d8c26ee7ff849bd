package fanout

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/target"
)

// metricSet holds the counters of the query path. Label values come from fixed sets.
type metricSet struct {
	attempts  [target.KindCancelled + 1]*metrics.Counter
	orders    [target.KindCancelled + 1]*metrics.Counter
	leafTime  *metrics.Histogram
	queryTime *metrics.Histogram
	covered   *metrics.Counter
	partial   *metrics.Counter
}

func newMetricSet() *metricSet {
	m := &metricSet{
		leafTime:  metrics.GetOrCreateHistogram("radishturn_query_leaf_seconds"),
		queryTime: metrics.GetOrCreateHistogram("radishturn_query_seconds"),
		covered:   metrics.GetOrCreateCounter("radishturn_query_whole_answers_total"),
		partial:   metrics.GetOrCreateCounter("radishturn_query_partial_answers_total"),
	}
	for k := range m.attempts {
		m.attempts[k] = metrics.GetOrCreateCounter(
			fmt.Sprintf("radishturn_query_leaf_requests_total{result=%q}", target.Kind(k)))
	}
	for k := range m.orders {
		m.orders[k] = metrics.GetOrCreateCounter(
			fmt.Sprintf("radishturn_query_order_attempts_total{result=%q}", target.Kind(k)))
	}
	return m
}

func (m *metricSet) order(k target.Kind) { m.orders[k].Inc() }

func (m *metricSet) attempt(k target.Kind, elapsed time.Duration) {
	m.attempts[k].Inc()
	if k == target.KindOK {
		m.leafTime.Update(elapsed.Seconds())
	}
}

func (m *metricSet) query(elapsed time.Duration) { m.queryTime.Update(elapsed.Seconds()) }

func (m *metricSet) coverage(fraction float64) {
	if fraction >= 1 {
		m.covered.Inc()
		return
	}
	m.partial.Inc()
}

func (m *metricSet) refused(code failure.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf("radishturn_query_refusals_total{code=%q}", string(code))).Inc()
}

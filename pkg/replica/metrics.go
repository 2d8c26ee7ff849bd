package replica

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// nodeMetrics are the metrics of one process; a process has one node.
type nodeMetrics struct {
	syncs     *metrics.Histogram
	batches   *metrics.Counter
	accepted  *metrics.Counter
	elections *metrics.Counter
	losses    *metrics.Counter
	snapshots *metrics.Counter
	dropped   *metrics.Counter
}

func newMetrics() *nodeMetrics {
	return &nodeMetrics{
		syncs:     metrics.GetOrCreateHistogram("radishturn_control_sync_seconds"),
		batches:   metrics.GetOrCreateCounter("radishturn_control_batches_total"),
		accepted:  metrics.GetOrCreateCounter("radishturn_control_commands_applied_total"),
		elections: metrics.GetOrCreateCounter("radishturn_control_leaders_total"),
		losses:    metrics.GetOrCreateCounter("radishturn_control_leadership_losses_total"),
		snapshots: metrics.GetOrCreateCounter("radishturn_control_snapshots_total"),
		dropped:   metrics.GetOrCreateCounter("radishturn_control_messages_dropped_total"),
	}
}

func (m *nodeMetrics) synced(took time.Duration) {
	m.batches.Inc()
	m.syncs.Update(took.Seconds())
}

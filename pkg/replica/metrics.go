package replica

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/consensus"
)

// nodeMetrics are the metrics of one process; a process has one node.
type nodeMetrics struct {
	syncs           *metrics.Histogram
	batches         *metrics.Counter
	commandsApplied *metrics.Counter
	// leadersSeen counts every leader that this member learns of.
	leadersSeen      *metrics.Counter
	leadershipLosses *metrics.Counter
	snapshots        *metrics.Counter
	droppedMessages  *metrics.Counter
	// withoutLeader is for how many seconds no leader has been known.
	withoutLeader *metrics.Gauge
	// lossesTolerated is NaN unless this member is the leader.
	lossesTolerated *metrics.Gauge
	// diskFull is 1 while the event loop waits for space on the disk.
	diskFull           *metrics.Gauge
	diskFullWaits      *metrics.Counter
	snapshotsAbandoned *metrics.Counter
}

func newMetrics() *nodeMetrics {
	return &nodeMetrics{
		syncs:              metrics.GetOrCreateHistogram("radishturn_control_sync_seconds"),
		batches:            metrics.GetOrCreateCounter("radishturn_control_batches_total"),
		commandsApplied:    metrics.GetOrCreateCounter("radishturn_control_commands_applied_total"),
		leadersSeen:        metrics.GetOrCreateCounter("radishturn_control_leaders_total"),
		leadershipLosses:   metrics.GetOrCreateCounter("radishturn_control_leadership_losses_total"),
		snapshots:          metrics.GetOrCreateCounter("radishturn_control_snapshots_total"),
		droppedMessages:    metrics.GetOrCreateCounter("radishturn_control_messages_dropped_total"),
		lossesTolerated:    metrics.GetOrCreateGauge("radishturn_control_losses_tolerated", nil),
		diskFull:           metrics.GetOrCreateGauge("radishturn_control_disk_full", nil),
		diskFullWaits:      metrics.GetOrCreateCounter("radishturn_control_disk_full_total"),
		snapshotsAbandoned: metrics.GetOrCreateCounter("radishturn_control_snapshots_abandoned_total"),
		withoutLeader:      metrics.GetOrCreateGauge("radishturn_control_seconds_without_leader", nil),
	}
}

// countRefusals counts the refused votes among messages of peers by their reason.
func (m *nodeMetrics) countRefusals(messages []consensus.Message) {
	for _, message := range messages {
		if reply := message.VoteReply; reply != nil && !reply.Granted {
			metrics.GetOrCreateCounter(fmt.Sprintf("radishturn_control_votes_refused_total{reason=%q}", reply.Refusal)).Inc()
		}
	}
}

func (m *nodeMetrics) observeSync(took time.Duration) {
	m.batches.Inc()
	m.syncs.Update(took.Seconds())
}

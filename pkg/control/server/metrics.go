package server

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/duty"
)

var (
	renewalsServed          = metrics.GetOrCreateCounter("radishturn_control_renewals_total")
	leasesExpired           = metrics.GetOrCreateCounter("radishturn_control_leases_run_out_total")
	orderBatches            = metrics.GetOrCreateCounter("radishturn_control_order_batches_total")
	orderChanges            = metrics.GetOrCreateCounter("radishturn_control_order_changes_total")
	rulesAccepted           = metrics.GetOrCreateCounter("radishturn_control_rules_accepted_total")
	fingerprintsQuarantined = metrics.GetOrCreateCounter("radishturn_control_fingerprints_condemned_total")
	dutiesAcquired          = metrics.GetOrCreateCounter("radishturn_control_duties_acquired_total")
	windowsDecided          = metrics.GetOrCreateCounter("radishturn_control_usage_windows_decided_total")
)

// countUsageCall counts a call to the platform by its answer.
func countUsageCall(a duty.Answer) {
	metrics.GetOrCreateCounter(fmt.Sprintf("radishturn_control_usage_calls_total{answer=%q}", a)).Inc()
}

package server

import "github.com/VictoriaMetrics/metrics"

var (
	renewalsServed          = metrics.GetOrCreateCounter("radishturn_control_renewals_total")
	leasesExpired           = metrics.GetOrCreateCounter("radishturn_control_leases_run_out_total")
	orderBatches            = metrics.GetOrCreateCounter("radishturn_control_order_batches_total")
	orderChanges            = metrics.GetOrCreateCounter("radishturn_control_order_changes_total")
	rulesAccepted           = metrics.GetOrCreateCounter("radishturn_control_rules_accepted_total")
	fingerprintsQuarantined = metrics.GetOrCreateCounter("radishturn_control_fingerprints_condemned_total")
)

package lease

import "github.com/VictoriaMetrics/metrics"

var (
	renewalsOK     = metrics.GetOrCreateCounter(`radishturn_lease_renewals_total{result="ok"}`)
	renewalsFailed = metrics.GetOrCreateCounter(`radishturn_lease_renewals_total{result="failed"}`)
	renewalTime    = metrics.GetOrCreateHistogram("radishturn_lease_renewal_seconds")
	pollsTotal     = metrics.GetOrCreateCounter("radishturn_lease_polls_total")
)

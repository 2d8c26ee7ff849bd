package claims

import "github.com/VictoriaMetrics/metrics"

var (
	claimTime          = metrics.GetOrCreateHistogram("radishturn_order_claim_seconds")
	claimsGranted      = metrics.GetOrCreateCounter(`radishturn_order_claims_total{result="granted"}`)
	claimsHeld         = metrics.GetOrCreateCounter(`radishturn_order_claims_total{result="held"}`)
	claimsRefused      = metrics.GetOrCreateCounter(`radishturn_order_claims_total{result="refused"}`)
	claimsFailed       = metrics.GetOrCreateCounter(`radishturn_order_claims_total{result="failed"}`)
	outcomesUnrecorded = metrics.GetOrCreateCounter("radishturn_order_outcomes_unsaved_total")
)

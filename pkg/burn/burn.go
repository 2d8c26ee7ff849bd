// Package burn reports how fast the error budgets of the service-level
// objectives are spent, over several windows at once.
package burn

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Kind tells queries from orders.
type Kind string

// Kinds of observations.
const (
	KindQuery Kind = "query"
	KindOrder Kind = "order"
)

// Observation is one finished request of a caller.
type Observation struct {
	At               time.Time
	Kind             Kind
	Collection       model.CollectionID
	AvailabilityZone model.AvailabilityZoneID
	// Version is the version that served most leaves; empty if none did.
	Version model.VersionID
	Route   model.Route
	Caller  model.CallerID
	Latency time.Duration
	// Coverage is the covered fraction, 0 for a request that failed.
	Coverage float64
	// Failed is set when the request got no answer for a reason on our side.
	Failed bool
}

// Recorder counts observations. Record never blocks and is safe for many
// goroutines; the labels that it keeps are bounded.
type Recorder interface {
	Record(o Observation)
}

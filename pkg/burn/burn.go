// Package burn computes the burn rates of the error budgets of service-level
// objectives over several windows.
package burn

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Kind distinguishes queries from orders.
type Kind string

// Kinds of observations.
const (
	KindQuery Kind = "query"
	KindOrder Kind = "order"
)

// Observation describes one finished request of a caller.
type Observation struct {
	At               time.Time
	Kind             Kind
	Collection       model.CollectionID
	AvailabilityZone model.AvailabilityZoneID
	// Version is the version that served most of the leaves; empty if none did.
	Version model.VersionID
	Route   model.Route
	Caller  model.CallerID
	Latency time.Duration
	// Coverage is the covered fraction; 0 for a failed request.
	Coverage float64
	// Failed is set when the request got no answer because of a server-side fault.
	Failed bool
}

// Recorder counts observations. Record never blocks and is safe for concurrent use;
// the number of distinct values of a dimension that it keeps is bounded.
type Recorder interface {
	Record(o Observation)
}

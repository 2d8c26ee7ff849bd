// Package routing is the routing table: routes by host and path prefix, the services
// that they lead to, and the limits of what callers may send. A new version
// of the table takes effect as a whole, but only its differences to the version before
// are sent (see TableDelta).
package routing

import (
	"math"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Table is one version of the routing table. It is immutable once it is in use.
type Table struct {
	// Version orders tables; the highest accepted one is in force.
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Source is the document from which the table was read, as its author sent
	// it. Entry instances do not receive it.
	Source []byte `cbor:"5,keyasint,omitempty"`
	// Callers are the accounts of clients. If there are any, each request needs the key
	// of one of them, except on public routes.
	Callers []Caller `cbor:"6,keyasint,omitempty"`
}

// Route describes how requests to one host with a path prefix are handled. It is
// unrelated to model.Route.
type Route struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Prefix begins and ends with a slash.
	Prefix string `cbor:"3,keyasint"`
	// Idempotent requests may be executed more than once.
	Idempotent bool `cbor:"4,keyasint"`
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Objective is the latency that answers should meet; 0 means that there is no
	// objective. pkg/gather ends its wait in time to meet it, provided that the
	// required parts have arrived.
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// MaxAttempts limits the targets that one request is sent to, for each shard.
	MaxAttempts int `cbor:"7,keyasint"`
	// Priority is the rank of the route; 0 is the highest.
	Priority int `cbor:"8,keyasint,omitempty"`
	// Split divides the requests of the route among services. It is set on routes
	// without a fan-out; a route to a single service has one entry.
	Split []Weighted `cbor:"9,keyasint,omitempty"`
	// Fanout is set on routes that query many shards; Split is then empty.
	Fanout *Fanout `cbor:"10,keyasint,omitempty"`
	// Public means that requests need no key.
	Public bool `cbor:"11,keyasint,omitempty"`
}

// Weighted is a service with its share of a route's requests.
type Weighted struct {
	Service model.ServiceID `cbor:"1,keyasint"`
	Weight  float64         `cbor:"2,keyasint"`
}

// Fanout describes a query over many shards.
type Fanout struct {
	// Shards are the services that hold one part of the documents each.
	Shards []model.ServiceID `cbor:"1,keyasint"`
	// MaxRecords is the maximum number of records in an answer.
	MaxRecords int `cbor:"2,keyasint"`
	// MinShardShare is the minimum fraction of shards in an answer, from 0 to 1.
	MinShardShare float64 `cbor:"3,keyasint"`
}

// Service is a set of interchangeable targets. In a fan-out, each service is one shard;
// in the collections of the settings, a service has several leaves instead (see
// model.LeafID).
type Service struct {
	Name model.ServiceID `cbor:"1,keyasint"`
	// Connections is the number of connections that one target accepts from
	// all instances together.
	Connections int `cbor:"2,keyasint"`
	// ColdRate is how many requests per second a cold target can handle from all
	// instances together; 0 means that cold targets are not limited.
	ColdRate float64 `cbor:"3,keyasint,omitempty"`
	// HealthPath is the path of the targets' health endpoint.
	HealthPath string `cbor:"4,keyasint,omitempty"`
}

// Limits restrict what a caller may send.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int           `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// ShardsRequired returns the minimum number of shards in an answer.
func (f *Fanout) ShardsRequired() int {
	n := len(f.Shards)
	need := int(math.Ceil(min(max(0, f.MinShardShare), 1) * float64(n)))
	return max(1, min(need, n))
}

// RoutedServices returns the services that routes name.
func (t *Table) RoutedServices() map[model.ServiceID]bool {
	services := make(map[model.ServiceID]bool)
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, w := range r.Split {
			services[w.Service] = true
		}
		if r.Fanout != nil {
			for _, s := range r.Fanout.Shards {
				services[s] = true
			}
		}
	}
	return services
}

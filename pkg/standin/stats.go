package standin

import (
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// counters are the counters of one target. They survive its crashes.
type counters struct {
	requests, extraRequests, served     atomic.Int64
	refusedConnections                  atomic.Int64
	shed, draining, notHeld             atomic.Int64
	cancelled, expired, failed          atomic.Int64
	coldRequests, coldOverloads         atomic.Int64
	knownColdOverloads                  atomic.Int64
	crashes, ordersRun, damagedReplies  atomic.Int64
	lastRequestMs                       atomic.Int64
	inFlight, connections, coldInFlight gauge
}

// Counts are the counters, current values and maxima of one target or of several.
// Over several targets they are sums, or the largest of the maxima.
type Counts struct {
	// Requests is the number of queries and orders received.
	Requests int64 `json:"requests"`
	// ExtraRequests is the number of hedges and retries: requests that the same
	// leaf had already received.
	ExtraRequests int64 `json:"extraRequests"`
	// Served is the number of requests processed to the end.
	Served             int64 `json:"served"`
	RefusedConnections int64 `json:"refusedConnections"`
	// Shed, Draining and NotHeld are the numbers of requests refused because of
	// overload or a shed fault, because the target was draining, and because it
	// did not hold the requested snapshot.
	Shed     int64 `json:"shed"`
	Draining int64 `json:"draining"`
	NotHeld  int64 `json:"notHeld"`
	// Cancelled is the number of requests that the sender cancelled, Expired of
	// those whose deadline passed, and Failed of those answered with the status
	// of a fail fault.
	Cancelled int64 `json:"cancelled"`
	Expired   int64 `json:"expired"`
	Failed    int64 `json:"failed"`
	// ColdRequests is the number of requests that a cold target started to
	// process.
	ColdRequests int64 `json:"coldRequests"`
	// ColdOverloads is the number of requests that raised the load of a cold
	// target above its cold load.
	ColdOverloads int64 `json:"coldOverloads"`
	// KnownColdOverloads is the number of those requests that came more than a
	// second after the first signal that the target was cold: its restart or a
	// reply with that state.
	KnownColdOverloads int64 `json:"knownColdOverloads"`
	// ColdTargets is the number of targets that are currently cold.
	ColdTargets int64 `json:"coldTargets"`
	// MaxWarmUp is the longest warm-up time of a target, in milliseconds.
	MaxWarmUp int64 `json:"maxWarmUpMs"`
	Crashes   int64 `json:"crashes"`
	OrdersRun int64 `json:"ordersRun"`
	// DamagedReplies is the number of replies damaged by a fault.
	DamagedReplies int64 `json:"damagedReplies"`
	// MaxInFlight, MaxColdInFlight and MaxConnections are the maxima at any one
	// target.
	MaxInFlight     int64 `json:"maxInFlight"`
	MaxColdInFlight int64 `json:"maxColdInFlight"`
	MaxConnections  int64 `json:"maxConnections"`
	// Connections is the number of currently open connections.
	Connections int64 `json:"connections"`
	InFlight    int64 `json:"inFlight"`
	// LastRequest is the time of the latest request, in milliseconds since the
	// start of the stand-in; 0 means that there was none.
	LastRequest int64 `json:"lastRequestMs"`
}

// Add adds other to c. It takes the larger of two maxima.
func (c *Counts) Add(other Counts) {
	c.Requests += other.Requests
	c.ExtraRequests += other.ExtraRequests
	c.Served += other.Served
	c.RefusedConnections += other.RefusedConnections
	c.Shed += other.Shed
	c.Draining += other.Draining
	c.NotHeld += other.NotHeld
	c.Cancelled += other.Cancelled
	c.Expired += other.Expired
	c.Failed += other.Failed
	c.ColdRequests += other.ColdRequests
	c.ColdOverloads += other.ColdOverloads
	c.KnownColdOverloads += other.KnownColdOverloads
	c.Crashes += other.Crashes
	c.OrdersRun += other.OrdersRun
	c.DamagedReplies += other.DamagedReplies
	c.Connections += other.Connections
	c.InFlight += other.InFlight
	c.ColdTargets += other.ColdTargets
	c.MaxWarmUp = max(c.MaxWarmUp, other.MaxWarmUp)
	c.MaxInFlight = max(c.MaxInFlight, other.MaxInFlight)
	c.MaxColdInFlight = max(c.MaxColdInFlight, other.MaxColdInFlight)
	c.MaxConnections = max(c.MaxConnections, other.MaxConnections)
	c.LastRequest = max(c.LastRequest, other.LastRequest)
}

// Since returns the difference of the counters to earlier. Maxima and current
// values are those of c.
func (c Counts) Since(earlier Counts) Counts {
	c.Requests -= earlier.Requests
	c.ExtraRequests -= earlier.ExtraRequests
	c.Served -= earlier.Served
	c.RefusedConnections -= earlier.RefusedConnections
	c.Shed -= earlier.Shed
	c.Draining -= earlier.Draining
	c.NotHeld -= earlier.NotHeld
	c.Cancelled -= earlier.Cancelled
	c.Expired -= earlier.Expired
	c.Failed -= earlier.Failed
	c.ColdRequests -= earlier.ColdRequests
	c.ColdOverloads -= earlier.ColdOverloads
	c.KnownColdOverloads -= earlier.KnownColdOverloads
	c.Crashes -= earlier.Crashes
	c.OrdersRun -= earlier.OrdersRun
	c.DamagedReplies -= earlier.DamagedReplies
	return c
}

// resetMaxima restarts the maxima at the current values.
func (c *counters) resetMaxima() {
	c.inFlight.resetMax()
	c.coldInFlight.resetMax()
	c.connections.resetMax()
}

func (c *counters) counts() Counts {
	return Counts{
		Requests:           c.requests.Load(),
		ExtraRequests:      c.extraRequests.Load(),
		Served:             c.served.Load(),
		RefusedConnections: c.refusedConnections.Load(),
		Shed:               c.shed.Load(),
		Draining:           c.draining.Load(),
		NotHeld:            c.notHeld.Load(),
		Cancelled:          c.cancelled.Load(),
		Expired:            c.expired.Load(),
		Failed:             c.failed.Load(),
		ColdRequests:       c.coldRequests.Load(),
		ColdOverloads:      c.coldOverloads.Load(),
		KnownColdOverloads: c.knownColdOverloads.Load(),
		Crashes:            c.crashes.Load(),
		OrdersRun:          c.ordersRun.Load(),
		DamagedReplies:     c.damagedReplies.Load(),
		Connections:        c.connections.current.Load(),
		InFlight:           c.inFlight.current.Load(),
		MaxInFlight:        c.inFlight.max.Load(),
		MaxColdInFlight:    c.coldInFlight.max.Load(),
		MaxConnections:     c.connections.max.Load(),
		LastRequest:        c.lastRequestMs.Load(),
	}
}

// TargetStats are the statistics of one target.
type TargetStats struct {
	ID               model.TargetID           `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Version          model.VersionID          `json:"version"`
	Up               bool                     `json:"up"`
	Cold             bool                     `json:"cold"`
	Counts
}

// OrderSummary summarizes the runs of orders.
type OrderSummary struct {
	Keys int `json:"keys"`
	Runs int `json:"runs"`
	// KeysWithMultipleRuns is the number of keys with more than one run.
	KeysWithMultipleRuns int `json:"repeatedKeys"`
}

// Stats is the body of a reply on StatsPath.
type Stats struct {
	// Milliseconds since the start of the stand-in.
	Milliseconds      int64                               `json:"milliseconds"`
	Total             Counts                              `json:"total"`
	AvailabilityZones map[model.AvailabilityZoneID]Counts `json:"availabilityZones"`
	Versions          map[model.VersionID]Counts          `json:"versions"`
	Collections       map[model.CollectionID]Counts       `json:"collections"`
	Orders            OrderSummary                        `json:"orders"`
	// Targets is empty in a summary.
	Targets []TargetStats `json:"targets,omitempty"`
}

// Stats returns the statistics. It includes those of each target if withTargets
// is set.
func (s *Standin) Stats(withTargets bool) Stats {
	stats := Stats{
		Milliseconds:      time.Since(s.start).Milliseconds(),
		AvailabilityZones: make(map[model.AvailabilityZoneID]Counts),
		Versions:          make(map[model.VersionID]Counts),
		Collections:       make(map[model.CollectionID]Counts),
		Orders:            s.orders.summary(),
	}
	for _, t := range s.targets {
		c := t.counts()
		stats.Total.Add(c)
		addTo(stats.AvailabilityZones, t.AvailabilityZone, c)
		addTo(stats.Versions, t.Version, c)
		addTo(stats.Collections, t.Collection, c)
		if withTargets {
			stats.Targets = append(stats.Targets, t.stats(c))
		}
	}
	return stats
}

func addTo[K comparable](sums map[K]Counts, key K, c Counts) {
	sum := sums[key]
	sum.Add(c)
	sums[key] = sum
}

// counts returns the counters and the state of the warm-up.
func (t *target) counts() Counts {
	c := t.counters.counts()
	c.MaxWarmUp = time.Duration(t.warmUp.maxDuration.Load()).Milliseconds()
	if t.warmUp.isCold() {
		c.ColdTargets = 1
	}
	return c
}

func (t *target) stats(c Counts) TargetStats {
	return TargetStats{
		ID:               t.ID,
		AvailabilityZone: t.AvailabilityZone,
		Version:          t.Version,
		Up:               t.isUp(),
		Cold:             t.warmUp.isCold(),
		Counts:           c,
	}
}

package standin

import (
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// counters are what one target counts. They outlive its crashes.
type counters struct {
	requests, extra, served           atomic.Int64
	refusedConnections                atomic.Int64
	shed, draining, notHeld           atomic.Int64
	cancelled, expired, failed        atomic.Int64
	coldRequests, coldOverloads       atomic.Int64
	knownColdOverloads                atomic.Int64
	crashes, ordersRun, damaged       atomic.Int64
	lastRequest                       atomic.Int64
	inFlight, connections, coldFlight gauge
}

// Counts are the counters of one target or the sums over several.
type Counts struct {
	// Requests is the number of queries and orders that arrived.
	Requests int64 `json:"requests"`
	// ExtraRequests counts requests whose leaf had already seen the same
	// request: hedges and retries.
	ExtraRequests int64 `json:"extraRequests"`
	// Served is the number of requests that ran to their end.
	Served             int64 `json:"served"`
	RefusedConnections int64 `json:"refusedConnections"`
	Shed               int64 `json:"shed"`
	Draining           int64 `json:"draining"`
	NotHeld            int64 `json:"notHeld"`
	Cancelled          int64 `json:"cancelled"`
	Expired            int64 `json:"expired"`
	Failed             int64 `json:"failed"`
	// ColdRequests is the number of requests that arrived at a cold target.
	ColdRequests int64 `json:"coldRequests"`
	// ColdOverloads counts requests that took a cold target above its cold load.
	ColdOverloads int64 `json:"coldOverloads"`
	// KnownColdOverloads counts those of them that came over a second after
	// the target's first sign: its restart or a reply that said it is cold.
	KnownColdOverloads int64 `json:"knownColdOverloads"`
	// ColdTargets is the number of targets that are cold now.
	ColdTargets int64 `json:"coldTargets"`
	// MaxWarmUp is the longest time in which a target turned warm, in
	// milliseconds.
	MaxWarmUp int64 `json:"maxWarmUpMs"`
	Crashes   int64 `json:"crashes"`
	OrdersRun int64 `json:"ordersRun"`
	// DamagedReplies counts replies that were damaged on purpose.
	DamagedReplies int64 `json:"damagedReplies"`
	// MaxInFlight, MaxColdInFlight and MaxConnections are the largest values
	// at one target.
	MaxInFlight     int64 `json:"maxInFlight"`
	MaxColdInFlight int64 `json:"maxColdInFlight"`
	MaxConnections  int64 `json:"maxConnections"`
	// Connections is the number of connections open now.
	Connections int64 `json:"connections"`
	InFlight    int64 `json:"inFlight"`
	// LastRequest is when the newest request arrived, in milliseconds since
	// the start of the stand-in; 0 means that none did.
	LastRequest int64 `json:"lastRequestMs"`
}

// Add adds other to c; of largest values it keeps the larger.
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

// Since returns what was counted after earlier. Largest values and values of
// the moment stay as they are.
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

// resetLargest starts the largest values anew.
func (c *counters) resetLargest() {
	c.inFlight.resetMax()
	c.coldFlight.resetMax()
	c.connections.resetMax()
}

func (c *counters) counts() Counts {
	return Counts{
		Requests:           c.requests.Load(),
		ExtraRequests:      c.extra.Load(),
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
		DamagedReplies:     c.damaged.Load(),
		Connections:        c.connections.now.Load(),
		InFlight:           c.inFlight.now.Load(),
		MaxInFlight:        c.inFlight.max.Load(),
		MaxColdInFlight:    c.coldFlight.max.Load(),
		MaxConnections:     c.connections.max.Load(),
		LastRequest:        c.lastRequest.Load(),
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

// OrderSummary counts the runs of orders.
type OrderSummary struct {
	Keys int `json:"keys"`
	Runs int `json:"runs"`
	// RepeatedKeys is the number of keys that ran more than once.
	RepeatedKeys int `json:"repeatedKeys"`
}

// Stats are all statistics of the stand-in.
type Stats struct {
	// Milliseconds since the start of the stand-in.
	Milliseconds      int64                               `json:"milliseconds"`
	Total             Counts                              `json:"total"`
	AvailabilityZones map[model.AvailabilityZoneID]Counts `json:"availabilityZones"`
	Versions          map[model.VersionID]Counts          `json:"versions"`
	Collections       map[model.CollectionID]Counts       `json:"collections"`
	Orders            OrderSummary                        `json:"orders"`
	// Targets is left out of a summary.
	Targets []TargetStats `json:"targets,omitempty"`
}

// Stats returns the statistics, with those of each target if withTargets is set.
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

// counts adds the state of warmth to the counters.
func (t *target) counts() Counts {
	c := t.counters.counts()
	c.MaxWarmUp = time.Duration(t.warmth.longest.Load()).Milliseconds()
	if t.warmth.isCold() {
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
		Cold:             t.warmth.isCold(),
		Counts:           c,
	}
}

package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// crossZoneCost is added to the cost of a target in another availability zone,
	// in usual latencies. It keeps traffic within the zone while the targets there
	// perform about as well.
	crossZoneCost = 0.6
	// connectDelay is the expected delay of a request that needs a new connection.
	connectDelay = 9 * time.Millisecond
	// onDemandCost is added to the cost of a target outside this instance's subset,
	// in usual latencies and on top of connectDelay.
	onDemandCost = 0.4
	// preconnectInterval is the time between connections that are opened before any
	// request needs them.
	preconnectInterval = 15 * time.Millisecond
)

// registry holds the targets of all services as listed in the latest view.
type registry struct {
	self model.InstanceID
	zone model.AvailabilityZoneID
	// shared is what the pools of all targets have in common.
	shared pool.Shared
	delays *zoneDelays
	// onDemandIdle bounds the idle on-demand connections to all services together.
	onDemandIdle *pool.IdleBound
	// freed is called when a connection to a target of a service may be free.
	freed func(model.ServiceID)

	current atomic.Pointer[registryState]
	mu      sync.Mutex
	// preconnects queues targets whose first connection is still to be opened.
	preconnects chan *target
}

// registryState is the immutable state of the registry for one view.
type registryState struct {
	view     *view.View
	targets  map[model.TargetID]*target
	services map[model.ServiceID]serviceTargets
}

// serviceTargets divides the targets of a service. own is this instance's subset, to
// which it keeps connections. It connects to the others on demand, while one of them
// has the lower expected cost.
type serviceTargets struct {
	own, onDemand []*target
	// maxConnections is the instance's connection limit over all of the targets.
	maxConnections int
}

// maxPreconnectQueue is the capacity of the preconnect queue.
const maxPreconnectQueue = 4096

func newRegistry(self model.InstanceID, zone model.AvailabilityZoneID, shared pool.Shared) *registry {
	r := &registry{
		self: self, zone: zone, shared: shared, delays: newZoneDelays(zone), onDemandIdle: pool.NewIdleBound(), freed: func(model.ServiceID) {},
		preconnects: make(chan *target, maxPreconnectQueue),
	}
	r.current.Store(&registryState{view: &view.View{}})
	return r
}

// stateOf returns the state for the view that latest returns, and builds it if the view
// is new.
func (r *registry) stateOf(latest func() *view.View) *registryState {
	state := r.current.Load()
	if state.view == latest() {
		return state
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state = r.current.Load()
	// A newer view may have been put in force before the lock was held.
	v := latest()
	if state.view != v {
		state = r.buildState(state, v)
		r.current.Store(state)
		// Requests may wait for targets that are new, or may be used again.
		for service := range state.services {
			r.freed(service)
		}
	}
	return state
}

// buildState builds the state for a new view. Targets that are still listed keep their
// connections and health.
func (r *registry) buildState(old *registryState, v *view.View) *registryState {
	if v.Catalog == old.view.Catalog && v.Routing == old.view.Routing &&
		slices.Equal(v.Instances, old.view.Instances) && maps.Equal(v.Evacuated, old.view.Evacuated) {
		next := *old
		next.view = v
		return &next
	}
	var added []*target
	eligible := make(map[model.ServiceID][]*target)
	next := &registryState{view: v, targets: make(map[model.TargetID]*target), services: make(map[model.ServiceID]serviceTargets)}
	for id, listed := range listedTargets(v.Catalog) {
		t := old.targets[id]
		if t == nil || t.Target != listed {
			t = r.updateTarget(t, listed)
			added = append(added, t)
		}
		next.targets[id] = t
		if !t.Leaving && !v.Evacuated[t.AvailabilityZone] {
			eligible[t.Service] = append(eligible[t.Service], t)
		}
	}
	for id, t := range old.targets {
		if next.targets[id] == nil {
			t.pool.Close()
			events.Emit(events.TargetLeaving, id, "no longer listed")
		}
	}
	subsets := newSubsetter(v, r.self, r.zone)
	r.boundOnDemandIdle(subsets, eligible)
	for service, targets := range eligible {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		next.services[service] = r.applySubset(subsets, service, targets)
	}
	logListed(added, len(next.targets))
	return next
}

// maxTargetListedEvents bounds the log lines per change of the target list.
const maxTargetListedEvents = 8

// logListed logs each new or changed target, or one summary if there are many.
func logListed(listed []*target, total int) {
	if len(listed) > maxTargetListedEvents {
		events.Emit(events.TargetsListed, len(listed), total)
		return
	}
	for _, t := range listed {
		events.Emit(events.TargetListed, t.ID, t.Service, t.Address, t.AvailabilityZone, t.Leaving)
	}
}

func listedTargets(c *catalog.Set) map[model.TargetID]model.Target {
	if c == nil {
		return nil
	}
	return c.Targets
}

// updateTarget returns the target for a new or changed entry. Connections and
// health are kept while the address stays the same.
func (r *registry) updateTarget(old *target, listed model.Target) *target {
	if old != nil && old.Address == listed.Address && old.Born == listed.Born {
		if listed.Leaving && !old.Leaving {
			events.Emit(events.TargetLeaving, listed.ID, "listed as leaving")
		}
		return &target{Target: listed, process: old.process}
	}
	if old != nil {
		old.pool.Close()
	}
	shared := r.shared
	shared.Freed = func() { r.freed(listed.Service) }
	t := &target{Target: listed, process: &process{
		pool:   pool.New(listed.ID, listed.Address.String(), shared, minConnectionLimit),
		health: health{concurrency: listed.Concurrency},
	}}
	return t
}

// applySubset selects this instance's subset of a service's targets. It sets the
// connection limits and cold intervals of all targets, and queues those new to the
// subset for a first connection.
func (r *registry) applySubset(s subsetter, service model.ServiceID, targets []*target) serviceTargets {
	own, limit := s.subset(service, targets)
	p := serviceTargets{own: own, maxConnections: len(own)*limit + (len(targets)-len(own))*minConnectionLimit}
	maxIdle := s.onDemandIdle(service, len(targets))
	bound := r.onDemandIdle
	if _, fits := s.restartRoom(service, len(targets)); !fits {
		bound = nil
	}
	for _, t := range targets {
		t.setColdInterval(s.coldInterval(t))
		if !slices.Contains(own, t) {
			t.pool.SetLimit(minConnectionLimit, maxIdle)
			t.pool.SetIdleBound(bound)
			p.onDemand = append(p.onDemand, t)
			continue
		}
		t.pool.SetLimit(limit, 0)
		t.pool.SetIdleBound(nil)
		if !t.preconnectRequested.Swap(true) {
			r.requestPreconnect(t)
		}
	}
	return p
}

func (r *registry) requestPreconnect(t *target) {
	select {
	case r.preconnects <- t:
	default:
		// The first request opens the connection instead.
	}
}

// selection holds the criteria for choosing a target.
type selection struct {
	service model.ServiceID
	now     time.Duration
	// usual is the usual latency of the route, and work its usual work at targets that
	// report their pace.
	usual, work time.Duration
	// further is set for a hedge or retry.
	further bool
	// fleetCosts are the costs of expensive targets as reported by the fleet.
	fleetCosts map[model.TargetID]float64
	// request is what is to be sent; nil if that does not matter.
	request *exchange.Request
	// skip reports targets to leave out; nil for none.
	skip func(*target) bool
}

// choose returns the target with the least expected cost, if there is one.
func (r *registry) choose(state *registryState, c selection) choice {
	var chosen chooser
	consider := func(targets []*target, extra float64) {
		for _, t := range targets {
			if c.skip != nil && c.skip(t) {
				continue
			}
			if p, ok := r.price(t, c, t.pool.Availability()); ok {
				p.cost += extra
				chosen.consider(t, p)
			}
		}
	}
	consider(state.services[c.service].own, 0)
	consider(state.services[c.service].onDemand, onDemandCost)
	return chosen.choice()
}

// price returns the expected cost of a request to a target, or false if the target must
// not get one.
func (r *registry) price(t *target, c selection, connections pool.Availability) (price, bool) {
	cost, paced, ok := t.cost(c.now)
	if !ok {
		return price{}, false
	}
	if c.request != nil && !t.pool.HasRoom(c.request) {
		return price{}, false
	}
	cost = max(cost, c.fleetCosts[t.ID])
	var connect time.Duration
	switch connections {
	case pool.Full:
		return price{}, false
	case pool.CanOpen:
		connect = connectDelay
	}
	if paced {
		return r.completionPrice(t, c, cost, connect), true
	}
	cost += float64(connect) / float64(max(c.usual, time.Millisecond))
	if t.AvailabilityZone != r.zone {
		cost += crossZoneCost
	}
	// A small random term spreads requests over targets of equal cost.
	return price{cost: cost + 0.05*rand.Float64()}, true
}

// hasUsableTarget reports whether some target of the service may get a request now.
func (rs *registryState) hasUsableTarget(service model.ServiceID, now time.Duration) bool {
	usable := func(t *target) bool {
		_, _, ok := t.cost(now)
		return ok
	}
	s := rs.services[service]
	return slices.ContainsFunc(s.own, usable) || slices.ContainsFunc(s.onDemand, usable)
}

// pauseLeft returns how long it takes until the first of the service's targets that
// have asked for a pause may get a request again; 0 if none has.
func (rs *registryState) pauseLeft(service model.ServiceID, now time.Duration) time.Duration {
	var least time.Duration
	s := rs.services[service]
	for _, targets := range [][]*target{s.own, s.onDemand} {
		for _, t := range targets {
			if left := t.pauseLeft(now); left > 0 && (least == 0 || left < least) {
				least = left
			}
		}
	}
	return least
}

// anyConnection reports whether some target of the service has a free connection, or may
// get another one.
func (rs *registryState) anyConnection(service model.ServiceID) bool {
	free := func(t *target) bool { return t.pool.Availability() != pool.Full }
	s := rs.services[service]
	return slices.ContainsFunc(s.own, free) || slices.ContainsFunc(s.onDemand, free)
}

// usableAt returns when the first of the service's targets that may not get a request now
// may get one again by the passing of time; 0 if there is none.
func (rs *registryState) usableAt(service model.ServiceID, now time.Duration) time.Duration {
	var first time.Duration
	s := rs.services[service]
	for _, targets := range [][]*target{s.own, s.onDemand} {
		for _, t := range targets {
			if at := t.usableAt(now); at > 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}

// ready reports whether both the routing table and the catalog are known.
func (rs *registryState) ready() bool { return rs.view.Routing != nil && rs.view.Catalog != nil }

// table returns the routing table of the state.
func (rs *registryState) table() *routing.Index { return rs.view.Routing }

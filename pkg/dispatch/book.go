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
	// distance is the cost of another availability zone, in usual latencies. It
	// keeps traffic within the zone while its targets do about as well.
	distance = 0.6
	// connectTime is what a request waits for a new connection to its target.
	connectTime = 9 * time.Millisecond
	// borrowCost is the cost of a connection to a target that is not one of this
	// instance's own, in usual latencies, beside the time that it takes.
	borrowCost = 0.4
	// warmPause is the time between connections that are opened ahead of use.
	warmPause = 15 * time.Millisecond
)

// book holds the targets of all services as the newest view lists them.
type book struct {
	codec exchange.Codec
	self  model.InstanceID
	zone  model.AvailabilityZoneID

	current atomic.Pointer[page]
	mu      sync.Mutex
	// warmed are targets waiting for their first connection.
	warm    chan *target
	caution *pool.ResetGuard
}

// page is an immutable picture of the book.
type page struct {
	view     *view.View
	targets  map[model.TargetID]*target
	services map[model.ServiceID]pair
}

// pair divides the targets of a service: this instance keeps connections to its
// own ones, and borrows one to a spare target while that is the better choice.
type pair struct {
	own, spare []*target
	// connections is how many it may have to all of them.
	connections int
}

// maxWarm bounds the targets that wait for a connection ahead of use.
const maxWarm = 4096

func newBook(codec exchange.Codec, self model.InstanceID, zone model.AvailabilityZoneID) *book {
	b := &book{codec: codec, self: self, zone: zone, warm: make(chan *target, maxWarm), caution: pool.NewResetGuard()}
	b.current.Store(&page{view: &view.View{}})
	return b
}

// at returns the page that belongs to a view, which is made if it is new.
func (b *book) at(v *view.View) *page {
	p := b.current.Load()
	if p.view == v {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p = b.current.Load()
	if p.view != v {
		p = b.turn(p, v)
		b.current.Store(p)
	}
	return p
}

// turn makes the page of a new view and keeps the targets that go on.
func (b *book) turn(old *page, v *view.View) *page {
	if v.Catalog == old.view.Catalog && v.Routing == old.view.Routing &&
		slices.Equal(v.Instances, old.view.Instances) && maps.Equal(v.Evacuated, old.view.Evacuated) {
		next := *old
		next.view = v
		return &next
	}
	var listedAnew []*target
	usable := make(map[model.ServiceID][]*target)
	next := &page{view: v, targets: make(map[model.TargetID]*target), services: make(map[model.ServiceID]pair)}
	for id, listed := range listedTargets(v.Catalog) {
		t := old.targets[id]
		if t == nil || t.Target != listed {
			t = b.replace(t, listed)
			listedAnew = append(listedAnew, t)
		}
		next.targets[id] = t
		if !t.Leaving && !v.Evacuated[t.AvailabilityZone] {
			usable[t.Service] = append(usable[t.Service], t)
		}
	}
	for id, t := range old.targets {
		if next.targets[id] == nil {
			t.pool.Close()
			events.Emit(events.TargetLeaving, id, "no longer listed")
		}
	}
	crowd := newCrowd(v, b.self, b.zone)
	for service, targets := range usable {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		next.services[service] = b.divide(crowd, service, targets)
	}
	announceListed(listedAnew, len(next.targets))
	return next
}

// maxListedLines bounds the lines on one change of the list.
const maxListedLines = 8

// announceListed writes a line for each new target, or one for many.
func announceListed(listed []*target, total int) {
	if len(listed) > maxListedLines {
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

// replace returns the target of a new or changed entry. The connections and
// the evidence of the same process are kept.
func (b *book) replace(old *target, listed model.Target) *target {
	if old != nil && old.Address == listed.Address {
		if listed.Leaving && !old.Leaving {
			events.Emit(events.TargetLeaving, listed.ID, "listed as leaving")
		}
		return &target{Target: listed, process: old.process}
	}
	if old != nil {
		old.pool.Close()
	}
	t := &target{Target: listed, process: &process{
		pool:   pool.New(listed.ID, listed.Address.String(), b.codec, b.caution, spareConnections),
		health: health{slots: listed.Concurrency},
	}}
	return t
}

// divide chooses this instance's own targets of a service, sets their shares of
// connections and asks for a first one.
func (b *book) divide(c crowd, service model.ServiceID, targets []*target) pair {
	own, share := c.subset(service, targets)
	p := pair{own: own, connections: len(own)*share + (len(targets)-len(own))*spareConnections}
	borrowTime := c.borrowTime(service, len(targets))
	for _, t := range targets {
		t.limitCold(c.coldGap(t))
		if !slices.Contains(own, t) {
			t.pool.SetLimit(spareConnections, borrowTime)
			p.spare = append(p.spare, t)
			continue
		}
		t.pool.SetLimit(share, 0)
		if !t.warmed.Swap(true) {
			b.askWarm(t)
		}
	}
	return p
}

func (b *book) askWarm(t *target) {
	select {
	case b.warm <- t:
	default:
		// The first request opens the connection instead.
	}
}

// choice is what a target is chosen for.
type choice struct {
	service model.ServiceID
	now     time.Duration
	// usual is the usual latency of the route.
	usual time.Duration
	// dear are targets that cost more than usual as others see them.
	dear map[model.TargetID]float64
	// skip names targets that are left out; nil for none.
	skip func(*target) bool
}

// choose returns the target with the least expected cost, or nil.
func (b *book) choose(p *page, c choice) *target {
	var best *target
	var least float64
	consider := func(targets []*target, extra float64) {
		for _, t := range targets {
			if c.skip != nil && c.skip(t) {
				continue
			}
			cost, ok := b.costOf(t, c)
			if ok && (best == nil || cost+extra < least) {
				best, least = t, cost+extra
			}
		}
	}
	consider(p.services[c.service].own, 0)
	consider(p.services[c.service].spare, borrowCost)
	return best
}

// costOf returns the expected cost of a request to a target, in usual
// latencies, or false if the target gets none.
func (b *book) costOf(t *target, c choice) (float64, bool) {
	cost, ok := t.cost(c.now)
	if !ok {
		return 0, false
	}
	cost = max(cost, c.dear[t.ID])
	switch t.pool.Availability() {
	case pool.Full:
		return 0, false
	case pool.CanOpen:
		cost += float64(connectTime) / float64(max(c.usual, time.Millisecond))
	}
	if t.AvailabilityZone != b.zone {
		cost += distance
	}
	// A small random part spreads targets of equal cost.
	return cost + 0.05*rand.Float64(), true
}

// reachable reports whether some target of the service may get requests.
func (p *page) reachable(service model.ServiceID, now time.Duration) bool {
	usable := func(t *target) bool {
		_, ok := t.cost(now)
		return ok
	}
	s := p.services[service]
	return slices.ContainsFunc(s.own, usable) || slices.ContainsFunc(s.spare, usable)
}

// serves reports whether a table is known to which the targets belong.
func (p *page) serves() bool { return p.view.Routing != nil && p.view.Catalog != nil }

// table returns the routing table of the page.
func (p *page) table() *routing.Index { return p.view.Routing }

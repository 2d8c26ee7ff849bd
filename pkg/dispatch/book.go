package dispatch

import (
	"cmp"
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
	// defaultConnections is the share of connections for services that no table
	// names yet.
	defaultConnections = 1
	// connectionSafety leaves room for connections of processes that have ended
	// and that their targets still count.
	connectionSafety = 0.9
	// warmPause is the time between connections that are opened ahead of use.
	warmPause = 15 * time.Millisecond
)

// book holds the targets of all services as the newest view lists them.
type book struct {
	codec exchange.Codec
	zone  model.AvailabilityZoneID

	current atomic.Pointer[page]
	mu      sync.Mutex
	// warmed are targets waiting for their first connection.
	warm chan *target
}

// page is an immutable picture of the book.
type page struct {
	view     *view.View
	targets  map[model.TargetID]*target
	services map[model.ServiceID][]*target
}

// maxWarm bounds the targets that wait for a connection ahead of use.
const maxWarm = 4096

func newBook(codec exchange.Codec, zone model.AvailabilityZoneID) *book {
	b := &book{codec: codec, zone: zone, warm: make(chan *target, maxWarm)}
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
	if v.Catalog == old.view.Catalog && v.Routing == old.view.Routing && len(v.Instances) == len(old.view.Instances) {
		next := *old
		next.view = v
		return &next
	}
	var listedAnew []*target
	next := &page{view: v, targets: make(map[model.TargetID]*target), services: make(map[model.ServiceID][]*target)}
	for id, listed := range listedTargets(v.Catalog) {
		t := old.targets[id]
		if t == nil || t.Target != listed {
			t = b.replace(t, listed)
			listedAnew = append(listedAnew, t)
		}
		t.pool.SetLimit(connectionShare(v, listed.Service))
		next.targets[id] = t
		next.services[listed.Service] = append(next.services[listed.Service], t)
	}
	for id, t := range old.targets {
		if next.targets[id] == nil {
			t.pool.Close()
			events.Emit(events.TargetLeaving, id, "no longer listed")
		}
	}
	for _, targets := range next.services {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
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
		pool:   pool.New(listed.ID, listed.Address.String(), b.codec, defaultConnections),
		health: health{slots: listed.Concurrency},
	}}
	if !listed.Leaving {
		select {
		case b.warm <- t:
		default:
		}
	}
	return t
}

// connectionShare is this instance's part of the connections that a target of
// the service accepts.
func connectionShare(v *view.View, service model.ServiceID) int {
	if v.Routing == nil {
		return defaultConnections
	}
	s := v.Routing.Service(service)
	if s == nil || s.Connections == 0 {
		return defaultConnections
	}
	return max(1, int(connectionSafety*float64(s.Connections)/float64(max(1, len(v.Instances)))))
}

// choose returns the target of a service with the least expected cost, or nil.
// Those in skip are left out.
func (b *book) choose(p *page, service model.ServiceID, now time.Duration, skip func(*target) bool) *target {
	var best *target
	var least float64
	for _, t := range p.services[service] {
		if p.view.Evacuated[t.AvailabilityZone] || skip != nil && skip(t) {
			continue
		}
		cost, ok := t.cost(now)
		if !ok || !t.pool.Available() {
			continue
		}
		if t.AvailabilityZone != b.zone {
			cost += distance
		}
		// A small random part spreads targets of equal cost.
		cost += 0.05 * rand.Float64()
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

// reachable reports whether some target of the service may get requests.
func (p *page) reachable(service model.ServiceID, now time.Duration) bool {
	return slices.ContainsFunc(p.services[service], func(t *target) bool {
		if p.view.Evacuated[t.AvailabilityZone] {
			return false
		}
		_, ok := t.cost(now)
		return ok
	})
}

// serves reports whether a table is known to which the targets belong.
func (p *page) serves() bool { return p.view.Routing != nil && p.view.Catalog != nil }

// table returns the routing table of the page.
func (p *page) table() *routing.Index { return p.view.Routing }

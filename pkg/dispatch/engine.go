// Package dispatch passes callers' requests to targets: to one target of a
// service, or to one target of each shard of a query. It chooses targets,
// hedges and repeats within the retry budget, and says truly how it ended.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// Options configure an Engine.
type Options struct {
	Instance         model.InstanceID
	AvailabilityZone model.AvailabilityZoneID
	Views            view.Source
	Codec            exchange.Codec
	// Reporter takes what this instance uses of the fleet's retry budget; nil
	// where instances keep budgets of their own.
	Reporter view.Reporter
	// Extra bounds hedges and repeats over the fleet, for each service.
	Extra retry.Bound
}

// Engine passes requests on.
type Engine struct {
	opts   Options
	origin time.Time
	book   *book

	mu      sync.Mutex
	stats   map[string]*routeStats
	budgets map[model.ServiceID]*retry.Budget
	// usage counts requests since the last report to the leader.
	usage map[model.ServiceID]retry.Usage
	// costs are what replies cost since the last report.
	costs map[model.TargetID]catalog.Sample
	// reportedTerm is the term of the leader that the last report was for.
	reportedTerm uint64
	turns        map[string]*turn
}

// New returns an Engine.
func New(o Options) *Engine {
	return &Engine{
		opts: o, origin: time.Now(), book: newBook(o.Codec, o.Instance, o.AvailabilityZone),
		stats:   make(map[string]*routeStats),
		budgets: make(map[model.ServiceID]*retry.Budget),
		usage:   make(map[model.ServiceID]retry.Usage),
		costs:   make(map[model.TargetID]catalog.Sample),
		turns:   make(map[string]*turn),
	}
}

// Call is a caller's request with what is known of its way here.
type Call struct {
	Request *exchange.Request
	Route   *routing.Route
	// Arrived is when the request was read.
	Arrived time.Time
	// Timeout is how long the caller waits, from Arrived.
	Timeout time.Duration
	// Elapsed is the estimated time that the caller waited before Arrived.
	Elapsed time.Duration

	page  *page
	stats *routeStats
}

// Table returns the routing table in force, or nil if this instance cannot
// serve yet.
func (e *Engine) Table() *routing.Index {
	p := e.page()
	if !p.serves() {
		return nil
	}
	return p.table()
}

func (e *Engine) page() *page { return e.book.at(e.opts.Views.View()) }

// now returns the time on the monotonic clock.
func (e *Engine) now() time.Duration { return time.Since(e.origin) }

// prepare fills in what the call works with.
func (e *Engine) prepare(c *Call) {
	c.page = e.page()
	e.opts.Codec.Prepare(c.Request)
	key := c.Route.Host + c.Route.Prefix
	e.mu.Lock()
	defer e.mu.Unlock()
	c.stats = e.stats[key]
	if c.stats == nil {
		c.stats = newRouteStats(c.Route.Objective)
		e.stats[key] = c.stats
	}
}

func (e *Engine) budget(s model.ServiceID) *retry.Budget {
	b := e.budgets[s]
	if b == nil {
		b = &retry.Budget{}
		e.budgets[s] = b
	}
	return b
}

// noteFirst counts the first requests to services.
func (e *Engine) noteFirst(services ...model.ServiceID) {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range services {
		e.budget(s).Note(now, e.opts.Extra)
		u := e.usage[s]
		u.First++
		e.usage[s] = u
	}
}

const (
	// reserveShare is the part of this instance's own share that only requests
	// without which a call fails may use.
	reserveShare = 0.35
	// allowanceLife is how long the leader's word on the fleet's budget holds.
	allowanceLife = 1500 * time.Millisecond
)

// takeExtra reports whether a service may get an extra request, and counts it.
// A needed one may use the reserve.
func (e *Engine) takeExtra(s model.ServiceID, needed bool) bool {
	v, now := e.opts.Views.View(), e.now()
	allowance := v.Extra
	if time.Since(v.ExtraAt) > allowanceLife {
		allowance = nil
	}
	reserve := reserveShare
	if needed {
		reserve = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.budget(s).TakeShared(now, e.member(v), s, allowance, reserve) {
		return false
	}
	u := e.usage[s]
	u.Extra++
	e.usage[s] = u
	return true
}

// member is this instance's place in the fleet.
func (e *Engine) member(v *view.View) retry.Member {
	return retry.Member{Fleet: e.opts.Extra, Instances: len(v.Instances), Ordinal: e.book.at(v).ordinal}
}

// reportUsage tells the leader what was used since the last report.
func (e *Engine) reportUsage() {
	if e.opts.Reporter == nil {
		return
	}
	usage, costs := e.takeUsage(), e.takeCosts()
	if len(usage)+len(costs) > 0 {
		e.opts.Reporter.Report(view.Evidence{Usage: usage, Costs: costs})
	}
}

// noteCost counts a reply for the fleet's picture of the targets.
func (e *Engine) noteCost(id model.TargetID, cost float32) {
	if cost == 0 || e.opts.Reporter == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.costs[id]
	s.Target, s.Sum, s.Count = id, s.Sum+cost, s.Count+1
	e.costs[id] = s
}

func (e *Engine) takeCosts() []catalog.Sample {
	e.mu.Lock()
	defer e.mu.Unlock()
	costs := slices.Collect(maps.Values(e.costs))
	clear(e.costs)
	return costs
}

// takeUsage returns what was used since the last report, or in the whole window
// for a leader that is new.
func (e *Engine) takeUsage() []retry.Usage {
	var term uint64
	if c := e.opts.Views.View().Catalog; c != nil {
		term = c.Position.Term
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var usage []retry.Usage
	if term != e.reportedTerm {
		e.reportedTerm = term
		for s, b := range e.budgets {
			first, extra := b.Window(e.now(), e.opts.Extra)
			usage = append(usage, retry.Usage{Service: s, First: first, Extra: extra})
		}
	} else {
		for s, u := range e.usage {
			u.Service = s
			usage = append(usage, u)
		}
	}
	clear(e.usage)
	return usage
}

// Run opens connections ahead of use until ctx is done, and follows the view
// while no requests come.
func (e *Engine) Run(ctx context.Context) error {
	// At the first start the other instances have to be known before the targets
	// can be divided among them.
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(warmDelay):
	}
	ticker := time.NewTicker(warmPause)
	defer ticker.Stop()
	idle := time.NewTicker(followInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			e.page()
			e.reportUsage()
		case <-ticker.C:
			e.warmOne()
		}
	}
}

// warmDelay is the time from the start to the first connection ahead of use.
const warmDelay = time.Second

// followInterval is how often the view is looked at without a request.
const followInterval = 200 * time.Millisecond

func (e *Engine) warmOne() {
	select {
	case t := <-e.book.warm:
		go func() {
			if err := t.pool.Warm(); err != nil {
				events.Emit(events.TargetUnreached, t.ID, err)
			}
		}()
	default:
	}
}

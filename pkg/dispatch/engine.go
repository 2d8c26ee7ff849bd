// Package dispatch passes callers' requests to targets: to one target of a
// service, or to one target of each shard of a query. It chooses targets,
// hedges and repeats within the retry budget, and says truly how it ended.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/query/versions"
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
	// Reporter takes what targets cost this instance; nil for none.
	Reporter view.Reporter
	// Extra bounds hedges and repeats over the fleet, for each service.
	Extra retry.Bound
}

// Engine passes requests on.
type Engine struct {
	opts   Options
	origin time.Time
	book   *book
	lines  lineBounds

	mu      sync.Mutex
	stats   map[string]*routeStats
	budgets map[model.ServiceID]*retry.Budget
	turns   map[string]*turn
	// costs are what replies cost since the last report.
	costs map[model.TargetID]catalog.CostSample
	// gates are by the first shard of the queries.
	gates map[model.ServiceID]*gate
	// proven are requests that some target has answered.
	proven *poison.Proven
	// moves are the services whose traffic moves between versions.
	moves map[model.ServiceID]*moving
}

// budgetSafety is the part of the retry budget that the instances share out.
const budgetSafety = 0.85

// New returns an Engine.
func New(o Options) *Engine {
	return &Engine{
		opts: o, origin: time.Now(), book: newBook(o.Codec, o.Instance, o.AvailabilityZone), lines: newLineBounds(),
		stats:   make(map[string]*routeStats),
		budgets: make(map[model.ServiceID]*retry.Budget),
		turns:   make(map[string]*turn),
		costs:   make(map[model.TargetID]catalog.CostSample),
		moves:   make(map[model.ServiceID]*moving),
		gates:   make(map[model.ServiceID]*gate),
		proven:  poison.NewProven(),
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

// exploreShare is the share of choices that pass over what others say of the
// targets, so that a target that has recovered is noticed.
const exploreShare = 0.04

// choose returns the target for the next request of a call, or nil. Repeat is
// set if there was a request before; skip names targets to leave out.
func (e *Engine) choose(c *Call, service model.ServiceID, now time.Duration, repeat bool, skip func(*target) bool) *target {
	want := choice{service: service, now: now, usual: c.stats.usual(), skip: skip}
	if e.opts.Views.Lease() == view.LeaseHeld && rand.Float64() >= exploreShare {
		want.dear = c.page.view.ExpensiveTargets
	}
	rank := e.rankFor(c, service, repeat)
	if rank == nil {
		return e.book.choose(c.page, want)
	}
	for _, worst := range []versions.Rank{versions.Primary, versions.Fallback} {
		want.skip = func(t *target) bool {
			return rank(t) > worst || skip != nil && skip(t)
		}
		if t := e.book.choose(c.page, want); t != nil {
			return t
		}
	}
	return nil
}

func (e *Engine) bound() retry.Bound {
	return e.opts.Extra.Share(len(e.opts.Views.View().Instances), budgetSafety)
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
	bound, now := e.bound(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range services {
		e.budget(s).Note(now, bound)
	}
}

// reserveShare is the part of the constant budget that only requests without
// which a call fails may use.
const reserveShare = 0.35

// takeExtra reports whether a service may get an extra request, and counts it.
// A needed one may use the reserve.
func (e *Engine) takeExtra(s model.ServiceID, needed bool) bool {
	bound, now := e.bound(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budget(s)
	if !needed && b.Left(now, bound) < 1+reserveShare*bound.Slack {
		return false
	}
	return b.Take(now, bound)
}

// extraLeft returns how many extra requests a service may get from this instance.
func (e *Engine) extraLeft(s model.ServiceID) float64 {
	bound, now := e.bound(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(s).Left(now, bound)
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
			e.reportCosts()
			e.followMoves()
		case <-ticker.C:
			e.warmOne()
		}
	}
}

// warmDelay is the time from the start to the first connection ahead of use.
const warmDelay = time.Second

// followInterval is how often the view is looked at without a request, and what
// targets cost is reported.
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

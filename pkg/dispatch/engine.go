// Package dispatch forwards callers' requests to targets: to one target of a
// service, or to one target of each shard of a query. It selects targets, hedges
// and retries within the retry budget, and reports whether a target may have run
// the request.
//
// A further request of a call to the same service or shard is a hedge or a retry.
// It is an extra request, which uses the retry budget, if an earlier one may have
// arrived at a target.
//
// Costs of requests to targets are multiples of the route's usual latency (see
// routeStats).
package dispatch

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/boottime"
	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/usage"
	"radishturn.example/radishturn/pkg/view"
)

// Options configure an Engine.
type Options struct {
	Instance         model.InstanceID
	AvailabilityZone model.AvailabilityZoneID
	Views            view.Source
	Codec            exchange.Codec
	// BodyMemory bounds the replies of targets that are held at a time; nil means
	// without limit.
	BodyMemory *membudget.Budget
	// Dial opens connections to targets; pool.DialTCP if it is nil.
	Dial pool.DialFunc
	// Reporter receives what this instance observes of targets: request costs,
	// crashes and the outcomes of version moves. It may be nil.
	Reporter view.Reporter
	// RetryBudget bounds the extra requests of the fleet to each service.
	RetryBudget retry.Bound
	// Usage counts the calls of each caller that targets may have run; nil means that they
	// are not counted.
	Usage usage.Recorder
}

// Engine forwards requests to targets.
type Engine struct {
	opts        Options
	origin      time.Time
	registry    *registry
	logLimiters logLimiters
	pauses      *boottime.PauseWatch
	// connectionQueues holds the calls that wait for a connection.
	connectionQueues *connectionQueues

	mu          sync.Mutex
	stats       map[string]*routeStats
	budgets     map[model.ServiceID]*retry.Budget
	roundRobins map[string]*roundRobin
	// costs are the request costs since the last report.
	costs map[model.TargetID]catalog.CostSample
	// startQueues is keyed by the first shard of the route: routes with the same first
	// shard share a queue.
	startQueues map[model.ServiceID]*startQueue
	// answered holds fingerprints of requests that some target has answered.
	answered *poison.AnsweredSet
	// versionTrackers has an entry for each service whose traffic moves between
	// versions.
	versionTrackers map[model.ServiceID]*versionTracker
}

// budgetSafety is the safety factor on the fleet's retry budget (see
// retry.Bound.ForInstance).
const budgetSafety = 0.85

// New returns an Engine.
func New(o Options) *Engine {
	pauses := new(boottime.PauseWatch)
	shared := pool.Shared{
		Codec: o.Codec, Dial: o.Dial, ResetGuard: pool.NewResetGuard(), Memory: o.BodyMemory, PausedWithin: pauses.PausedWithin,
	}
	e := &Engine{
		opts: o, origin: time.Now(), pauses: pauses, registry: newRegistry(o.Instance, o.AvailabilityZone, shared), logLimiters: newLogLimiters(),
		stats:           make(map[string]*routeStats),
		budgets:         make(map[model.ServiceID]*retry.Budget),
		roundRobins:     make(map[string]*roundRobin),
		costs:           make(map[model.TargetID]catalog.CostSample),
		versionTrackers: make(map[model.ServiceID]*versionTracker),
		startQueues:     make(map[model.ServiceID]*startQueue),
		answered:        poison.NewAnsweredSet(),
	}
	e.connectionQueues = newConnectionQueues(e.now)
	e.registry.freed = e.connectionQueues.wake
	return e
}

// BodyMemory returns the budget for message bodies; nil means without limit.
func (e *Engine) BodyMemory() *membudget.Budget { return e.opts.BodyMemory }

// Call is a caller's request with its route and timing, which hold from its arrival on.
type Call struct {
	Request *exchange.Request
	Route   *routing.Route
	// Arrived is when the request was read.
	Arrived time.Time
	// Timeout is how long the caller waits, from Arrived.
	Timeout time.Duration
	// Elapsed is the estimated time that the caller had waited before Arrived.
	Elapsed time.Duration
	// Caller is the account of the request; empty if it has none.
	Caller model.CallerID
	// Priority orders calls: the account's, or else the route's. 0 is the highest.
	Priority int
	// Recheck returns why the call may no longer run, or nil if it may. It is called
	// before each request to a target and whenever the call has waited. A nil Recheck
	// means that the call always may.
	Recheck func() *failure.Error

	// usageCounted is set once the call was counted for its caller.
	usageCounted atomic.Bool

	pinned pinnedView
	stats  *routeStats
}

// Table returns the routing table in force, or nil if this instance cannot
// serve yet.
func (e *Engine) Table() *routing.Index {
	state := e.registryState()
	if !state.ready() {
		return nil
	}
	return state.table()
}

func (e *Engine) registryState() *registryState { return e.registry.stateOf(e.opts.Views.View) }

// now returns the time on the monotonic clock.
func (e *Engine) now() time.Duration { return time.Since(e.origin) }

// prepare sets what the call pins and the statistics that it uses.
func (e *Engine) prepare(c *Call) {
	c.pinned = pinnedView{tableVersion: e.current().table().Version()}
	e.opts.Codec.Prepare(c.Request)
	c.stats = e.statsOf(c.Route)
}

// exploreShare is the share of choices that ignore the costs reported by the fleet,
// so that a target that has recovered is noticed.
const exploreShare = 0.04

// choose returns the target for the next request of a call, if there is one. further is set
// if an earlier request was sent; skip reports targets to leave out.
func (e *Engine) choose(c *Call, current currentView, service model.ServiceID, now time.Duration, further bool, skip func(*target) bool) choice {
	criteria := selection{
		service: service, now: now, usual: c.stats.usual(), work: c.stats.usualWork(), request: c.Request, further: further, skip: skip,
		ownFirst: e.restrained(current, time.Now()),
	}
	// The fleet's costs may be outdated once the lease has expired.
	if e.opts.Views.Lease() == view.LeaseHeld && rand.Float64() >= exploreShare {
		criteria.fleetCosts = current.view.ExpensiveTargets
	}
	rank := e.versionRank(c, current, service, further)
	if rank == nil {
		return e.registry.choose(current.registryState, criteria)
	}
	for _, worst := range []versions.Rank{versions.Primary, versions.Fallback} {
		criteria.skip = func(t *target) bool {
			return rank(t) > worst || skip != nil && skip(t)
		}
		if chosen := e.registry.choose(current.registryState, criteria); chosen.target != nil {
			return chosen
		}
	}
	return choice{}
}

// UsualLatency returns the usual latency of a route's requests to targets; 0 means
// unknown.
func (e *Engine) UsualLatency(r *routing.Route) time.Duration { return e.statsOf(r).usual() }

// statsOf returns the statistics of a route.
func (e *Engine) statsOf(r *routing.Route) *routeStats {
	key := r.Host + r.Prefix
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats[key]
	if s == nil {
		s = newRouteStats(r.Objective)
		e.stats[key] = s
	}
	return s
}

func (e *Engine) retryBound() retry.Bound {
	return e.opts.RetryBudget.ForInstance(len(e.opts.Views.View().Instances), budgetSafety)
}

func (e *Engine) budget(s model.ServiceID) *retry.Budget {
	b := e.budgets[s]
	if b == nil {
		b = &retry.Budget{}
		e.budgets[s] = b
	}
	return b
}

// recordFirst counts the first request of a call to each service, which earns
// retry budget.
func (e *Engine) recordFirst(services ...model.ServiceID) {
	bound, now := e.retryBound(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range services {
		e.budget(s).RecordRequest(now, bound)
	}
}

// reserveShare is the share of Slack, the constant part of the budget, that is
// reserved for extra requests without which the call fails.
const reserveShare = 0.35

// takeExtraRequest reports whether the retry budget of a service allows an extra
// request, and counts it if so. A request that the call needs may use the reserve.
func (e *Engine) takeExtraRequest(s model.ServiceID, needed bool) bool {
	bound, now := e.retryBound(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budget(s)
	if !needed && b.Remaining(now, bound) < 1+reserveShare*bound.Slack {
		return false
	}
	return b.Take(now, bound)
}

// extraRequestsLeft returns how many extra requests this instance may still send to
// a service.
func (e *Engine) extraRequestsLeft(s model.ServiceID) float64 {
	bound, now := e.retryBound(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(s).Remaining(now, bound)
}

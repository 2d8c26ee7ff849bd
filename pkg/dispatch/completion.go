package dispatch

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/query/expected"
)

// Targets that report their pace are chosen by expected completion. The others keep
// their cost, see registry.price.

const (
	// maxPacedCost bounds the cost reported to the fleet for a reply with a pace. A pause
	// of a target that works again is thereby not published as a slow target.
	maxPacedCost = 4
)

// zoneDelays are the learned delays of requests to availability zones.
type zoneDelays struct {
	own model.AvailabilityZoneID

	mu     sync.Mutex
	delays map[model.AvailabilityZoneID]*expected.Delay
}

func newZoneDelays(own model.AvailabilityZoneID) *zoneDelays {
	return &zoneDelays{own: own, delays: make(map[model.AvailabilityZoneID]*expected.Delay)}
}

// of returns the delay to a zone; 0 for the instance's own.
func (z *zoneDelays) of(zone model.AvailabilityZoneID) time.Duration {
	if zone == z.own {
		return 0
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if d := z.delays[zone]; d != nil {
		return d.Value()
	}
	return new(expected.Delay).Value()
}

func (z *zoneDelays) record(zone model.AvailabilityZoneID, latency, explained time.Duration) {
	if zone == z.own {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	d := z.delays[zone]
	if d == nil {
		d = new(expected.Delay)
		z.delays[zone] = d
	}
	d.Record(latency, explained)
}

// price is the result of weighing a target.
type price struct {
	// cost is what targets are compared by, in usual latencies.
	cost float64
	// completion is how long the request is expected to take; 0 if the target does not
	// report its pace.
	completion time.Duration
}

// choice is a chosen target with what is expected of it.
type choice struct {
	*target
	// completion is the expected latency of the request, and next that of one to the
	// second choice; 0 if unknown.
	completion, next time.Duration
}

// chooser finds the two targets of least cost.
type chooser struct {
	best          *target
	first, second price
	hasSecond     bool
}

// consider weighs another target.
func (c *chooser) consider(t *target, p price) {
	switch {
	case c.best == nil:
		c.best, c.first = t, p
	case p.cost < c.first.cost:
		c.best, c.first, c.second, c.hasSecond = t, p, c.first, true
	case !c.hasSecond || p.cost < c.second.cost:
		c.second, c.hasSecond = p, true
	}
}

// choice returns the target of least cost, if any was considered.
func (c *chooser) choice() choice {
	return choice{target: c.best, completion: c.first.completion, next: c.second.completion}
}

// completionPrice returns the price of a request to a target that reports its pace and
// whose work, including its queue and failures, takes slowness times as long as usual.
func (r *registry) completionPrice(t *target, c selection, slowness float64, connect time.Duration) price {
	request := expected.Request{Work: c.work, Delay: r.delays.of(t.AvailabilityZone)}
	completion := request.Completion(slowness, connect)
	cost := float64(completion) / float64(max(c.usual, time.Millisecond))
	if !c.further {
		// The probability of a target falls with the 6th power of its expected completion.
		// Instances with the same information then spread over targets that differ little.
		cost *= sixthRoot(rand.ExpFloat64())
	}
	return price{cost: cost, completion: completion}
}

// sixthRoot costs a third of math.Pow, which counts for 90 shards of 3 targets each.
func sixthRoot(x float64) float64 { return math.Cbrt(math.Sqrt(x)) }

// learnCompletion records what the result of a request says about the target, the zone
// and the route. reused is false if the request had to wait for a new connection, so
// that its latency says little about them.
func (e *Engine) learnCompletion(stats *routeStats, t *target, now, sent time.Duration, reused bool, r pool.Result) {
	late := errors.Is(r.Err, pool.ErrAbandoned) && !neverTried(r.Err)
	answered := r.Reply != nil && r.Reply.OK() && r.Reply.Load.Pace > 0
	if !reused || !late && !answered {
		return
	}
	latency, work := now-sent, stats.usualWork()
	request := expected.Request{Work: work, Delay: e.registry.delays.of(t.AvailabilityZone)}
	t.mu.Lock()
	t.health.expected.RecordLatency(now, sent, request.Ratio(latency))
	t.mu.Unlock()
	if !answered {
		return
	}
	pace := r.Reply.Load.Pace
	stats.addWork(time.Duration(float64(max(0, latency-request.Delay)) / pace))
	e.registry.delays.record(t.AvailabilityZone, latency, time.Duration(float64(work)*pace))
}

package dispatch

import (
	"errors"
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/view"
)

// recordCost adds the cost of a request to the next report.
func (e *Engine) recordCost(id model.TargetID, cost float32) {
	if cost == 0 || e.opts.Reporter == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.costs[id]
	s.Target, s.Sum, s.Count = id, s.Sum+cost, s.Count+1
	e.costs[id] = s
}

// reportCosts reports the request costs recorded since the last report.
func (e *Engine) reportCosts() {
	e.mu.Lock()
	costs := slices.Collect(maps.Values(e.costs))
	clear(e.costs)
	e.mu.Unlock()
	if len(costs) > 0 {
		e.report(view.Evidence{Costs: costs})
	}
}

// observedCost returns the cost of one request, in usual latencies, or 0 if its
// result says nothing about the target.
func observedCost(r pool.Result, latency, usual time.Duration) float32 {
	switch {
	case usual <= 0, neverTried(r.Err), errors.Is(r.Err, pool.ErrNoCapacity):
		return 0
	case r.Err != nil && !errors.Is(r.Err, pool.ErrAbandoned), r.Reply != nil && !r.Reply.OK():
		return 1 + failureCost
	}
	most := float64(maxSlowness)
	if r.Reply != nil && r.Reply.Load.Pace > 0 {
		most = maxPacedCost
	}
	return float32(min(float64(latency)/float64(usual), most))
}

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

// reportCosts hands over what replies cost since the last report.
func (e *Engine) reportCosts() {
	e.mu.Lock()
	costs := slices.Collect(maps.Values(e.costs))
	clear(e.costs)
	e.mu.Unlock()
	if len(costs) > 0 {
		e.report(view.Evidence{Costs: costs})
	}
}

// sampleCost is what one request cost, in usual latencies; 0 if it tells
// nothing of the target.
func sampleCost(r pool.Result, latency, usual time.Duration) float32 {
	switch {
	case usual <= 0, wasNotNeeded(r.Err):
		return 0
	case r.Err != nil && !errors.Is(r.Err, pool.ErrAbandoned), r.Reply != nil && !r.Reply.OK():
		return 1 + failureCost
	}
	return float32(min(float64(latency)/float64(usual), maxSlowness))
}

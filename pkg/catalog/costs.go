package catalog

import (
	"maps"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/ring"
)

// In a large fleet each instance sends few requests to any one target. The leader
// therefore combines the costs that all instances observe, so that the first
// request of a query avoids a target that is slow or rejects requests, whichever
// instance noticed it.
//
// The cost of a request is its latency as a multiple of the usual latency of its route
// at the instance that sent it, up to a maximum. A failed or rejected request costs more
// than a usual one (see pkg/dispatch).
const (
	// costBucketWidth and costBucketCount define the window over which costs are
	// averaged. It is several times as long as a short stall of a target.
	costBucketWidth = 500 * time.Millisecond
	costBucketCount = 4
	// expensiveThreshold is the mean cost, as a multiple of the usual latency, from
	// which a target is published as expensive; it stays so until the mean falls
	// below normalThreshold. A target that stalls for an eighth of the window stays
	// below the threshold.
	expensiveThreshold, normalThreshold = 2.7, 2.0
	// minReplies is the least number of replies in the window for a decision.
	minReplies = 3
	// hintTTL is how long a hint stays valid without new replies.
	hintTTL = 5 * time.Second
	// publishInterval is the minimum time between two publications of changed costs.
	publishInterval = 100 * time.Millisecond
	// costChangeRatio is the ratio by which a cost has to change before it is
	// published again.
	costChangeRatio = 1.6
)

// CostSample is what one instance observed of a target since its last report.
type CostSample struct {
	Target model.TargetID `cbor:"1,keyasint"`
	// Sum is the sum of the costs of Count replies, each as a multiple of the
	// usual latency.
	Sum   float32 `cbor:"2,keyasint"`
	Count int     `cbor:"3,keyasint"`
}

// Hint is the cost of an expensive target, as a multiple of the usual latency.
type Hint struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Cost   float32        `cbor:"2,keyasint"`
}

// HintDelta updates a follower's hints from one position to a later one.
type HintDelta struct {
	// Full means that the delta replaces all hints of the follower.
	Full bool     `cbor:"1,keyasint,omitempty"`
	To   Position `cbor:"2,keyasint"`
	// Expensive are targets that became expensive or whose cost changed.
	Expensive []Hint `cbor:"3,keyasint,omitempty"`
	// Cleared are targets that are no longer expensive.
	Cleared []model.TargetID `cbor:"4,keyasint,omitempty"`
}

// Apply returns the costs of expensive targets after the delta; old is not modified.
func (h *HintDelta) Apply(old map[model.TargetID]float64) map[model.TargetID]float64 {
	next := make(map[model.TargetID]float64, len(old)+len(h.Expensive))
	if !h.Full {
		maps.Copy(next, old)
	}
	for _, hint := range h.Expensive {
		next[hint.Target] = float64(hint.Cost)
	}
	for _, id := range h.Cleared {
		delete(next, id)
	}
	return next
}

// CostTracker is the leader's record of target costs in one term. It does no I/O
// and is not safe for concurrent use.
type CostTracker struct {
	targets  map[model.TargetID]*costWindow
	position Position
	// published is the state last published for each target: its cost, 0 if it is
	// no longer expensive, and the sequence of that change.
	published map[model.TargetID]publishedCost
	// publishedAt is when the costs of all targets were last compared with the
	// published ones, and changes published.
	publishedAt time.Duration
	// logged is the position up to which ChangesToLog has returned changes.
	logged   Position
	loggedAt time.Duration
}

type publishedCost struct {
	cost      float64
	changedAt uint64
}

type costWindow struct {
	sum    [costBucketCount]float64
	count  [costBucketCount]int
	newest int64
	// cost is the cost to publish while the target is expensive, otherwise 0;
	// evaluatedAt is when the window last had enough replies.
	cost        float64
	evaluatedAt time.Duration
}

// NewCostTracker returns an empty tracker for a term.
func NewCostTracker(term uint64) *CostTracker {
	return &CostTracker{
		targets: make(map[model.TargetID]*costWindow), published: make(map[model.TargetID]publishedCost),
		position: Position{Term: term},
	}
}

// Record adds the samples of one instance.
func (c *CostTracker) Record(now time.Duration, samples []CostSample) {
	for _, s := range samples {
		w := c.targets[s.Target]
		if w == nil {
			w = &costWindow{}
			c.targets[s.Target] = w
		}
		w.advance(now)
		w.sum[w.newest%costBucketCount] += float64(s.Sum)
		w.count[w.newest%costBucketCount] += s.Count
		w.updateCost(now)
	}
}

func (w *costWindow) advance(now time.Duration) {
	ring.Advance(&w.newest, int64(now/costBucketWidth), costBucketCount, func(slot int64) { w.sum[slot], w.count[slot] = 0, 0 })
}

// updateCost updates the cost to publish if the window has enough replies.
func (w *costWindow) updateCost(now time.Duration) {
	sum, count := 0.0, 0
	for i := range w.sum {
		sum += w.sum[i]
		count += w.count[i]
	}
	if count < minReplies {
		return
	}
	w.evaluatedAt = now
	mean := sum / float64(count)
	switch {
	case mean < normalThreshold, w.cost == 0 && mean < expensiveThreshold:
		w.cost = 0
	case mean > w.cost*costChangeRatio, mean < w.cost/costChangeRatio:
		w.cost = mean
	}
}

// Since returns the changes after a position, or nil if there are none.
func (c *CostTracker) Since(now time.Duration, p Position) *HintDelta {
	if now-c.publishedAt >= publishInterval {
		c.publishedAt = now
		c.publishCosts(now)
	}
	return c.deltaSince(p)
}

func (c *CostTracker) deltaSince(p Position) *HintDelta {
	if p == c.position {
		return nil
	}
	h := &HintDelta{To: c.position, Full: p.Term != c.position.Term || p.Sequence > c.position.Sequence}
	for id, t := range c.published {
		switch {
		case t.cost > 0 && (h.Full || t.changedAt > p.Sequence):
			h.Expensive = append(h.Expensive, Hint{Target: id, Cost: float32(t.cost)})
		case t.cost == 0 && !h.Full && t.changedAt > p.Sequence:
			h.Cleared = append(h.Cleared, id)
		}
	}
	return h
}

// minLogInterval is the minimum time between two results of ChangesToLog.
const minLogInterval = time.Second

// ChangesToLog returns the changes since its last result, for the log; nil if
// there are none or the last result is less than a second old. expensive is the
// number of expensive targets.
func (c *CostTracker) ChangesToLog(now time.Duration) (changed *HintDelta, expensive int) {
	if c.position == c.logged || now-c.loggedAt < minLogInterval {
		return nil, 0
	}
	from := c.logged
	from.Term = c.position.Term
	c.logged, c.loggedAt = c.position, now
	return c.deltaSince(from), c.CountExpensive()
}

// CountExpensive returns the number of expensive targets.
func (c *CostTracker) CountExpensive() int {
	n := 0
	for _, t := range c.published {
		if t.cost > 0 {
			n++
		}
	}
	return n
}

// publishCosts publishes changed costs and removes targets that no instance reports on.
func (c *CostTracker) publishCosts(now time.Duration) {
	next := c.position.Sequence + 1
	publish := func(id model.TargetID, cost float64) {
		if c.published[id].cost != cost {
			c.published[id] = publishedCost{cost: cost, changedAt: next}
			c.position.Sequence = next
		}
	}
	for id, w := range c.targets {
		if now-w.evaluatedAt <= hintTTL {
			publish(id, w.cost)
			continue
		}
		publish(id, 0)
		if now/costBucketWidth-time.Duration(w.newest) > costBucketCount {
			delete(c.targets, id)
		}
	}
}

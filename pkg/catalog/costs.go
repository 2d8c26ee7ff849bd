package catalog

import (
	"maps"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/ring"
)

// A fleet of many instances sends each of them few requests to any one target.
// Costs shares what they see, so that the first request of a query avoids a
// target that is slow or turns requests away, whoever noticed.
const (
	// costBucketWidth and costBuckets make the window over which costs are averaged:
	// several times as long as a target may stand still for a moment.
	costBucketWidth = 500 * time.Millisecond
	costBucketCount = 4
	// expensiveThreshold is the mean cost, in usual latencies, from which a target is told
	// to all, and dearUntil the one down to which it stays so. A target that stands
	// still for an eighth of the window stays below.
	expensiveThreshold, normalThreshold = 2.7, 2.0
	// minReplies is the least number of replies for that.
	minReplies = 3
	// hintTTL is how long a hint holds without new replies.
	hintTTL = 5 * time.Second
	// hintRefreshInterval is the least time between two looks at all targets.
	hintRefreshInterval = 100 * time.Millisecond
	// costChangeRatio is the ratio by which a cost has to change before it is told again.
	costChangeRatio = 1.6
)

// CostSample is what one instance saw of a target since its last report.
type CostSample struct {
	Target model.TargetID `cbor:"1,keyasint"`
	// Sum is the sum of the costs of Count replies, in usual latencies.
	Sum   float32 `cbor:"2,keyasint"`
	Count int     `cbor:"3,keyasint"`
}

// Hint is the cost of a dear target, in usual latencies.
type Hint struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Cost   float32        `cbor:"2,keyasint"`
}

// HintDelta lead from one position to a later one.
type HintDelta struct {
	// Full means that the hints replace all that the follower knows.
	Full bool     `cbor:"1,keyasint,omitempty"`
	To   Position `cbor:"2,keyasint"`
	// Expensive are targets that are dear now or cost something else.
	Expensive []Hint `cbor:"3,keyasint,omitempty"`
	// Cleared are targets that are dear no more.
	Cleared []model.TargetID `cbor:"4,keyasint,omitempty"`
}

// Apply returns the costs of dear targets after the hints; old stays as it is.
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

// CostTracker is the leader's picture of what targets cost in one term. It is pure
// and not safe for concurrent use.
type CostTracker struct {
	targets  map[model.TargetID]*costWindow
	position Position
	// published has what was last told of each target: its cost, 0 if it is dear no
	// more, and the sequence of that.
	published map[model.TargetID]publishedCost
	// refreshedAt is when all targets were last looked at.
	refreshedAt time.Duration
	// logged is the position up to which Report has told.
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
	// hint is the last cost that was dear, and at when it was seen.
	hint        float64
	evaluatedAt time.Duration
}

// NewCostTracker returns the picture of a term without evidence.
func NewCostTracker(term uint64) *CostTracker {
	return &CostTracker{
		targets: make(map[model.TargetID]*costWindow), published: make(map[model.TargetID]publishedCost),
		position: Position{Term: term},
	}
}

// Record adds the report of one instance.
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
		w.updateHint(now)
	}
}

func (w *costWindow) advance(now time.Duration) {
	ring.Advance(&w.newest, int64(now/costBucketWidth), costBucketCount, func(slot int64) { w.sum[slot], w.count[slot] = 0, 0 })
}

// updateHint sets the hint if the window has enough replies to tell.
func (w *costWindow) updateHint(now time.Duration) {
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
	case mean < normalThreshold, w.hint == 0 && mean < expensiveThreshold:
		w.hint = 0
	case mean > w.hint*costChangeRatio, mean < w.hint/costChangeRatio:
		w.hint = mean
	}
}

// Since returns what changed after a position, or nil if nothing did.
func (c *CostTracker) Since(now time.Duration, p Position) *HintDelta {
	if now-c.refreshedAt >= hintRefreshInterval {
		c.refreshedAt = now
		c.refresh(now)
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

// minLogInterval is the least time between two reports.
const minLogInterval = time.Second

// ChangesToLog returns what changed since the last report, for the log; nil if nothing
// did or the last report is not a second old. Dear counts all dear targets.
func (c *CostTracker) ChangesToLog(now time.Duration) (changed *HintDelta, expensive int) {
	if c.position == c.logged || now-c.loggedAt < minLogInterval {
		return nil, 0
	}
	from := c.logged
	from.Term = c.position.Term
	c.logged, c.loggedAt = c.position, now
	return c.deltaSince(from), c.CountExpensive()
}

// CountExpensive counts the dear targets.
func (c *CostTracker) CountExpensive() int {
	n := 0
	for _, t := range c.published {
		if t.cost > 0 {
			n++
		}
	}
	return n
}

// refresh notes what there is to tell, and forgets targets that nobody reports on.
func (c *CostTracker) refresh(now time.Duration) {
	next := c.position.Sequence + 1
	publish := func(id model.TargetID, cost float64) {
		if c.published[id].cost != cost {
			c.published[id] = publishedCost{cost: cost, changedAt: next}
			c.position.Sequence = next
		}
	}
	for id, w := range c.targets {
		if now-w.evaluatedAt <= hintTTL {
			publish(id, w.hint)
			continue
		}
		publish(id, 0)
		if now/costBucketWidth-time.Duration(w.newest) > costBucketCount {
			delete(c.targets, id)
		}
	}
}

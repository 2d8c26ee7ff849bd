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
	// costBucket and costBuckets make the window over which costs are averaged:
	// several times as long as a target may stand still for a moment.
	costBucket  = 500 * time.Millisecond
	costBuckets = 4
	// dearFrom is the mean cost, in usual latencies, from which a target is told
	// to all, and dearUntil the one down to which it stays so. A target that stands
	// still for an eighth of the window stays below.
	dearFrom, dearUntil = 2.7, 2.0
	// minSamples is the least number of replies for that.
	minSamples = 3
	// hintLife is how long a hint holds without new replies.
	hintLife = 5 * time.Second
	// hintPace is the least time between two looks at all targets.
	hintPace = 100 * time.Millisecond
	// costStep is the ratio by which a cost has to change before it is told again.
	costStep = 1.6
)

// Sample is what one instance saw of a target since its last report.
type Sample struct {
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

// Hints lead from one position to a later one.
type Hints struct {
	// Whole means that the hints replace all that the follower knows.
	Whole bool     `cbor:"1,keyasint,omitempty"`
	To    Position `cbor:"2,keyasint"`
	// Dear are targets that are dear now or cost something else.
	Dear []Hint `cbor:"3,keyasint,omitempty"`
	// Usual are targets that are dear no more.
	Usual []model.TargetID `cbor:"4,keyasint,omitempty"`
}

// Apply returns the costs of dear targets after the hints; old stays as it is.
func (h *Hints) Apply(old map[model.TargetID]float64) map[model.TargetID]float64 {
	next := make(map[model.TargetID]float64, len(old)+len(h.Dear))
	if !h.Whole {
		maps.Copy(next, old)
	}
	for _, hint := range h.Dear {
		next[hint.Target] = float64(hint.Cost)
	}
	for _, id := range h.Usual {
		delete(next, id)
	}
	return next
}

// Costs is the leader's picture of what targets cost in one term. It is pure
// and not safe for concurrent use.
type Costs struct {
	targets  map[model.TargetID]*costWindow
	position Position
	// told has what was last told of each target: its cost, 0 if it is dear no
	// more, and the sequence of that.
	told map[model.TargetID]toldCost
	// lookedAt is when all targets were last looked at.
	lookedAt time.Duration
	// reported is the position up to which Report has told.
	reported   Position
	reportedAt time.Duration
}

type toldCost struct {
	cost      float64
	changedAt uint64
}

type costWindow struct {
	sum    [costBuckets]float64
	count  [costBuckets]int
	newest int64
	// hint is the last cost that was dear, and at when it was seen.
	hint float64
	at   time.Duration
}

// NewCosts returns the picture of a term without evidence.
func NewCosts(term uint64) *Costs {
	return &Costs{
		targets: make(map[model.TargetID]*costWindow), told: make(map[model.TargetID]toldCost),
		position: Position{Term: term},
	}
}

// Note adds the report of one instance.
func (c *Costs) Note(now time.Duration, samples []Sample) {
	for _, s := range samples {
		w := c.targets[s.Target]
		if w == nil {
			w = &costWindow{}
			c.targets[s.Target] = w
		}
		w.advance(now)
		w.sum[w.newest%costBuckets] += float64(s.Sum)
		w.count[w.newest%costBuckets] += s.Count
		w.judge(now)
	}
}

func (w *costWindow) advance(now time.Duration) {
	ring.Advance(&w.newest, int64(now/costBucket), costBuckets, func(slot int64) { w.sum[slot], w.count[slot] = 0, 0 })
}

// judge sets the hint if the window has enough replies to tell.
func (w *costWindow) judge(now time.Duration) {
	sum, count := 0.0, 0
	for i := range w.sum {
		sum += w.sum[i]
		count += w.count[i]
	}
	if count < minSamples {
		return
	}
	w.at = now
	mean := sum / float64(count)
	switch {
	case mean < dearUntil, w.hint == 0 && mean < dearFrom:
		w.hint = 0
	case mean > w.hint*costStep, mean < w.hint/costStep:
		w.hint = mean
	}
}

// Since returns what changed after a position, or nil if nothing did.
func (c *Costs) Since(now time.Duration, p Position) *Hints {
	if now-c.lookedAt >= hintPace {
		c.lookedAt = now
		c.look(now)
	}
	return c.since(p)
}

func (c *Costs) since(p Position) *Hints {
	if p == c.position {
		return nil
	}
	h := &Hints{To: c.position, Whole: p.Term != c.position.Term || p.Sequence > c.position.Sequence}
	for id, t := range c.told {
		switch {
		case t.cost > 0 && (h.Whole || t.changedAt > p.Sequence):
			h.Dear = append(h.Dear, Hint{Target: id, Cost: float32(t.cost)})
		case t.cost == 0 && !h.Whole && t.changedAt > p.Sequence:
			h.Usual = append(h.Usual, id)
		}
	}
	return h
}

// reportPace is the least time between two reports.
const reportPace = time.Second

// Report returns what changed since the last report, for the log; nil if nothing
// did or the last report is not a second old. Dear counts all dear targets.
func (c *Costs) Report(now time.Duration) (changed *Hints, dear int) {
	if c.position == c.reported || now-c.reportedAt < reportPace {
		return nil, 0
	}
	from := c.reported
	from.Term = c.position.Term
	c.reported, c.reportedAt = c.position, now
	return c.since(from), c.Dear()
}

// Dear counts the dear targets.
func (c *Costs) Dear() int {
	n := 0
	for _, t := range c.told {
		if t.cost > 0 {
			n++
		}
	}
	return n
}

// look notes what there is to tell, and forgets targets that nobody reports on.
func (c *Costs) look(now time.Duration) {
	next := c.position.Sequence + 1
	tell := func(id model.TargetID, cost float64) {
		if c.told[id].cost != cost {
			c.told[id] = toldCost{cost: cost, changedAt: next}
			c.position.Sequence = next
		}
	}
	for id, w := range c.targets {
		if now-w.at <= hintLife {
			tell(id, w.hint)
			continue
		}
		tell(id, 0)
		if now/costBucket-time.Duration(w.newest) > costBuckets {
			delete(c.targets, id)
		}
	}
}

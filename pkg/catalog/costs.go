package catalog

import (
	"cmp"
	"math"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
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
	// to all. A target that stands still for an eighth of the window stays below.
	dearFrom = 2.7
	// minSamples is the least number of replies for that.
	minSamples = 3
	// hintLife is how long a hint holds without new replies.
	hintLife = 5 * time.Second
	// hintPace is the least time between two looks at all targets.
	hintPace = 100 * time.Millisecond
	// costStep is the ratio of neighbouring costs in hints, so that small changes
	// need not be told.
	costStep = math.Sqrt2
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

// Hints are all dear targets at a position.
type Hints struct {
	Position Position `cbor:"1,keyasint"`
	Targets  []Hint   `cbor:"2,keyasint,omitempty"`
}

// Costs is the leader's picture of what targets cost in one term. It is pure
// and not safe for concurrent use.
type Costs struct {
	targets map[model.TargetID]*costWindow
	hints   Hints
	// lookedAt is when the hints were last worked out.
	lookedAt time.Duration
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
	return &Costs{targets: make(map[model.TargetID]*costWindow), hints: Hints{Position: Position{Term: term}}}
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
	current := int64(now / costBucket)
	for steps := 0; w.newest < current; steps++ {
		if steps > costBuckets {
			w.newest = current
			return
		}
		w.newest++
		w.sum[w.newest%costBuckets], w.count[w.newest%costBuckets] = 0, 0
	}
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
	w.hint, w.at = 0, now
	if mean := sum / float64(count); mean >= dearFrom {
		w.hint = math.Pow(costStep, math.Round(math.Log(mean)/math.Log(costStep)))
	}
}

// Since returns all dear targets, or nil if they are as they were at a position.
func (c *Costs) Since(now time.Duration, p Position) *Hints {
	if now-c.lookedAt >= hintPace {
		c.lookedAt = now
		c.look(now)
	}
	if p == c.hints.Position {
		return nil
	}
	return &c.hints
}

// look works out the hints, and forgets targets that nobody reports on.
func (c *Costs) look(now time.Duration) {
	var dear []Hint
	for id, w := range c.targets {
		switch {
		case now-w.at > hintLife && now/costBucket-time.Duration(w.newest) > costBuckets:
			delete(c.targets, id)
		case w.hint > 0 && now-w.at <= hintLife:
			dear = append(dear, Hint{Target: id, Cost: float32(w.hint)})
		}
	}
	slices.SortFunc(dear, func(a, b Hint) int { return cmp.Compare(a.Target, b.Target) })
	if slices.Equal(dear, c.hints.Targets) {
		return
	}
	c.hints = Hints{Position: Position{Term: c.hints.Position.Term, Sequence: c.hints.Position.Sequence + 1}, Targets: dear}
}

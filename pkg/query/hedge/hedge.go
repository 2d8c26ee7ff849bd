// Package hedge decides when a leaf request is sent a second time and whether
// the collection's budget allows it.
package hedge

import "time"

// Mode selects when hedges are sent.
type Mode string

// Modes of hedging.
const (
	// ModeNone sends no hedges.
	ModeNone Mode = "none"
	// ModeFixed hedges after a fixed delay.
	ModeFixed Mode = "fixed"
	// ModeAdaptive hedges after a quantile of recent latencies.
	ModeAdaptive Mode = "adaptive"
)

const (
	// minSamples is how many latencies an adaptive delay needs.
	minSamples = 32
	// lowQuantile is used while the budget is full, highQuantile while it is empty.
	lowQuantile    = 0.92
	highQuantile   = 0.975
	medianQuantile = 0.5
	// minMedianFactor times the median is waited at least. Where latencies vary
	// little, a quantile alone hedges answers that are about to arrive.
	minMedianFactor = 1.5
	// minDelay keeps hedges from racing answers that are on their way.
	minDelay = time.Millisecond
)

// Policy is the hedging policy of a collection.
type Policy struct {
	Mode Mode
	// Delay applies to ModeFixed.
	Delay time.Duration
}

// Distribution gives quantiles of recent latencies.
type Distribution interface {
	Count() int
	Quantile(q float64) time.Duration
}

// DelayFor returns how long to wait for an attempt before it is hedged; false
// means that it is not hedged. fill is how full the budget is, from 0 to 1.
func (p Policy) DelayFor(d Distribution, fill float64) (time.Duration, bool) {
	switch p.Mode {
	case ModeFixed:
		return p.Delay, p.Delay > 0
	case ModeAdaptive:
		return adaptiveDelay(d, fill)
	}
	return 0, false
}

func adaptiveDelay(d Distribution, fill float64) (time.Duration, bool) {
	if d.Count() < minSamples {
		return 0, false
	}
	q := highQuantile - (highQuantile-lowQuantile)*min(max(fill, 0), 1)
	return max(d.Quantile(q), time.Duration(minMedianFactor*float64(d.Quantile(medianQuantile))), minDelay), true
}

const (
	// widespreadShare is the part of a query's legs that has to be late for the
	// lateness to be general: no single target is to blame, and hedges of all
	// legs would spend the budget at once.
	widespreadShare = 0.2
	// widespreadDelayFactor times the delay is waited in that case.
	widespreadDelayFactor = 2
)

// Postpone returns how much longer to wait with the hedge of an attempt of
// this age; 0 sends it now. pending and legs are those of its query.
func Postpone(pending, total int, age, delay time.Duration) time.Duration {
	if float64(pending) <= max(1, widespreadShare*float64(total)) {
		return 0
	}
	return max(0, widespreadDelayFactor*delay-age)
}

const (
	// burst is how many extra requests may be saved up.
	burst = 40
	// shedPause closes the budget for hedges after a target has shed.
	shedPause = time.Second
)

// Budget bounds the extra leaf requests of a collection to a share of the
// first attempts. Retries may borrow from later attempts, hedges may not.
type Budget struct {
	share        float64
	tokens       float64
	pausedUntil  time.Duration
	hedgesPaused bool
}

// NewBudget returns a full budget for the share of extra requests.
func NewBudget(share float64) Budget {
	return Budget{share: share, tokens: burst}
}

// RecordAttempts counts first attempts.
func (b *Budget) RecordAttempts(attempts int) {
	b.tokens = min(burst, b.tokens+b.share*float64(attempts))
}

// Fill returns how full the budget is, from 0 to 1.
func (b *Budget) Fill() float64 { return max(0, b.tokens/burst) }

// PauseHedges closes the budget for hedges, because targets are overloaded.
func (b *Budget) PauseHedges(now time.Duration) {
	b.hedgesPaused, b.pausedUntil = true, now+shedPause
}

// TakeHedge takes a token for a hedge, if there is one.
func (b *Budget) TakeHedge(now time.Duration) bool {
	if b.hedgesPaused && now < b.pausedUntil {
		return false
	}
	b.hedgesPaused = false
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ReturnHedge gives back the token of a hedge that was not sent.
func (b *Budget) ReturnHedge() { b.tokens = min(burst, b.tokens+1) }

// TakeRetry takes a token for a retry. Retries repair answers that would lack
// a leaf, so they may overdraw the budget by one burst.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1-burst {
		return false
	}
	b.tokens--
	return true
}

// Package hedge decides when to hedge a leaf request, that is to send it to a
// second target, and whether the collection's budget allows it.
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
	// ModeAdaptive hedges after a quantile of the recent latencies.
	ModeAdaptive Mode = "adaptive"
)

const (
	// minSamples is the number of latency samples that an adaptive delay needs.
	minSamples = 32
	// lowQuantile applies while the budget is full, highQuantile while it is empty.
	lowQuantile    = 0.92
	highQuantile   = 0.975
	medianQuantile = 0.5
	// minMedianFactor times the median is the minimum adaptive delay. Where
	// latencies vary little, a quantile alone would hedge requests whose answers
	// are about to arrive.
	minMedianFactor = 1.5
	// minDelay prevents hedges of requests whose answers are already on their way.
	minDelay = time.Millisecond
)

// Policy is the hedging policy of a collection.
type Policy struct {
	Mode Mode
	// Delay applies to ModeFixed.
	Delay time.Duration
}

// Distribution provides quantiles of recent latencies.
type Distribution interface {
	Count() int
	Quantile(q float64) time.Duration
}

// DelayFor returns how long to wait for an attempt before hedging it, or false
// if it is not to be hedged. fill is the fill level of the budget, from 0 to 1.
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
	// widespreadShare is the share of a query's leaf requests above which a delay
	// counts as widespread: no single target is the cause, and hedging all of
	// them would use up the budget at once.
	widespreadShare = 0.2
	// widespreadDelayFactor multiplies the hedge delay in that case.
	widespreadDelayFactor = 2
)

// Postpone returns how much longer to wait before hedging an attempt of the
// given age; 0 means to hedge it now. pending and total are the numbers of
// unanswered and of all leaf requests of its query.
func Postpone(pending, total int, age, delay time.Duration) time.Duration {
	if float64(pending) <= max(1, widespreadShare*float64(total)) {
		return 0
	}
	return max(0, widespreadDelayFactor*delay-age)
}

const (
	// burst is the capacity of the budget, in extra requests.
	burst = 40
	// shedPause is how long no hedges are allowed after a target has shed load.
	shedPause = time.Second
)

// Budget is a token bucket that limits the extra leaf requests of a collection
// to a share of its first attempts. Retries may overdraw it, hedges may not. It is
// used by pkg/fanout; pkg/dispatch limits the extra requests of a service with
// retry.Budget.
type Budget struct {
	share        float64
	tokens       float64
	pausedUntil  time.Duration
	hedgesPaused bool
}

// NewBudget returns a full budget with the given share of extra requests.
func NewBudget(share float64) Budget {
	return Budget{share: share, tokens: burst}
}

// RecordAttempts adds the tokens that first attempts earn.
func (b *Budget) RecordAttempts(attempts int) {
	b.tokens = min(burst, b.tokens+b.share*float64(attempts))
}

// Fill returns the fill level of the budget, from 0 to 1.
func (b *Budget) Fill() float64 { return max(0, b.tokens/burst) }

// PauseHedges disallows hedges for a while, because a target has shed load.
func (b *Budget) PauseHedges(now time.Duration) {
	b.hedgesPaused, b.pausedUntil = true, now+shedPause
}

// TakeHedge takes a token for a hedge and reports whether there was one.
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

// ReturnHedge returns the token of a hedge that was not sent.
func (b *Budget) ReturnHedge() { b.tokens = min(burst, b.tokens+1) }

// TakeRetry takes a token for a retry and reports whether it is allowed. Without
// the retry the answer would lack a leaf, so retries may overdraw the budget by
// one burst.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1-burst {
		return false
	}
	b.tokens--
	return true
}

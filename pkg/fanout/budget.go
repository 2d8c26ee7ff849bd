package fanout

import (
	"time"

	"radishturn.example/radishturn/pkg/query/hedge"
	"radishturn.example/radishturn/pkg/settings"
)

func hedgePolicy(s settings.Collection) hedge.Policy {
	if s.Hedge == nil {
		return hedge.Policy{Mode: hedge.ModeAdaptive}
	}
	return hedge.Policy{Mode: hedge.Mode(s.Hedge.Mode), Delay: s.Hedge.Delay.Std()}
}

func (c *collection) hedgeDelay(d hedge.Distribution) (time.Duration, bool) {
	c.extraBudgetMu.Lock()
	fill := c.extraBudget.Fill()
	c.extraBudgetMu.Unlock()
	return c.hedgePolicy.DelayFor(d, fill)
}

func (c *collection) earnBudget(attempts int) {
	c.extraBudgetMu.Lock()
	defer c.extraBudgetMu.Unlock()
	c.extraBudget.RecordAttempts(attempts)
}

func (c *collection) takeHedge(now time.Duration) bool {
	c.extraBudgetMu.Lock()
	defer c.extraBudgetMu.Unlock()
	return c.extraBudget.TakeHedge(now)
}

func (c *collection) returnHedge() {
	c.extraBudgetMu.Lock()
	defer c.extraBudgetMu.Unlock()
	c.extraBudget.ReturnHedge()
}

func (c *collection) takeRetry() bool {
	c.extraBudgetMu.Lock()
	defer c.extraBudgetMu.Unlock()
	return c.extraBudget.TakeRetry()
}

func (c *collection) pauseHedges(now time.Duration) {
	c.extraBudgetMu.Lock()
	defer c.extraBudgetMu.Unlock()
	c.extraBudget.PauseHedges(now)
}

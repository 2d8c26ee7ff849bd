package dispatch

import (
	"context"
	"errors"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/metricsapi"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/usage"
	"radishturn.example/radishturn/pkg/view"
)

// ModuleName is the ID of the dispatch module.
const ModuleName radishturn.ModuleID = "dispatch"

// Module runs the Engine on instances with the entry role.
type Module struct{ engine *Engine }

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{lease.ModuleName, metricsapi.ModuleName},
		Roles: []settings.Role{settings.RoleEntry},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision creates the Engine and provides it to other modules.
func (m *Module) Provision(c *radishturn.Context) error {
	var (
		views    view.Source
		reporter view.Reporter
		codec    exchange.Codec
	)
	if err := errors.Join(radishturn.Fetch(c, &views), radishturn.Fetch(c, &reporter), radishturn.Fetch(c, &codec)); err != nil {
		return err
	}
	var recorder usage.Recorder
	if c.Settings.Duties.ReportsUsage() {
		if err := radishturn.Fetch(c, &recorder); err != nil {
			return err
		}
	}
	b := c.Settings.RetryBudget
	m.engine = New(Options{
		Instance:         c.Settings.Instance.ID,
		AvailabilityZone: c.Settings.Instance.AvailabilityZone, Views: views, Codec: codec, Reporter: reporter, BodyMemory: c.Memory,
		Usage:       recorder,
		RetryBudget: retry.Bound{Window: b.Window.Std(), Ratio: b.Ratio, Slack: b.Slack},
	})
	m.engine.registerGauges()
	metricsapi.AddStatusSection(c, "dispatch", func() any { return m.engine.Status() })
	return radishturn.Provide(c, m.engine)
}

// Run runs the Engine until ctx is done.
func (m *Module) Run(ctx context.Context) error { return m.engine.Run(ctx) }

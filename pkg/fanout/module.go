// Package fanout runs queries over all leaves of a snapshot and sends orders
// to their leaf. A leaf is one shard of a collection (model.LeafID).
// The package holds the clocks, locks and goroutines; the decision logic is
// in the packages below pkg/query. Package dispatch forwards callers' requests by
// route to the targets of a service; this package serves collections, whose
// snapshots are divided into leaves.
package fanout

import (
	"context"
	"errors"
	"time"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/view"
)

// ModuleName is the ID of the query module.
const ModuleName radishturn.ModuleID = "query"

// leaseModule is the module that provides view.Source and view.Reporter.
const leaseModule radishturn.ModuleID = "lease"

const (
	// refreshInterval is how often the platform's list and the view are read.
	refreshInterval = 100 * time.Millisecond
	// drainPollInterval is how often Drain checks for queries and orders in progress.
	drainPollInterval = 10 * time.Millisecond
)

// Module runs the Service.
type Module struct {
	service *Service
}

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{platform.ModuleName, leaseModule},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision creates the Service and provides it as query.Runner,
// order.Dispatcher, Readiness, Inspector and Explainer.
func (m *Module) Provision(c *radishturn.Context) error {
	var (
		source   platform.Source
		views    view.Source
		reporter view.Reporter
	)
	err := errors.Join(
		radishturn.Fetch(c, &source),
		radishturn.Fetch(c, &views),
		radishturn.Fetch(c, &reporter),
	)
	if err != nil {
		return err
	}
	origin := time.Now()
	m.service = NewService(Config{
		Settings: c.Settings, Platform: source, View: views, Reporter: reporter,
		Now: func() time.Duration { return time.Since(origin) }, Memory: c.Memory,
	})
	return m.provideServices(c)
}

func (m *Module) provideServices(c *radishturn.Context) error {
	if err := radishturn.Provide[query.Runner](c, m.service); err != nil {
		return err
	}
	if err := radishturn.Provide[order.Dispatcher](c, m.service); err != nil {
		return err
	}
	if err := radishturn.Provide[Readiness](c, m.service); err != nil {
		return err
	}
	if err := radishturn.Provide[Inspector](c, m.service); err != nil {
		return err
	}
	return radishturn.Provide[Explainer](c, m.service)
}

// Run refreshes the targets and reads their health hints until ctx is done.
func (m *Module) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.service.pollHealth(ctx)
	}()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		m.service.Refresh()
		select {
		case <-ctx.Done():
			<-done
			return nil
		case <-ticker.C:
		}
	}
}

// pollHealth reads the health hints of all targets at a fixed interval. A health hint
// is the reply of a target's health endpoint. It may be outdated or wrong.
func (s *Service) pollHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.ReadHealth(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Drain waits until no query or order is in progress.
func (m *Module) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for m.service.inProgress() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Cleanup closes the connections to the targets.
func (m *Module) Cleanup() error {
	if m.service != nil {
		m.service.Close()
	}
	return nil
}

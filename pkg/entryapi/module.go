// Package entryapi serves the caller API of an entry, an instance that serves
// callers, over HTTP/1.1 and h2c: queries, orders, and the endpoints for the load
// balancer and for metrics.
package entryapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/httpserver"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/problem"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/shutdown"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// maxConnections bounds the connections from callers to one instance.
	maxConnections = 4096
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// readinessPoll is how often readiness is checked in order to log changes.
	readinessPoll = 500 * time.Millisecond
	// startGrace is how long after the start an instance waits until every
	// collection has a snapshot that queries can use. After that, a collection
	// without targets no longer keeps the instance from serving the others.
	startGrace = 10 * time.Second
)

// ModuleName is the ID of the entry module.
const ModuleName radishturn.ModuleID = "entry"

// Module serves callers.
type Module struct {
	settings  *settings.Settings
	queries   query.Runner
	orders    order.Service
	view      view.Source
	recorder  burn.Recorder
	readiness fanout.Readiness
	started   time.Time
	server    *httpserver.Server
}

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID: ModuleName,
		// "query" is the module of pkg/fanout.
		After: []radishturn.ModuleID{"lease", "query", "order", "burn"},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision looks up the services and opens the listener.
func (m *Module) Provision(c *radishturn.Context) (err error) {
	m.settings = c.Settings
	m.started = time.Now()
	err = errors.Join(
		radishturn.Fetch(c, &m.view),
		radishturn.Fetch(c, &m.queries),
		radishturn.Fetch(c, &m.orders),
		radishturn.Fetch(c, &m.readiness),
		radishturn.Fetch(c, &m.recorder),
	)
	if err != nil {
		return err
	}
	address := c.Settings.Instance.CallerListen.String()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for callers on %s: %w", address, err)
	}
	limits := httpserver.DefaultLimits.With(httpserver.ShareMain, c.Memory)
	limits.MaxConnections = maxConnections
	m.server = httpserver.New("callers", listener, m.handler(), limits)
	return nil
}

func (m *Module) handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = problem.HandleError
	e.POST("/v1/collections/:collection/query", m.query)
	e.POST("/v1/collections/:collection/orders", m.order)
	e.GET("/healthz", m.healthz)
	e.GET("/readyz", m.readyz)
	e.GET("/metrics", m.metrics)
	return e
}

// Run serves callers until ctx is done.
func (m *Module) Run(ctx context.Context) error {
	go m.logReadiness(ctx)
	return m.server.Run(ctx)
}

// Drain is the graceful shutdown: it reports not ready, takes requests while the load
// balancer may still send some, and then waits until each of them has its answer.
func (m *Module) Drain(ctx context.Context) error {
	grace := m.settings.Stop.Grace.Std()
	m.server.BeginStop(shutdown.Began(ctx, grace, time.Now()), shutdown.Plan(grace, m.settings.Platform.BalancerLag.Std()))
	return m.server.FinishStop(ctx)
}

// Cleanup closes the listener.
func (m *Module) Cleanup() error {
	if m.server == nil {
		return nil
	}
	return m.server.Close()
}

// notReadyReason returns why the instance is not ready, or "" if it is ready.
func (m *Module) notReadyReason() string {
	if m.server.Stopping() {
		return "planned stop"
	}
	switch state := m.view.Lease(); state {
	case view.LeaseHeld, view.LeaseControlLost:
		return m.missingSnapshotsReason()
	default:
		return "lease " + string(state)
	}
}

func (m *Module) missingSnapshotsReason() string {
	complete, collections := m.readiness.Snapshots()
	if complete == collections || (complete > 0 && time.Since(m.started) > startGrace) {
		return ""
	}
	return fmt.Sprintf("whole snapshots of %d of %d collections", complete, collections)
}

func (m *Module) logReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessPoll)
	defer ticker.Stop()
	last := "starting"
	for {
		if reason := m.notReadyReason(); reason != last {
			last = reason
			emitReadiness(reason)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func emitReadiness(reason string) {
	if reason == "" {
		events.Emit(events.InstanceReady)
		return
	}
	events.Emit(events.InstanceNotReady, reason)
}

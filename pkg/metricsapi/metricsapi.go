// Package metricsapi serves the metrics of the process on an address of its own,
// where the settings name one.
package metricsapi

import (
	"context"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/httpserver"
	"radishturn.example/radishturn/pkg/settings"
)

// Path is where the metrics are.
const Path = "/metrics"

// Module serves metrics.
type Module struct{ server *httpserver.Server }

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    "metrics",
		Roles: []settings.Role{settings.RoleEntry, settings.RoleControl},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision opens the listener. An address that cannot be had costs the
// metrics, not the service.
func (m *Module) Provision(c *radishturn.Context) error {
	address := c.Settings.Instance.MetricsListen
	if !address.IsValid() {
		return nil
	}
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		events.Emit(events.MetricsUnserved, address, err)
		return nil
	}
	e := echo.New()
	e.GET(Path, serve)
	m.server = httpserver.New("metrics", l, e, httpserver.DefaultLimits)
	return nil
}

func serve(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	c.Response().WriteHeader(http.StatusOK)
	metrics.WritePrometheus(c.Response(), true)
	return nil
}

// Run serves until ctx is done.
func (m *Module) Run(ctx context.Context) error {
	if m.server == nil {
		<-ctx.Done()
		return nil
	}
	return m.server.Run(ctx)
}

// Cleanup closes the listener.
func (m *Module) Cleanup() error {
	if m.server == nil {
		return nil
	}
	return m.server.Close()
}

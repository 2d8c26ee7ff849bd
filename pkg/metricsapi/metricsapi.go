// Package metricsapi serves the metrics and the status of the process on a separate
// address, if the settings have one. It also holds the sections of the status, which
// other modules add; its module is named after the metrics alone.
package metricsapi

import (
	"bytes"
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

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// ModuleName is the ID of the module.
const ModuleName radishturn.ModuleID = "metrics"

// Module serves metrics and the status.
type Module struct{ server *httpserver.Server }

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		Roles: []settings.Role{settings.RoleEntry, settings.RoleControl},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision opens the listener. If that fails, the process runs without serving
// metrics, since metrics must not stop the service.
func (m *Module) Provision(c *radishturn.Context) error {
	sections := &StatusSections{readers: make(map[string]func() any)}
	if err := radishturn.Provide(c, sections); err != nil {
		return err
	}
	address := c.Settings.Instance.MetricsListen
	if !address.IsValid() {
		return nil
	}
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		events.Emit(events.MetricsUnavailable, address, err)
		return nil
	}
	e := echo.New()
	e.GET(Path, serve)
	e.GET(StatusPath, sections.serve)
	m.server = httpserver.New("metrics", l, e, httpserver.DefaultLimits.With(httpserver.ShareSide, c.Memory))
	return nil
}

func serve(c echo.Context) error {
	var page bytes.Buffer
	metrics.WritePrometheus(&page, true)
	return send(c, "text/plain; version=0.0.4", page.Bytes())
}

// send sends a page, which is held until the client has read it.
func send(c echo.Context, contentType string, page []byte) error {
	release, ok := httpserver.Hold(c.Request().Context(), len(page))
	if !ok {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer release()
	return c.Blob(http.StatusOK, contentType, page)
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

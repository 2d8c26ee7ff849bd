// Package adminapi serves the admin API over HTTPS on a separate listener. It
// requires an operator's client certificate, so that callers cannot use it.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/burn/recorder"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/httpserver"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/problem"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

// maxBodyBytes bounds the body of a request, which must be able to hold a file of
// rules.
const maxBodyBytes = 4 << 20

// ModuleName is the ID of the admin module.
const ModuleName radishturn.ModuleID = "admin"

// Module serves the admin API.
type Module struct {
	settings  *settings.Settings
	admin     control.Admin
	view      view.Source
	burn      recorder.Reporter
	explainer fanout.Explainer
	targets   fanout.Inspector
	mesh      mesh.Mesh
	server    *httpserver.Server
}

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{"mesh", "control", "lease", "query", recorder.ModuleName},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision looks up the services and opens the listener.
func (m *Module) Provision(c *radishturn.Context) (err error) {
	m.settings = c.Settings
	var credentials *keys.Credentials
	err = errors.Join(
		radishturn.Fetch(c, &m.admin),
		radishturn.Fetch(c, &m.view),
		radishturn.Fetch(c, &m.explainer),
		radishturn.Fetch(c, &m.targets),
		radishturn.Fetch(c, &m.mesh),
		radishturn.Fetch(c, &m.burn),
		radishturn.Fetch(c, &credentials),
	)
	if err != nil {
		return err
	}
	mesh.Handle(m.mesh, kindExplain, m.serveExplain)
	address := c.Settings.Instance.AdminListen.String()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for operators on %s: %w", address, err)
	}
	m.server = httpserver.NewTLS("operators", listener, credentials.ServerConfig([]string{"http/1.1"}, keys.RoleOperator), m.handler(),
		httpserver.DefaultLimits.With(httpserver.ShareSide, c.Memory))
	m.server.SetErrorLog(errorLogWriter{})
	return nil
}

// errorLogWriter emits the HTTP server's error log, such as failed handshakes, as events.
type errorLogWriter struct{}

func (errorLogWriter) Write(line []byte) (int, error) {
	events.Emit(events.AdminRequestFailed, "", strings.TrimSpace(string(line)))
	return len(line), nil
}

func (m *Module) handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = problem.HandleError
	g := e.Group("/admin/v1")
	g.GET("/status", m.status)
	g.GET("/rules", m.rules)
	g.POST("/rules", m.applyRules)
	g.POST("/rules/check", m.checkRules)
	g.GET("/rules/history", m.history)
	g.GET("/rules/:revision/in-force", m.inForce)
	g.GET("/moves", m.moves)
	g.GET("/quarantine", m.quarantined)
	g.DELETE("/quarantine/:fingerprint", m.liftQuarantine)
	g.GET("/targets", m.listTargets)
	g.GET("/requests", m.slowestRequests)
	g.GET("/requests/:id", m.explain)
	g.GET("/burn", m.burnReport)
	g.GET("/instances", m.instances)
	g.GET("/members", m.members)
	g.POST("/members", m.addMember)
	g.POST("/members/replace", m.replaceMember)
	g.POST("/members/remove", m.removeMember)
	return e
}

// Run serves until ctx is done.
func (m *Module) Run(ctx context.Context) error { return m.server.Run(ctx) }

// Cleanup closes the listener.
func (m *Module) Cleanup() error {
	if m.server == nil {
		return nil
	}
	return m.server.Close()
}

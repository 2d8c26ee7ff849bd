// Package claims is the order module: it claims an order in the replicated
// state before the first byte goes to a target, dispatches it once, and records
// the outcome, so that a resend anywhere gets the first answer.
package claims

import (
	"context"
	"errors"
	"time"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

// ModuleName is the ID of the order module.
const ModuleName radishturn.ModuleID = "order"

// Service is the order module.
type Service struct {
	self       model.InstanceID
	window     time.Duration
	mesh       mesh.Mesh
	router     *route.Router
	leases     view.Source
	dispatcher order.Dispatcher
	attempts   *attempts
	now        func() time.Time

	// recording has an entry for each outcome that is being recorded.
	recording chan struct{}
}

var _ order.Service = (*Service)(nil)

func init() { radishturn.RegisterModule(&Service{}) }

// ModuleInfo returns the module's description.
func (*Service) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{mesh.ModuleName, control.ModuleName, lease.ModuleName, "query"},
		New:   func() radishturn.Module { return &Service{} },
	}
}

// Provision gathers the services it needs and offers the order.Service.
func (s *Service) Provision(c *radishturn.Context) error {
	var (
		peers      mesh.Mesh
		router     *route.Router
		leases     view.Source
		dispatcher order.Dispatcher
	)
	err := errors.Join(
		radishturn.Fetch(c, &peers),
		radishturn.Fetch(c, &router),
		radishturn.Fetch(c, &leases),
		radishturn.Fetch(c, &dispatcher),
	)
	if err != nil {
		return err
	}
	s.setup(c.Settings, peers, router, leases, dispatcher)
	return radishturn.Provide[order.Service](c, s)
}

// New returns a Service for use without the kernel.
func New(c *settings.Settings, peers mesh.Mesh, router *route.Router, leases view.Source, dispatcher order.Dispatcher) *Service {
	s := &Service{}
	s.setup(c, peers, router, leases, dispatcher)
	return s
}

func (s *Service) setup(c *settings.Settings, peers mesh.Mesh, router *route.Router, leases view.Source, dispatcher order.Dispatcher) {
	s.self, s.window = c.Instance.ID, c.Lease.Duration.Std()
	s.mesh, s.router, s.leases, s.dispatcher = peers, router, leases, dispatcher
	s.attempts = newAttempts()
	s.now = time.Now
	s.recording = make(chan struct{}, maxRecording)
	mesh.Handle(peers, wire.KindClaimStatus, s.serveAsk)
}

// Drain waits until the outcomes of finished orders are recorded: then every
// place for a recording is free.
func (s *Service) Drain(ctx context.Context) error {
	taken := 0
	defer func() {
		for range taken {
			<-s.recording
		}
	}()
	for taken < cap(s.recording) {
		select {
		case s.recording <- struct{}{}:
			taken++
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

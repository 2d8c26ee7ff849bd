// Package claims implements the order module. It claims an order in the
// replicated state before the first byte is sent to a target, dispatches it once,
// and records the outcome, so that a resend to any instance gets the first answer.
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

// Service is the order module; it implements order.Service.
type Service struct {
	self model.InstanceID
	// dispatchWindow is the time after the start of a claim in which the order may
	// be sent. It equals the lease duration.
	dispatchWindow time.Duration
	mesh           mesh.Mesh
	router         *route.Router
	leases         view.Source
	dispatcher     order.Dispatcher
	localClaims    *localClaimStore
	now            func() time.Time

	// recordSlots is a semaphore with an entry for each outcome that is being
	// recorded.
	recordSlots chan struct{}
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

// Provision fetches the services that the module needs and provides order.Service.
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

// New returns a Service for use without the kernel, such as in tests.
func New(c *settings.Settings, peers mesh.Mesh, router *route.Router, leases view.Source, dispatcher order.Dispatcher) *Service {
	s := &Service{}
	s.setup(c, peers, router, leases, dispatcher)
	return s
}

func (s *Service) setup(c *settings.Settings, peers mesh.Mesh, router *route.Router, leases view.Source, dispatcher order.Dispatcher) {
	s.self, s.dispatchWindow = c.Instance.ID, c.Lease.Duration.Std()
	s.mesh, s.router, s.leases, s.dispatcher = peers, router, leases, dispatcher
	s.localClaims = newLocalClaimStore()
	s.now = time.Now
	s.recordSlots = make(chan struct{}, maxConcurrentRecords)
	mesh.Handle(peers, wire.KindClaimStatus, s.serveClaimStatus)
}

// Drain waits until the outcomes of finished orders are recorded. It does so by
// acquiring every slot of recordSlots.
func (s *Service) Drain(ctx context.Context) error {
	acquired := 0
	defer func() {
		for range acquired {
			<-s.recordSlots
		}
	}()
	for acquired < cap(s.recordSlots) {
		select {
		case s.recordSlots <- struct{}{}:
			acquired++
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Package lease keeps this instance's lease: it renews it with the leader, sends
// evidence to the leader, receives changes of the configuration, and determines
// what the instance may still do once the lease has expired.
package lease

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/lease/leasetimes"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/metricsapi"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/usage"
	"radishturn.example/radishturn/pkg/view"
)

// ModuleName is the ID of the lease module.
const ModuleName radishturn.ModuleID = "lease"

// Module keeps the lease of this instance.
type Module struct {
	settings settings.Lease
	mesh     mesh.Mesh
	router   *route.Router
	origin   time.Time
	// configFromLeader is set if the routing table and the list of targets come from the
	// leader with the replies to renewals (settings.Instance.NamedByAddress).
	configFromLeader bool
	views            *view.Store
	times            atomic.Pointer[leaseTimes]
	evidenceBuffer   *evidenceBuffer
	// renewNow requests a renewal at once, renewSoon one after a short random delay.
	renewNow, renewSoon chan struct{}

	mu     sync.Mutex
	holder *holder
	// stop is closed when the lease is returned, which ends the renewals.
	stop     chan struct{}
	stopped  bool
	renewals sync.WaitGroup
	// contact is used only by renewLoop.
	contact     controlContact
	lastRenewal *lastRenewal
	refresher   *refresher

	sentEvidence     *view.Evidence
	evidenceSequence uint64
	// usage is nil unless this instance counts usage.
	usage *usageSender
}

var (
	_ view.Source   = (*Module)(nil)
	_ view.Reporter = (*Module)(nil)
	_ view.Contact  = (*Module)(nil)
)

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{mesh.ModuleName, control.ModuleName, metricsapi.ModuleName},
		Roles: []settings.Role{settings.RoleStandalone, settings.RoleEntry},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision provides the view and the evidence reporter.
func (m *Module) Provision(c *radishturn.Context) error {
	var (
		peers  mesh.Mesh
		router *route.Router
	)
	err := errors.Join(
		radishturn.Fetch(c, &peers),
		radishturn.Fetch(c, &router),
	)
	if err != nil {
		return err
	}
	m.setup(c.Settings, peers, router)
	metricsapi.AddStatusSection(c, "lease", func() any { return m.Status() })
	if m.usage != nil {
		if err := radishturn.Provide[usage.Recorder](c, m.usage.counter); err != nil {
			return err
		}
	}
	return errors.Join(
		radishturn.Provide[view.Source](c, m), radishturn.Provide[view.Reporter](c, m), radishturn.Provide[view.Contact](c, m),
	)
}

// New returns a Module for use without the module system, as in tests.
func New(s *settings.Settings, peers mesh.Mesh, router *route.Router) *Module {
	m := &Module{}
	m.setup(s, peers, router)
	return m
}

func (m *Module) setup(s *settings.Settings, peers mesh.Mesh, router *route.Router) {
	m.settings, m.mesh, m.router = s.Lease, peers, router
	m.origin, m.lastRenewal, m.refresher = time.Now(), newLastRenewal(), newRefresher()
	m.configFromLeader = s.Instance.NamedByAddress
	m.usage = newUsageSender(&s.Duties, usage.SystemClocks())
	m.views = view.NewStore()
	m.renewNow, m.renewSoon = make(chan struct{}, 1), make(chan struct{}, 1)
	m.stop = make(chan struct{})
	m.evidenceBuffer = newEvidenceBuffer(func() { notify(m.renewNow) })
	self := model.Instance{
		ID: s.Instance.ID, AvailabilityZone: s.Instance.AvailabilityZone, MeshAddress: s.Instance.MeshAddress(),
	}
	m.holder = newHolder(self, uuid.NewString(), s.Lease.Duration.Std(), leasetimes.GracePeriod(s.Lease))
	m.times.Store(&leaseTimes{})
	mesh.Handle(peers, wire.KindHoldsLease, m.serveLeaseState)
}

// now returns the time on the monotonic clock. It is never 0, which means that no
// lease was held yet.
func (m *Module) now() time.Duration { return time.Since(m.origin) + 1 }

// View returns the newest view.
func (m *Module) View() *view.View { return m.views.View() }

// Lease returns the state of the lease at the time of the call.
func (m *Module) Lease() view.LeaseState { return m.times.Load().state(m.now()) }

// LeaseLeft returns the time until the lease expires.
func (m *Module) LeaseLeft() time.Duration {
	t := m.times.Load()
	now := m.now()
	if t.state(now) != view.LeaseHeld {
		return 0
	}
	return t.expiresAt - now
}

// Report collects evidence for the next renewal.
func (m *Module) Report(e view.Evidence) { m.evidenceBuffer.Report(e) }

// notify signals without blocking; signals not yet received count as one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// serveLeaseState answers a poll of another instance: it reports whether this
// instance held a lease that has expired. It reports false if it never held one.
func (m *Module) serveLeaseState(context.Context, model.InstanceID, *wire.Empty) (*wire.LeaseStateReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.holder.pollAnswer(m.now())
	return &wire.LeaseStateReply{Lost: a.lost, InstancesVersion: a.instancesVersion}, nil
}

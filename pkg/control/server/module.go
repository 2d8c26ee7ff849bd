// Package server is the control module. On the leader it grants leases, shares
// out what targets bear, and accepts changes; on every instance it passes
// requests on to the leader.
package server

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/lease/clock"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/metricsapi"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/state"
)

const (
	// tickInterval paces the leader's housekeeping.
	tickInterval = 100 * time.Millisecond
	// officeInterval paces the look for a new term, in which entries wait.
	officeInterval = 20 * time.Millisecond
	// takeOfficeTimeout bounds the barrier of a new leader.
	takeOfficeTimeout = 2 * time.Second
)

// Server is the control module.
type Server struct {
	settings *settings.Settings
	known    rules.Topology
	mesh     mesh.Mesh
	platform platform.Source
	machine  *state.Machine
	proposer replica.Proposer
	router   *route.Router
	origin   time.Time
	sinks    []control.EvidenceSink

	mu sync.Mutex
	// listed are the instances that may lead, from the newest settings.
	listed []model.InstanceID
	// session is the present term's, or nil while this instance does not lead.
	session *session
}

var (
	_ control.Admin  = (*Server)(nil)
	_ control.Leader = (*Server)(nil)
)

func init() { radishturn.RegisterModule(&Server{}) }

// ModuleInfo returns the module's description.
func (*Server) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    control.ModuleName,
		After: []radishturn.ModuleID{mesh.ModuleName, platform.ModuleName, state.ModuleName, "control.replica", metricsapi.ModuleName},
		Roles: settings.AllRoles,
		New:   func() radishturn.Module { return &Server{} },
	}
}

// Provision gathers the services it needs and offers its own.
func (s *Server) Provision(c *radishturn.Context) error {
	var (
		m        mesh.Mesh
		list     platform.Source
		machine  *state.Machine
		proposer replica.Proposer
	)
	err := errors.Join(
		radishturn.Fetch(c, &m),
		radishturn.Fetch(c, &list),
		radishturn.Fetch(c, &machine),
		radishturn.Fetch(c, &proposer),
	)
	if err != nil {
		return err
	}
	s.setup(c.Settings, m, list, machine, proposer)
	if c.Settings.Instance.Role == settings.RoleControl {
		metricsapi.AddStatusSection(c, "control", func() any { return s.Status() })
	}
	return s.provide(c)
}

func (s *Server) provide(c *radishturn.Context) error {
	if err := radishturn.Provide[control.Admin](c, s); err != nil {
		return err
	}
	if err := radishturn.Provide[control.Leader](c, s); err != nil {
		return err
	}
	if err := radishturn.Provide[control.Routing](c, s); err != nil {
		return err
	}
	return radishturn.Provide(c, s.router)
}

// New returns a Server for use without the kernel.
func New(c *settings.Settings, m mesh.Mesh, list platform.Source, machine *state.Machine, proposer replica.Proposer) *Server {
	s := &Server{}
	s.setup(c, m, list, machine, proposer)
	return s
}

func (s *Server) setup(c *settings.Settings, m mesh.Mesh, list platform.Source, machine *state.Machine, proposer replica.Proposer) {
	s.settings, s.known = c, rules.TopologyOf(c)
	s.mesh, s.platform, s.machine, s.proposer = m, list, machine, proposer
	s.origin = time.Now()
	s.listed = c.Control.Members
	s.router = route.New(m, s.members)
	s.handle()
}

// Router returns the way to the leader.
func (s *Server) Router() *route.Router { return s.router }

func (s *Server) handle() {
	mesh.Handle(s.mesh, wire.KindRelay, s.router.Serve)
	mesh.Handle(s.mesh, wire.KindRenew, onLeader(s, (*session).renew))
	mesh.Handle(s.mesh, wire.KindReturn, onLeader(s, (*session).returned))
	mesh.Handle(s.mesh, wire.KindOrders, onLeader(s, (*session).orders))
	mesh.Handle(s.mesh, wire.KindApply, onLeader(s, (*session).apply))
	mesh.Handle(s.mesh, wire.KindRules, onLeader(s, (*session).rules))
	mesh.Handle(s.mesh, wire.KindHistory, onLeader(s, (*session).history))
	mesh.Handle(s.mesh, wire.KindInForce, onLeader(s, (*session).inForce))
	mesh.Handle(s.mesh, wire.KindMoves, onLeader(s, (*session).moves))
	mesh.Handle(s.mesh, wire.KindQuarantined, onLeader(s, (*session).quarantined))
	mesh.Handle(s.mesh, wire.KindLift, onLeader(s, (*session).lift))
	mesh.Handle(s.mesh, wire.KindInstances, onLeader(s, (*session).instances))
	mesh.Handle(s.mesh, wire.KindMembers, onLeader(s, (*session).members))
	mesh.Handle(s.mesh, wire.KindAdd, onLeader(s, (*session).addMember))
	mesh.Handle(s.mesh, wire.KindReplace, onLeader(s, (*session).replaceMember))
	mesh.Handle(s.mesh, wire.KindPutTable, onLeader(s, (*session).putTable))
	mesh.Handle(s.mesh, wire.KindTable, onLeader(s, (*session).table))
	mesh.Handle(s.mesh, wire.KindEvacuate, onLeader(s, (*session).evacuate))
	mesh.Handle(s.mesh, wire.KindOffer, onLeader(s, (*session).offered))
	mesh.Handle(s.mesh, wire.KindStartMove, onLeader(s, (*session).startMove))
	mesh.Handle(s.mesh, wire.KindMove, onLeader(s, (*session).move))
	mesh.Handle(s.mesh, wire.KindRemove, onLeader(s, (*session).removeMember))
}

// onLeader serves requests with the present session.
func onLeader[Request, Reply any](s *Server, serve func(*session, context.Context, *Request) (*Reply, error)) func(context.Context, model.InstanceID, *Request) (*Reply, error) {
	return func(ctx context.Context, _ model.InstanceID, r *Request) (*Reply, error) {
		current, err := s.leading()
		if err != nil {
			return nil, err
		}
		return serve(current, ctx, r)
	}
}

// leading returns the session if this instance leads and is ready to serve.
func (s *Server) leading() (*session, error) {
	status := s.proposer.Status()
	if !s.proposer.IsLeader() {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "lead", string(status.Leader.Instance), "%s does not lead", s.mesh.Self())
	}
	s.mu.Lock()
	current := s.session
	s.mu.Unlock()
	if current == nil || current.term != status.Term {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "lead", string(s.mesh.Self()), "%s is about to take office", s.mesh.Self())
	}
	return current, nil
}

// Reload follows changes of the instances that may lead.
func (s *Server) Reload(next *settings.Settings) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = slices.Clone(next.Control.Members)
	return nil
}

// members returns who may lead, with repetitions: the instances that the
// settings list, and the group as this instance knows it.
func (s *Server) members() []model.InstanceID {
	s.mu.Lock()
	listed := slices.Clone(s.listed)
	s.mu.Unlock()
	return append(listed, s.voters()...)
}

// voters returns the instances of the group as this instance knows it.
func (s *Server) voters() []model.InstanceID {
	var ids []model.InstanceID
	for _, m := range s.proposer.Status().Voters {
		ids = append(ids, m.Instance)
	}
	return ids
}

// now returns the time on the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.origin) }

// Run takes office when this instance is elected and keeps the leases until
// ctx is done.
func (s *Server) Run(ctx context.Context) error {
	if s.keepsMembers() {
		var offers sync.WaitGroup
		offers.Go(func() { s.offerLoop(ctx) })
		defer offers.Wait()
	}
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.untilTick()):
		}
	}
}

// untilTick is shorter while entries may wait for this instance: until it knows
// a leader, and as a leader until it has the platform's list.
func (s *Server) untilTick() time.Duration {
	waits := s.proposer.Status().Leader.Instance == "" || s.proposer.IsLeader() && s.platform.List() == nil
	if s.settings.DataFolder != "" && s.settings.Instance.NamedByAddress && waits {
		return officeInterval
	}
	return tickInterval
}

func (s *Server) tick(ctx context.Context) {
	if !s.proposer.IsLeader() {
		s.mu.Lock()
		s.session = nil
		s.mu.Unlock()
		return
	}
	term := s.proposer.Status().Term
	s.mu.Lock()
	current := s.session
	s.mu.Unlock()
	if current == nil || current.term != term {
		s.takeOffice(ctx, term)
		return
	}
	current.tick(ctx)
}

// takeOffice starts a session once everything accepted in earlier terms is
// applied here, which the barrier proves.
func (s *Server) takeOffice(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, takeOfficeTimeout)
	defer cancel()
	barrier, err := (&state.Command{}).Encode()
	if err != nil {
		events.Emit(events.LeaderNotReady, term, err)
		return
	}
	if _, err := s.proposer.Propose(ctx, barrier); err != nil {
		events.Emit(events.LeaderNotReady, term, err)
		return
	}
	if s.proposer.Status().Term != term || !s.proposer.IsLeader() {
		return
	}
	next := newSession(s, term)
	s.mu.Lock()
	s.session = next
	s.mu.Unlock()
	events.Emit(events.LeaderReady, term)
}

// RunOut is how long after a renewal the leader counts a lease as alive.
func (s *Server) runOut() time.Duration { return clock.Lifetime(s.settings.Lease) }

// Package server is the control module. On the leader it grants leases, divides
// the capacity of targets among instances, and accepts changes; on every instance
// it forwards requests to the leader.
package server

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/lease/leasetimes"
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
	// tickInterval is the interval of the leader's periodic maintenance.
	tickInterval = 100 * time.Millisecond
	// fastTickInterval is the tick interval while other instances may wait for this
	// one, if DataFolder and Instance.NamedByAddress are set; see tickDelay.
	fastTickInterval = 20 * time.Millisecond
	// maintenanceTimeout bounds the barrier of a new leader and the commands of its
	// periodic maintenance.
	maintenanceTimeout = 2 * time.Second
)

// Server is the control module.
type Server struct {
	settings *settings.Settings
	topology rules.Topology
	mesh     mesh.Mesh
	platform platform.Source
	machine  *state.Machine
	group    replica.Group
	router   *route.Router
	origin   time.Time
	sinks    []control.EvidenceSink
	// leaving is set once the instance shuts down.
	leaving atomic.Bool
	duties  *dutyKeeper

	mu sync.Mutex
	// configuredMembers are the instances that may lead according to the newest
	// settings.
	configuredMembers []model.InstanceID
	// currentTerm is nil while this instance does not lead.
	currentTerm *leaderTerm
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

// Provision fetches the services that the module needs and registers its own.
func (s *Server) Provision(c *radishturn.Context) error {
	var (
		m       mesh.Mesh
		list    platform.Source
		machine *state.Machine
		group   replica.Group
	)
	err := errors.Join(
		radishturn.Fetch(c, &m),
		radishturn.Fetch(c, &list),
		radishturn.Fetch(c, &machine),
		radishturn.Fetch(c, &group),
	)
	if err != nil {
		return err
	}
	s.setup(c.Settings, m, list, machine, group)
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
	if err := radishturn.Provide[control.TrafficAdmin](c, s); err != nil {
		return err
	}
	if err := radishturn.Provide[control.Duties](c, s); err != nil {
		return err
	}
	return radishturn.Provide(c, s.router)
}

// New returns a Server that runs without the module kernel.
func New(c *settings.Settings, m mesh.Mesh, list platform.Source, machine *state.Machine, group replica.Group) *Server {
	s := &Server{}
	s.setup(c, m, list, machine, group)
	return s
}

func (s *Server) setup(c *settings.Settings, m mesh.Mesh, list platform.Source, machine *state.Machine, group replica.Group) {
	s.settings, s.topology = c, rules.TopologyOf(c)
	s.mesh, s.platform, s.machine, s.group = m, list, machine, group
	s.origin = time.Now()
	s.duties = newDutyKeeper(c.Duties.CallsPerSecond)
	s.configuredMembers = c.Control.Members
	s.router = route.New(m, s.members)
	s.registerHandlers()
}

// Router returns the router to the leader.
func (s *Server) Router() *route.Router { return s.router }

func (s *Server) registerHandlers() {
	mesh.Handle(s.mesh, wire.KindRelay, s.router.Serve)
	mesh.Handle(s.mesh, wire.KindRenew, onLeader(s, (*leaderTerm).renew))
	mesh.Handle(s.mesh, wire.KindRelease, onLeader(s, (*leaderTerm).release))
	mesh.Handle(s.mesh, wire.KindOrders, onLeader(s, (*leaderTerm).orders))
	mesh.Handle(s.mesh, wire.KindApply, onLeader(s, (*leaderTerm).apply))
	mesh.Handle(s.mesh, wire.KindRules, onLeader(s, (*leaderTerm).rules))
	mesh.Handle(s.mesh, wire.KindHistory, onLeader(s, (*leaderTerm).history))
	mesh.Handle(s.mesh, wire.KindInForce, onLeader(s, (*leaderTerm).inForce))
	mesh.Handle(s.mesh, wire.KindMoves, onLeader(s, (*leaderTerm).moves))
	mesh.Handle(s.mesh, wire.KindQuarantined, onLeader(s, (*leaderTerm).quarantined))
	mesh.Handle(s.mesh, wire.KindLift, onLeader(s, (*leaderTerm).lift))
	mesh.Handle(s.mesh, wire.KindInstances, onLeader(s, (*leaderTerm).instances))
	mesh.Handle(s.mesh, wire.KindMembers, onLeader(s, (*leaderTerm).members))
	mesh.Handle(s.mesh, wire.KindAddMember, onLeader(s, (*leaderTerm).addMember))
	mesh.Handle(s.mesh, wire.KindReplaceMember, onLeader(s, (*leaderTerm).replaceMember))
	mesh.Handle(s.mesh, wire.KindPutTable, onLeader(s, (*leaderTerm).putTable))
	mesh.Handle(s.mesh, wire.KindTable, onLeader(s, (*leaderTerm).table))
	mesh.Handle(s.mesh, wire.KindEvacuate, onLeader(s, (*leaderTerm).evacuate))
	mesh.Handle(s.mesh, wire.KindEvacuation, onLeader(s, (*leaderTerm).evacuation))
	mesh.Handle(s.mesh, wire.KindOffer, onLeader(s, (*leaderTerm).recordOffer))
	mesh.Handle(s.mesh, wire.KindStartMove, onLeader(s, (*leaderTerm).startMove))
	mesh.Handle(s.mesh, wire.KindMove, onLeader(s, (*leaderTerm).move))
	mesh.Handle(s.mesh, wire.KindRemoveMember, onLeader(s, (*leaderTerm).removeMember))
}

// onLeader returns a handler that serves requests in the current term, and fails
// with code not-leader if there is none.
func onLeader[Request, Reply any](s *Server, serve func(*leaderTerm, context.Context, *Request) (*Reply, error)) func(context.Context, model.InstanceID, *Request) (*Reply, error) {
	return func(ctx context.Context, _ model.InstanceID, r *Request) (*Reply, error) {
		current, err := s.activeTerm()
		if err != nil {
			return nil, err
		}
		return serve(current, ctx, r)
	}
}

// activeTerm returns the current term if this instance leads and is ready to serve.
func (s *Server) activeTerm() (*leaderTerm, error) {
	status := s.group.Status()
	if !s.group.IsLeader() {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "lead", string(status.Leader.Instance), "%s does not lead: %s", s.mesh.Self(), notLeading(status))
	}
	s.mu.Lock()
	current := s.currentTerm
	s.mu.Unlock()
	if current == nil || current.term != status.Term {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "lead", string(s.mesh.Self()), "%s was elected but is not ready to serve yet", s.mesh.Self())
	}
	return current, nil
}

// notLeading returns why a member without a leader lease does not lead.
func notLeading(status replica.Status) string {
	switch {
	case status.Role == replica.RoleLeader && status.Applied < status.TermStart:
		return "it is elected, and has not applied the entries of earlier terms"
	case status.Role == replica.RoleLeader:
		return "it is elected, and holds no lease"
	case status.Leader.Instance != "":
		return fmt.Sprintf("it follows %s", status.Leader.Instance)
	}
	return "it knows no leader"
}

// Reload updates the instances that may lead.
func (s *Server) Reload(next *settings.Settings) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuredMembers = slices.Clone(next.Control.Members)
	return nil
}

// members returns the instances that may lead, possibly with duplicates: those
// from the settings, the voters that this instance knows, and the members that know
// this instance.
func (s *Server) members() []model.InstanceID {
	s.mu.Lock()
	listed := slices.Clone(s.configuredMembers)
	s.mu.Unlock()
	return slices.Concat(listed, s.voters(), s.group.Status().Contacts)
}

// voters returns the voters of the control group that this instance knows.
func (s *Server) voters() []model.InstanceID {
	var ids []model.InstanceID
	for _, m := range s.group.Status().Voters {
		ids = append(ids, m.Instance)
	}
	return ids
}

// now returns the time on the monotonic clock, counted from the start of the server.
func (s *Server) now() time.Duration { return time.Since(s.origin) }

// Run starts a term when this instance is elected and maintains the leases until
// ctx is done.
func (s *Server) Run(ctx context.Context) error {
	if s.canBeMember() {
		var offers sync.WaitGroup
		offers.Go(func() { s.offerLoop(ctx) })
		defer offers.Wait()
	}
	if s.settings.Duties.ReportsUsage() {
		var duties sync.WaitGroup
		duties.Go(func() { s.dutyLoop(ctx) })
		defer duties.Wait()
	}
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.tickDelay()):
		}
	}
}

// tickDelay returns the time until the next tick. It is shorter while instances
// may wait for this one: until it knows a leader, and as the leader until it has
// the platform's list.
func (s *Server) tickDelay() time.Duration {
	waits := s.group.Status().Leader.Instance == "" || s.group.IsLeader() && s.platform.List() == nil
	if s.settings.DataFolder != "" && s.settings.Instance.NamedByAddress && waits {
		return fastTickInterval
	}
	return tickInterval
}

func (s *Server) tick(ctx context.Context) {
	if !s.group.IsLeader() {
		s.mu.Lock()
		s.currentTerm = nil
		s.mu.Unlock()
		return
	}
	term := s.group.Status().Term
	s.mu.Lock()
	current := s.currentTerm
	s.mu.Unlock()
	if current == nil || current.term != term {
		s.startTerm(ctx, term)
		return
	}
	current.tick(ctx)
}

// startTerm starts a leaderTerm once all commands accepted in earlier terms are
// applied on this instance. The barrier command ensures that.
func (s *Server) startTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	barrier, err := (&state.Command{}).Encode()
	if err != nil {
		events.Emit(events.LeaderNotReady, term, err)
		return
	}
	if _, err := s.group.Propose(ctx, barrier); err != nil {
		events.Emit(events.LeaderNotReady, term, err)
		return
	}
	if s.group.Status().Term != term || !s.group.IsLeader() {
		return
	}
	next := newLeaderTerm(s, term)
	s.mu.Lock()
	s.currentTerm = next
	s.mu.Unlock()
	events.Emit(events.LeaderReady, term)
}

// leaseLifetime returns how long after a renewal the leader treats a lease as held:
// the lease duration plus a grace period.
func (s *Server) leaseLifetime() time.Duration { return leasetimes.Lifetime(s.settings.Lease) }

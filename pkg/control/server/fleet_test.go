package server_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/order/claims"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	instanceCount = 6
	memberCount   = 3
	connections   = 30
	coldLoad      = 4
	networkDelay  = time.Millisecond
)

// fakeNetwork delivers the messages of a fleet in memory.
type fakeNetwork struct {
	mu      sync.Mutex
	meshes  map[model.InstanceID]*fakeMesh
	blocked map[[2]model.InstanceID]bool
	// held are the messages that are delivered only once their hold is released, even
	// if the sender has given them up.
	held map[heldMessages]chan struct{}
	// observe, if set, gets each request that reaches an instance, and each reply that
	// it sends or receives.
	observe func(at model.InstanceID, message []byte)
}

// heldMessages are the messages of one kind that an instance sends.
type heldMessages struct {
	from model.InstanceID
	kind mesh.Kind
}

// hold keeps the messages of an instance of the given kinds back until release is
// called.
func (b *fakeNetwork) hold(from model.InstanceID, kinds ...mesh.Kind) (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	released := make(chan struct{})
	for _, kind := range kinds {
		b.held[heldMessages{from, kind}] = released
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, kind := range kinds {
			if b.held[heldMessages{from, kind}] == released {
				delete(b.held, heldMessages{from, kind})
			}
		}
		close(released)
	}
}

// awaitRelease waits while a message is held. A message that was held is delivered
// whatever became of its sender, so it gets a context of its own.
func (b *fakeNetwork) awaitRelease(ctx context.Context, from model.InstanceID, kind mesh.Kind) context.Context {
	b.mu.Lock()
	released := b.held[heldMessages{from, kind}]
	b.mu.Unlock()
	if released == nil {
		return ctx
	}
	<-released
	return context.WithoutCancel(ctx)
}

// fakeMesh is the Mesh of one instance on a fakeNetwork.
type fakeMesh struct {
	network  *fakeNetwork
	id       model.InstanceID
	handlers map[mesh.Kind]mesh.Handler
}

func (n *fakeMesh) Self() model.InstanceID                      { return n.id }
func (n *fakeMesh) SetPeer(model.InstanceID, netip.AddrPort)    {}
func (n *fakeMesh) Handle(kind mesh.Kind, handler mesh.Handler) { n.handlers[kind] = handler }

func (n *fakeMesh) Peers() []model.InstanceID {
	var ids []model.InstanceID
	for id := range n.network.meshes {
		ids = append(ids, id)
	}
	return ids
}

func (b *fakeNetwork) partitioned(from, to model.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blocked[[2]model.InstanceID{from, to}]
}

// Call drops messages between partitioned instances silently, as a network does.
func (n *fakeMesh) Call(ctx context.Context, to model.InstanceID, kind mesh.Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	if to != n.id {
		time.Sleep(networkDelay)
	}
	if n.network.partitioned(n.id, to) {
		<-ctx.Done()
		return nil, failure.New(failure.PeerUnreachable, failure.Unknown, string(kind), string(to), "%w", ctx.Err())
	}
	ctx = n.network.awaitRelease(ctx, n.id, kind)
	handler := n.network.meshes[to].handlers[kind]
	if handler == nil {
		return nil, failure.New(failure.BadRequest, failure.NotRun, string(kind), string(to), "no handler")
	}
	reply, err := handler(ctx, n.id, request)
	if observe := n.network.observer(); observe != nil {
		observe(to, request)
		observe(to, reply)
		observe(n.id, reply)
	}
	if n.network.partitioned(to, n.id) {
		<-ctx.Done()
		return nil, failure.New(failure.PeerUnreachable, failure.Unknown, string(kind), string(to), "%w", ctx.Err())
	}
	return reply, err
}

// fakeGroup is a fake replicated log: it applies commands of the leader on all
// members at once.
type fakeGroup struct {
	mu      sync.Mutex
	term    uint64
	leader  model.InstanceID
	index   uint64
	members []*fakeMember
	// delay is added to the time that each command takes.
	delay time.Duration
	// lossy selects the commands whose outcome is unknown; nil means none.
	lossy *rand.Rand
}

// injectFaults makes the outcome of random commands unknown, unless lossy is nil,
// and delays each command.
func (g *fakeGroup) injectFaults(lossy *rand.Rand, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lossy, g.delay = lossy, delay
}

func (g *fakeGroup) commandTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return networkDelay + g.delay
}

// drawOutcome decides at random whether a command is applied and whether its
// proposer gets the result.
func (g *fakeGroup) drawOutcome() (applied, acknowledged bool) {
	if g.lossy == nil {
		return true, true
	}
	n := g.lossy.IntN(20)
	return n != 0, n > 1
}

type fakeMember struct {
	group   *fakeGroup
	id      model.InstanceID
	machine *state.Machine
}

func (m *fakeMember) Propose(ctx context.Context, command []byte) ([]byte, error) {
	time.Sleep(m.group.commandTime())
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.group.leader != m.id {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "propose", string(m.group.leader), "not the leader")
	}
	unknown := failure.New(failure.OutcomeUnknown, failure.Unknown, "propose", "", "leadership lost")
	applied, acknowledged := m.group.drawOutcome()
	if !applied {
		return nil, unknown
	}
	m.group.index++
	var result []byte
	for _, other := range m.group.members {
		r := other.machine.Apply(m.group.index, command)
		if other == m {
			result = r
		}
	}
	if !acknowledged {
		return nil, unknown
	}
	return result, nil
}

func (m *fakeMember) Status() replica.Status {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return replica.Status{Term: m.group.term, Leader: replica.Member{Instance: m.group.leader}}
}

func (m *fakeMember) IsLeader() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.leader == m.id
}

func (m *fakeMember) AddLearner(context.Context, replica.Member) error              { return nil }
func (m *fakeMember) Promote(context.Context, replica.Member) error                 { return nil }
func (m *fakeMember) Replace(context.Context, replica.Member, replica.Member) error { return nil }
func (m *fakeMember) Remove(context.Context, replica.Member) error                  { return nil }
func (m *fakeMember) ReplaceByLearner(context.Context, replica.Member, replica.Member) error {
	return nil
}

// elect starts a new term with an instance as leader; an empty ID means none.
func (g *fakeGroup) elect(id model.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = id
}

type staticList struct{ list *platform.List }

func (s staticList) List() *platform.List { return s.list }

// fakeDispatcher is a Dispatcher that counts the runs of each key.
type fakeDispatcher struct {
	mu   sync.Mutex
	runs map[string]int
	// delay is the time that a target takes to reply.
	delay time.Duration
	// faults makes random requests fail, some before and some after the order ran;
	// nil means none.
	faults *rand.Rand
}

func (l *fakeDispatcher) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// run counts a run unless the target refuses the order. It reports whether the
// order ran and whether the target answers.
func (l *fakeDispatcher) run(key string) (ran, answers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 2
	if l.faults != nil {
		n = l.faults.IntN(20)
	}
	if n == 0 {
		return false, false
	}
	l.runs[key]++
	return true, n != 1
}

func (l *fakeDispatcher) Dispatch(ctx context.Context, r order.Request, allowed func() bool) (*targetproto.OrderReply, error) {
	if !allowed() {
		return nil, failure.New(failure.LeaseExpired, failure.NotRun, "dispatch", "", "not allowed")
	}
	ran, answers := l.run(r.IdempotencyKey)
	if !ran {
		return nil, failure.New(failure.TargetShed, failure.NotRun, "dispatch", "", "target refused")
	}
	if !answers {
		return nil, failure.New(failure.TargetFailed, failure.Unknown, "dispatch", "", "connection lost")
	}
	select {
	case <-time.After(l.delay):
		return &targetproto.OrderReply{Confirmation: "c-" + r.IdempotencyKey}, nil
	case <-ctx.Done():
		return nil, failure.New(failure.DeadlineExceeded, failure.Unknown, "dispatch", "", "%w", ctx.Err())
	}
}

// fleet is a set of instances in one process.
type fleet struct {
	network    *fakeNetwork
	group      *fakeGroup
	instances  []*instance
	dispatcher *fakeDispatcher
	targets    []model.TargetID
	options    fleetOptions
}

// fleetOptions adapt a fleet; each may be nil.
type fleetOptions struct {
	// change changes the settings of each instance.
	change func(*settings.Settings)
	// prepare is called for each instance before it starts.
	prepare func(i int, n *instance)
}

type instance struct {
	id     model.InstanceID
	server *server.Server
	lease  *lease.Module
	claims *claims.Service
	cancel context.CancelFunc
}

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("entry-%d", i)) }

func fleetSettings(i int) *settings.Settings {
	s := &settings.Settings{
		Instance:          settings.Instance{ID: instanceID(i), AvailabilityZone: "zadar-b"},
		AvailabilityZones: []model.AvailabilityZoneID{"split-a", "zadar-b"},
		Lease:             settings.Lease{Renew: settings.Duration(500 * time.Millisecond), Duration: settings.Duration(2 * time.Second)},
		Collections: []settings.Collection{{
			ID: "shopfront", Services: 1, Leaves: 2, Slots: 3, Connections: connections, ColdLoad: coldLoad,
		}},
	}
	s.Control.ClaimRetention = settings.Duration(48 * time.Hour)
	for m := range memberCount {
		s.Control.Members = append(s.Control.Members, instanceID(m))
	}
	return s
}

// withFleet runs f on a fake clock with a fleet whose leader is entry-0.
func withFleet(t *testing.T, f func(t *testing.T, fl *fleet)) {
	withAdaptedFleet(t, fleetOptions{}, f)
}

// withAdaptedFleet is withFleet with options.
func withAdaptedFleet(t *testing.T, options fleetOptions, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(options)
		ctx, cancel := context.WithCancel(t.Context())
		for _, n := range fl.instances {
			n.start(ctx)
		}
		fl.group.elect(instanceID(0))
		f(t, fl)
		for _, n := range fl.instances {
			_ = n.claims.Drain(ctx)
		}
		cancel()
		// Let every goroutine end, each within its own timeout.
		time.Sleep(time.Minute)
	})
}

func TestMain(m *testing.M) {
	if err := events.Setup(io.Discard, "json", "error"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newFleet(options fleetOptions) *fleet {
	fl := &fleet{
		options:    options,
		network:    &fakeNetwork{meshes: make(map[model.InstanceID]*fakeMesh), blocked: make(map[[2]model.InstanceID]bool), held: make(map[heldMessages]chan struct{})},
		group:      &fakeGroup{},
		dispatcher: &fakeDispatcher{runs: make(map[string]int), delay: 5 * time.Millisecond},
	}
	list := &platform.List{Sequence: 1}
	for slot := range 3 {
		id := model.NewTargetID("shopfront", model.LeafID{Service: "svc-01", Leaf: 1}, slot)
		list.Targets = append(list.Targets, model.Target{ID: id, Collection: "shopfront"})
		fl.targets = append(fl.targets, id)
	}
	for i := range instanceCount {
		fl.network.meshes[instanceID(i)] = &fakeMesh{network: fl.network, id: instanceID(i), handlers: make(map[mesh.Kind]mesh.Handler)}
	}
	for i := range instanceCount {
		fl.instances = append(fl.instances, fl.newInstance(i, list))
	}
	return fl
}

func (fl *fleet) newInstance(i int, list *platform.List) *instance {
	s := fleetSettings(i)
	if fl.options.change != nil {
		fl.options.change(s)
	}
	m := &fakeMember{group: fl.group, id: s.Instance.ID, machine: state.NewMachine()}
	if i < len(fl.group.members) {
		// The instance is started again with its disk.
		m = fl.group.members[i]
	} else {
		fl.group.members = append(fl.group.members, m)
	}
	n := fl.network.meshes[s.Instance.ID]
	srv := server.New(s, n, staticList{list}, m.machine, m)
	l := lease.New(s, n, srv.Router())
	made := &instance{id: s.Instance.ID, server: srv, lease: l, claims: claims.New(s, n, srv.Router(), l, fl.dispatcher)}
	if fl.options.prepare != nil {
		fl.options.prepare(i, made)
	}
	return made
}

func (n *instance) start(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go func() { _ = n.server.Run(ctx) }()
	go func() { _ = n.lease.Run(ctx) }()
}

// partition drops all messages between an instance and the others.
func (fl *fleet) partition(id model.InstanceID, others ...model.InstanceID) {
	fl.network.mu.Lock()
	defer fl.network.mu.Unlock()
	for _, o := range others {
		fl.network.blocked[[2]model.InstanceID{id, o}] = true
		fl.network.blocked[[2]model.InstanceID{o, id}] = true
	}
}

func (fl *fleet) heal() {
	fl.network.mu.Lock()
	defer fl.network.mu.Unlock()
	clear(fl.network.blocked)
}

// held returns the sum of the grants of a target at the instances with a usable
// lease.
func (fl *fleet) held(id model.TargetID) (connections, cold int) {
	for _, n := range fl.instances {
		if usable(n.lease.Lease()) {
			g := n.lease.View().Grants[id]
			connections += g.Connections
			cold += g.ColdLoad
		}
	}
	return connections, cold
}

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
	hop           = time.Millisecond
)

// bus carries the messages of a fleet in memory.
type bus struct {
	mu    sync.Mutex
	nodes map[model.InstanceID]*node
	cut   map[[2]model.InstanceID]bool
}

// node is the Mesh of one instance.
type node struct {
	bus      *bus
	id       model.InstanceID
	handlers map[mesh.Kind]mesh.Handler
}

func (n *node) Self() model.InstanceID                      { return n.id }
func (n *node) SetPeer(model.InstanceID, netip.AddrPort)    {}
func (n *node) Handle(kind mesh.Kind, handler mesh.Handler) { n.handlers[kind] = handler }

func (n *node) Peers() []model.InstanceID {
	var ids []model.InstanceID
	for id := range n.bus.nodes {
		ids = append(ids, id)
	}
	return ids
}

func (b *bus) isCut(from, to model.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut[[2]model.InstanceID{from, to}]
}

// Call loses messages over a cut without a word, as a network does.
func (n *node) Call(ctx context.Context, to model.InstanceID, kind mesh.Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	if to != n.id {
		time.Sleep(hop)
	}
	if n.bus.isCut(n.id, to) {
		<-ctx.Done()
		return nil, failure.New(failure.PeerUnreachable, failure.Unknown, string(kind), string(to), "%w", ctx.Err())
	}
	handler := n.bus.nodes[to].handlers[kind]
	if handler == nil {
		return nil, failure.New(failure.BadRequest, failure.NotRun, string(kind), string(to), "no handler")
	}
	reply, err := handler(ctx, n.id, request)
	if n.bus.isCut(to, n.id) {
		<-ctx.Done()
		return nil, failure.New(failure.PeerUnreachable, failure.Unknown, string(kind), string(to), "%w", ctx.Err())
	}
	return reply, err
}

// group is a fake of the replicated log: commands of the leader are applied on
// all members at once.
type group struct {
	mu      sync.Mutex
	term    uint64
	leader  model.InstanceID
	index   uint64
	members []*member
	// delay is how long a command takes.
	delay time.Duration
	// lossy makes the outcome of some commands unknown; nil means none.
	lossy *rand.Rand
}

// disturb makes the outcome of some commands unknown, or none if lossy is nil,
// and lets each command take a time.
func (g *group) disturb(lossy *rand.Rand, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lossy, g.delay = lossy, delay
}

func (g *group) commandTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return hop + g.delay
}

// fate draws whether a command is applied and whether its proposer hears of it.
func (g *group) fate() (applied, heard bool) {
	if g.lossy == nil {
		return true, true
	}
	n := g.lossy.IntN(20)
	return n != 0, n > 1
}

type member struct {
	group   *group
	id      model.InstanceID
	machine *state.Machine
}

func (m *member) Propose(ctx context.Context, command []byte) ([]byte, error) {
	time.Sleep(m.group.commandTime())
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.group.leader != m.id {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "propose", string(m.group.leader), "not the leader")
	}
	unknown := failure.New(failure.OutcomeUnknown, failure.Unknown, "propose", "", "leadership lost")
	applied, heard := m.group.fate()
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
	if !heard {
		return nil, unknown
	}
	return result, nil
}

func (m *member) Status() replica.Status {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return replica.Status{Term: m.group.term, Leader: replica.Member{Instance: m.group.leader}}
}

func (m *member) IsLeader() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.leader == m.id
}

func (m *member) AddLearner(context.Context, replica.Member) error              { return nil }
func (m *member) Promote(context.Context, replica.Member) error                 { return nil }
func (m *member) Replace(context.Context, replica.Member, replica.Member) error { return nil }
func (m *member) Remove(context.Context, replica.Member) error                  { return nil }

// elect makes an instance the leader of a new term; an empty ID means none.
func (g *group) elect(id model.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = id
}

type staticList struct{ list *platform.List }

func (s staticList) List() *platform.List { return s.list }

// orderLog is a Dispatcher that counts the runs of each key.
type orderLog struct {
	mu   sync.Mutex
	runs map[string]int
	// delay is how long a target takes.
	delay time.Duration
	// faults makes some targets refuse before and some fail after a run; nil
	// means none.
	faults *rand.Rand
}

func (l *orderLog) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// run counts a run unless the target refuses; it reports whether it answers.
func (l *orderLog) run(key string) (ran, answers bool) {
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

func (l *orderLog) Dispatch(ctx context.Context, r order.Request, allowed func() bool) (*targetproto.OrderReply, error) {
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

// fleet is a tier of instances in one process.
type fleet struct {
	bus     *bus
	group   *group
	nodes   []*instance
	orders  *orderLog
	targets []model.TargetID
}

type instance struct {
	id     model.InstanceID
	server *server.Server
	lease  *lease.Module
	orders *claims.Service
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

// inFleet runs f with a fleet whose leader is entry-0, on a fake clock.
func inFleet(t *testing.T, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet()
		ctx, cancel := context.WithCancel(t.Context())
		for _, n := range fl.nodes {
			n.start(ctx)
		}
		fl.group.elect(instanceID(0))
		f(t, fl)
		for _, n := range fl.nodes {
			_ = n.orders.Drain(ctx)
		}
		cancel()
		// Every goroutine ends within its own timeout.
		time.Sleep(time.Minute)
	})
}

func TestMain(m *testing.M) {
	if err := events.Setup(io.Discard, "json", "error"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newFleet() *fleet {
	fl := &fleet{
		bus:    &bus{nodes: make(map[model.InstanceID]*node), cut: make(map[[2]model.InstanceID]bool)},
		group:  &group{},
		orders: &orderLog{runs: make(map[string]int), delay: 5 * time.Millisecond},
	}
	list := &platform.List{Sequence: 1}
	for slot := range 3 {
		id := model.NewTargetID("shopfront", model.LeafID{Service: "svc-01", Leaf: 1}, slot)
		list.Targets = append(list.Targets, model.Target{ID: id, Collection: "shopfront"})
		fl.targets = append(fl.targets, id)
	}
	for i := range instanceCount {
		fl.bus.nodes[instanceID(i)] = &node{bus: fl.bus, id: instanceID(i), handlers: make(map[mesh.Kind]mesh.Handler)}
	}
	for i := range instanceCount {
		fl.nodes = append(fl.nodes, fl.newInstance(i, list))
	}
	return fl
}

func (fl *fleet) newInstance(i int, list *platform.List) *instance {
	s := fleetSettings(i)
	m := &member{group: fl.group, id: s.Instance.ID, machine: state.NewMachine()}
	fl.group.members = append(fl.group.members, m)
	n := fl.bus.nodes[s.Instance.ID]
	srv := server.New(s, n, staticList{list}, m.machine, m)
	l := lease.New(s, n, srv.Router())
	return &instance{id: s.Instance.ID, server: srv, lease: l, orders: claims.New(s, n, srv.Router(), l, fl.orders)}
}

func (n *instance) start(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go func() { _ = n.server.Run(ctx) }()
	go func() { _ = n.lease.Run(ctx) }()
}

// cutOff loses all messages between an instance and the others.
func (fl *fleet) cutOff(id model.InstanceID, others ...model.InstanceID) {
	fl.bus.mu.Lock()
	defer fl.bus.mu.Unlock()
	for _, o := range others {
		fl.bus.cut[[2]model.InstanceID{id, o}] = true
		fl.bus.cut[[2]model.InstanceID{o, id}] = true
	}
}

func (fl *fleet) heal() {
	fl.bus.mu.Lock()
	defer fl.bus.mu.Unlock()
	clear(fl.bus.cut)
}

// held is the sum of what the instances with a usable lease believe to hold.
func (fl *fleet) held(id model.TargetID) (connections, cold int) {
	for _, n := range fl.nodes {
		if usable(n.lease.Lease()) {
			g := n.lease.View().Grants[id]
			connections += g.Connections
			cold += g.ColdLoad
		}
	}
	return connections, cold
}

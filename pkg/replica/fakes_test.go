package replica_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// network connects fake meshes. An isolated instance reaches no other.
type network struct {
	mu       sync.Mutex
	nodes    map[model.InstanceID]*fakeMesh
	isolated map[model.InstanceID]bool
	// delay is the one-way latency, set before the first call.
	delay time.Duration
}

func newNetwork() *network {
	return &network{nodes: make(map[model.InstanceID]*fakeMesh), isolated: make(map[model.InstanceID]bool)}
}

func (n *network) setIsolated(id model.InstanceID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// join gives an instance a new mesh that replaces its earlier one.
func (n *network) join(id model.InstanceID) *fakeMesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &fakeMesh{network: n, self: id, handlers: make(map[mesh.Kind]mesh.Handler)}
	n.nodes[id] = m
	return m
}

func (n *network) leave(id model.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
}

func (n *network) peer(from, to model.InstanceID) *fakeMesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from != to && (n.isolated[from] || n.isolated[to]) {
		return nil
	}
	return n.nodes[to]
}

// fakeMesh is an in-process mesh.
type fakeMesh struct {
	network *network
	self    model.InstanceID

	mu       sync.Mutex
	handlers map[mesh.Kind]mesh.Handler
}

var _ mesh.Mesh = (*fakeMesh)(nil)

func (m *fakeMesh) Self() model.InstanceID                      { return m.self }
func (m *fakeMesh) SetPeer(model.InstanceID, netip.AddrPort)    {}
func (m *fakeMesh) Handle(kind mesh.Kind, handler mesh.Handler) { m.setHandler(kind, handler) }

func (m *fakeMesh) setHandler(kind mesh.Kind, handler mesh.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = handler
}

func (m *fakeMesh) Peers() []model.InstanceID {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	var ids []model.InstanceID
	for id := range m.network.nodes {
		ids = append(ids, id)
	}
	return ids
}

func (m *fakeMesh) Call(ctx context.Context, to model.InstanceID, kind mesh.Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	peer := m.network.peer(m.self, to)
	if peer == nil {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, string(kind), string(to), "instance is isolated")
	}
	peer.mu.Lock()
	handler := peer.handlers[kind]
	peer.mu.Unlock()
	if handler == nil {
		return nil, failure.New(failure.BadRequest, failure.NotRun, string(kind), string(to), "no handler")
	}
	time.Sleep(m.network.delay)
	defer time.Sleep(m.network.delay)
	return handler(ctx, m.self, request)
}

// listMachine is a state machine that stores each distinct command once, in order.
type listMachine struct {
	mu       sync.Mutex
	commands [][]byte
}

func (l *listMachine) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := slices.ContainsFunc(l.commands, func(c []byte) bool { return bytes.Equal(c, command) })
	if !known {
		l.commands = append(l.commands, slices.Clone(command))
	}
	return append([]byte("did "), command...)
}

func (l *listMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cbor.Marshal(l.commands)
}

func (l *listMachine) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	if len(snapshot) == 0 {
		return errors.New("empty snapshot")
	}
	return cbor.Unmarshal(snapshot, &l.commands)
}

func (l *listMachine) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var texts []string
	for _, c := range l.commands {
		texts = append(texts, string(bytes.Clone(c)))
	}
	return texts
}

package replica

import (
	"context"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

// stepKind carries messages of the consensus between members.
const stepKind mesh.Kind = "replica.step"

const (
	// queuedMessages bounds the messages that wait for one peer. Further ones
	// are dropped, as the network might.
	queuedMessages = 256
	// deliveryBytes is the size after which a delivery takes no further message.
	// The longest message on top of it stays below what the mesh carries.
	deliveryBytes = 8 << 20
	// parallelDeliveries bounds the deliveries on their way to one peer.
	parallelDeliveries = 4
	// callTimeouts is how many election timeouts a delivery may take.
	callTimeouts = 1
	// snapshotTimeouts is the same for a snapshot.
	snapshotTimeouts = 10
)

type stepRequest struct {
	Messages []consensus.Message `cbor:"1,keyasint"`
}

type stepReply struct{}

// transport has one sender for each peer. What waits while the peer's slots are
// taken goes out together in the next delivery. Deliveries may overtake each
// other, which the consensus allows for.
type transport struct {
	node   *Node
	ctx    context.Context
	cancel context.CancelFunc

	// senders is used by the loop only.
	senders map[model.InstanceID]*sender
	done    sync.WaitGroup
}

type sender struct {
	transport *transport
	to        model.InstanceID
	queue     chan consensus.Message
	// slots bounds the deliveries on their way.
	slots chan struct{}
	// sendingSnapshot allows one snapshot at a time.
	sendingSnapshot chan struct{}
}

func newTransport(n *Node) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{node: n, ctx: ctx, cancel: cancel, senders: make(map[model.InstanceID]*sender)}
	mesh.Handle(n.opts.Mesh, stepKind, t.receive)
	return t
}

// receive hands the messages of a peer to the loop. A peer speaks only for
// itself.
func (t *transport) receive(ctx context.Context, from model.InstanceID, r *stepRequest) (*stepReply, error) {
	for _, m := range r.Messages {
		if m.From.Instance != from {
			return nil, failure.New(failure.Unauthorized, failure.NotRun, "step", string(from), "message is from %s", m.From)
		}
	}
	select {
	case t.node.deliveries <- r.Messages:
		return &stepReply{}, nil
	case <-t.node.stopped:
		return nil, errStopped("step")
	case <-ctx.Done():
		return nil, failure.New(failure.Overloaded, failure.NotRun, "step", string(from), "%w", context.Cause(ctx))
	}
}

func (t *transport) send(messages []consensus.Message) {
	for _, m := range messages {
		s := t.sender(m.To.Instance)
		if m.Snapshot != nil {
			s.sendSnapshot(m)
			continue
		}
		select {
		case s.queue <- m:
		default:
			t.node.metrics.dropped.Inc()
		}
	}
}

func (t *transport) sender(to model.InstanceID) *sender {
	if s, ok := t.senders[to]; ok {
		return s
	}
	s := &sender{
		transport:       t,
		to:              to,
		queue:           make(chan consensus.Message, queuedMessages),
		slots:           make(chan struct{}, parallelDeliveries),
		sendingSnapshot: make(chan struct{}, 1),
	}
	t.senders[to] = s
	t.done.Add(1)
	go s.run()
	return s
}

func (t *transport) stop() {
	t.cancel()
	t.done.Wait()
}

func (s *sender) run() {
	defer s.transport.done.Done()
	for {
		select {
		case <-s.transport.ctx.Done():
			return
		case m := <-s.queue:
			s.slots <- struct{}{}
			s.deliverAside(s.collect(m))
		}
	}
}

// deliverAside delivers in a goroutine that frees the slot afterwards.
func (s *sender) deliverAside(messages []consensus.Message) {
	s.transport.done.Add(1)
	go func() {
		defer s.transport.done.Done()
		defer func() { <-s.slots }()
		s.deliver(messages, callTimeouts)
	}()
}

func (s *sender) collect(m consensus.Message) []consensus.Message {
	messages := []consensus.Message{m}
	size := entryBytes(m)
	for len(messages) < queuedMessages && size < deliveryBytes {
		select {
		case m := <-s.queue:
			messages = append(messages, m)
			size += entryBytes(m)
		default:
			return messages
		}
	}
	return messages
}

// entryBytes returns the size of the commands in a message.
func entryBytes(m consensus.Message) int {
	if m.Append == nil {
		return 0
	}
	size := 0
	for _, e := range m.Append.Entries {
		size += len(e.Command)
	}
	return size
}

// deliver calls the peer. A failure loses the messages; the consensus repeats
// what matters.
func (s *sender) deliver(messages []consensus.Message, timeouts int) {
	node := s.transport.node
	ctx, cancel := context.WithTimeout(s.transport.ctx, time.Duration(timeouts)*node.opts.ElectionTimeout)
	defer cancel()
	_, _ = mesh.Call[stepRequest, stepReply](ctx, node.opts.Mesh, s.to, stepKind, &stepRequest{Messages: messages})
}

// sendSnapshot reads the snapshot in place and sends it beside the other
// messages, so that it holds up no heartbeat.
func (s *sender) sendSnapshot(m consensus.Message) {
	select {
	case s.sendingSnapshot <- struct{}{}:
	default:
		return
	}
	s.transport.done.Add(1)
	go func() {
		defer s.transport.done.Done()
		defer func() { <-s.sendingSnapshot }()
		snapshot, err := s.transport.node.journal.ReadSnapshot()
		if err != nil {
			return
		}
		request := *m.Snapshot
		request.Snapshot = snapshot
		m.Snapshot = &request
		s.deliver([]consensus.Message{m}, snapshotTimeouts)
	}()
}

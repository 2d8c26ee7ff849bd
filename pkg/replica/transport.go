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

// stepKind carries consensus messages between members.
const stepKind mesh.Kind = "replica.step"

const (
	// sendQueueSize limits the messages that wait for one peer. Further messages
	// are dropped, as a network may do.
	sendQueueSize = 256
	// sendBatchBytes is the size at which a batch accepts no further message.
	// With the largest message added, a batch stays below the mesh's size limit.
	sendBatchBytes = 8 << 20
	// maxConcurrentSends limits the batches in flight to one peer.
	maxConcurrentSends = 4
	// sendElectionTimeouts is the timeout for sending a batch, in election timeouts,
	// and for each sendTimeoutBytes of commands in it.
	sendElectionTimeouts = 1
	sendTimeoutBytes     = 1 << 20
	// snapshotElectionTimeouts is the same for a snapshot.
	snapshotElectionTimeouts = 10
)

type stepRequest struct {
	Messages []consensus.Message `cbor:"1,keyasint"`
}

type stepReply struct{}

// transport has one sender for each peer. Messages that queue up while all send
// slots of the peer are in use are sent together in the next batch. Batches may
// arrive out of order, which the consensus protocol tolerates.
type transport struct {
	node   *Node
	ctx    context.Context
	cancel context.CancelFunc

	// senders is used only by the event loop.
	senders    map[model.InstanceID]*sender
	goroutines sync.WaitGroup
}

type sender struct {
	transport *transport
	to        model.InstanceID
	queue     chan consensus.Message
	// sendSlots limits the batches in flight.
	sendSlots chan struct{}
	// snapshotSlot allows one snapshot at a time.
	snapshotSlot chan struct{}
}

func newTransport(n *Node) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{node: n, ctx: ctx, cancel: cancel, senders: make(map[model.InstanceID]*sender)}
	mesh.Handle(n.options.Mesh, stepKind, t.receive)
	return t
}

// receive passes the messages of a peer to the event loop. It rejects messages
// that a peer sends in the name of another instance.
func (t *transport) receive(ctx context.Context, from model.InstanceID, r *stepRequest) (*stepReply, error) {
	for _, m := range r.Messages {
		if m.From.Instance != from {
			return nil, failure.New(failure.Unauthorized, failure.NotRun, "step", string(from), "message is from %s", m.From)
		}
	}
	select {
	case t.node.inbound <- r.Messages:
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
			t.node.metrics.droppedMessages.Inc()
		}
	}
}

func (t *transport) sender(to model.InstanceID) *sender {
	if s, ok := t.senders[to]; ok {
		return s
	}
	s := &sender{
		transport:    t,
		to:           to,
		queue:        make(chan consensus.Message, sendQueueSize),
		sendSlots:    make(chan struct{}, maxConcurrentSends),
		snapshotSlot: make(chan struct{}, 1),
	}
	t.senders[to] = s
	t.goroutines.Add(1)
	go s.run()
	return s
}

func (t *transport) stop() {
	t.cancel()
	t.goroutines.Wait()
}

func (s *sender) run() {
	defer s.transport.goroutines.Done()
	for {
		select {
		case <-s.transport.ctx.Done():
			return
		case m := <-s.queue:
			s.sendSlots <- struct{}{}
			s.sendBatchAsync(s.collectBatch(m))
		}
	}
}

// sendBatchAsync sends a batch in a goroutine that releases the send slot
// afterwards.
func (s *sender) sendBatchAsync(messages []consensus.Message) {
	s.transport.goroutines.Add(1)
	go func() {
		defer s.transport.goroutines.Done()
		defer func() { <-s.sendSlots }()
		s.sendBatch(messages, batchElectionTimeouts(messages))
	}()
}

// batchElectionTimeouts returns the timeout for sending a batch, in election timeouts.
func batchElectionTimeouts(messages []consensus.Message) int {
	size := 0
	for _, m := range messages {
		size += commandBytes(m)
	}
	return sendElectionTimeouts * (1 + size/sendTimeoutBytes)
}

func (s *sender) collectBatch(m consensus.Message) []consensus.Message {
	messages := []consensus.Message{m}
	size := commandBytes(m)
	for len(messages) < sendQueueSize && size < sendBatchBytes {
		select {
		case m := <-s.queue:
			messages = append(messages, m)
			size += commandBytes(m)
		default:
			return messages
		}
	}
	return messages
}

// commandBytes returns the total size of the commands in a message.
func commandBytes(m consensus.Message) int {
	if m.Append == nil {
		return 0
	}
	size := 0
	for _, e := range m.Append.Entries {
		size += len(e.Command)
	}
	return size
}

// sendBatch calls the peer. If the call fails, the messages are lost; the
// consensus protocol resends what is needed.
func (s *sender) sendBatch(messages []consensus.Message, timeouts int) {
	node := s.transport.node
	ctx, cancel := context.WithTimeout(s.transport.ctx, time.Duration(timeouts)*node.options.ElectionTimeout)
	defer cancel()
	_, _ = mesh.Call[stepRequest, stepReply](ctx, node.options.Mesh, s.to, stepKind, &stepRequest{Messages: messages})
}

// sendSnapshot reads the current snapshot and sends it in a separate goroutine,
// so that it delays no heartbeat.
func (s *sender) sendSnapshot(m consensus.Message) {
	select {
	case s.snapshotSlot <- struct{}{}:
	default:
		return
	}
	s.transport.goroutines.Add(1)
	go func() {
		defer s.transport.goroutines.Done()
		defer func() { <-s.snapshotSlot }()
		snapshot, err := s.transport.node.journal.ReadSnapshot()
		if err != nil {
			return
		}
		request := *m.Snapshot
		request.Snapshot = snapshot
		m.Snapshot = &request
		s.sendBatch([]consensus.Message{m}, snapshotElectionTimeouts)
	}()
}

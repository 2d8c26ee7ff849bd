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
	// sendQueueSize limits the messages that wait in one lane of a peer. Further messages
	// are dropped, as a network may do.
	sendQueueSize = 256
	// sendBatchBytes is the size at which a batch accepts no further message.
	// With the largest message added, a batch stays below the mesh's size limit.
	sendBatchBytes = 8 << 20
	// maxConcurrentSends limits the batches in flight in one lane of a peer.
	maxConcurrentSends = 4
	// shortElectionTimeouts is the timeout for sending messages without entries, in
	// election timeouts.
	shortElectionTimeouts = 1
	// stallElectionTimeouts is the time without progress after which sending entries or a
	// snapshot is given up, in election timeouts. Packets that are lost several times in a
	// row delay the rest for a multiple of the round trip.
	stallElectionTimeouts = 4
)

type stepRequest struct {
	Messages []consensus.Message `cbor:"1,keyasint"`
}

type stepReply struct{}

// transport has one sender for each peer.
type transport struct {
	node   *Node
	ctx    context.Context
	cancel context.CancelFunc

	// senders is used only by the event loop.
	senders    map[model.InstanceID]*sender
	goroutines sync.WaitGroup
}

// sender sends to one peer. Messages without entries, such as heartbeats and votes, have a
// lane of their own, so that they do not wait behind entries.
type sender struct {
	transport *transport
	to        model.InstanceID
	short     lane
	entries   lane
	// snapshotSlot allows one snapshot at a time.
	snapshotSlot chan struct{}
}

// lane is a queue of messages to one peer. Messages that queue up while all send slots are
// in use are sent together in the next batch. Batches may arrive out of order, which the
// consensus protocol tolerates.
type lane struct {
	queue chan consensus.Message
	// slots limits the batches in flight.
	slots chan struct{}
}

func newLane() lane {
	return lane{
		queue: make(chan consensus.Message, sendQueueSize),
		slots: make(chan struct{}, maxConcurrentSends),
	}
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
	if t.node.Status().DiskFull {
		return nil, errDiskFull("step", from)
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
		case s.laneOf(m).queue <- m:
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
		short:        newLane(),
		entries:      newLane(),
		snapshotSlot: make(chan struct{}, 1),
	}
	t.senders[to] = s
	t.goroutines.Go(func() { s.run(s.short, s.sendShort) })
	t.goroutines.Go(func() { s.run(s.entries, s.sendLarge) })
	return s
}

func (t *transport) stop() {
	t.cancel()
	t.goroutines.Wait()
}

func (s *sender) laneOf(m consensus.Message) *lane {
	if m.Append != nil && len(m.Append.Entries) > 0 {
		return &s.entries
	}
	return &s.short
}

// run sends the messages of a lane in batches until the transport stops.
func (s *sender) run(l lane, send func([]consensus.Message)) {
	for {
		select {
		case <-s.transport.ctx.Done():
			return
		case m := <-l.queue:
			l.slots <- struct{}{}
			messages := l.collectBatch(m)
			s.transport.goroutines.Go(func() {
				defer func() { <-l.slots }()
				send(messages)
			})
		}
	}
}

func (l lane) collectBatch(m consensus.Message) []consensus.Message {
	messages := []consensus.Message{m}
	size := commandBytes(m)
	for len(messages) < sendQueueSize && size < sendBatchBytes {
		select {
		case m := <-l.queue:
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

// sendShort sends messages without entries. If the call fails, they are lost; the
// consensus protocol resends what is needed.
func (s *sender) sendShort(messages []consensus.Message) {
	ctx, cancel := context.WithTimeout(s.transport.ctx, shortElectionTimeouts*s.transport.node.options.ElectionTimeout)
	defer cancel()
	_ = s.call(ctx, messages)
}

// sendLarge sends messages with entries or a snapshot. It takes as long as the call makes
// progress, and reports whether the messages have arrived.
func (s *sender) sendLarge(messages []consensus.Message) {
	ctx, cancel := context.WithCancel(s.transport.ctx)
	defer cancel()
	timeout := stallElectionTimeouts * s.transport.node.options.ElectionTimeout
	stalled := time.AfterFunc(timeout, cancel)
	defer stalled.Stop()
	ctx = mesh.WithProgress(ctx, func() { stalled.Reset(timeout) })
	if err := s.call(ctx, messages); err != nil {
		s.reportLost(messages)
		return
	}
	s.reportDelivered(messages)
}

func (s *sender) call(ctx context.Context, messages []consensus.Message) error {
	_, err := mesh.Call[stepRequest, stepReply](ctx, s.transport.node.options.Mesh, s.to, stepKind, &stepRequest{Messages: messages})
	return err
}

// reportLost tells the event loop that messages did not reach the peer.
func (s *sender) reportLost(messages []consensus.Message) {
	s.report(func(time.Duration) {
		for _, m := range messages {
			s.transport.node.raft.ReportLost(m)
		}
	})
}

// reportDelivered tells the event loop that messages have reached the peer.
func (s *sender) reportDelivered(messages []consensus.Message) {
	s.report(func(now time.Duration) {
		for _, m := range messages {
			s.transport.node.raft.ReportDelivered(now, m)
		}
	})
}

func (s *sender) report(call func(now time.Duration)) {
	select {
	case s.transport.node.loopCalls <- call:
	case <-s.transport.ctx.Done():
	}
}

// sendSnapshot reads the current snapshot and sends it in a separate goroutine. It does
// nothing while another snapshot is on its way to the peer.
func (s *sender) sendSnapshot(m consensus.Message) {
	select {
	case s.snapshotSlot <- struct{}{}:
	default:
		return
	}
	s.transport.goroutines.Go(func() {
		defer func() { <-s.snapshotSlot }()
		snapshot, err := s.transport.node.journal.ReadSnapshot()
		if err != nil {
			s.reportLost([]consensus.Message{m})
			return
		}
		request := *m.Snapshot
		request.Snapshot = snapshot
		m.Snapshot = &request
		s.sendLarge([]consensus.Message{m})
	})
}

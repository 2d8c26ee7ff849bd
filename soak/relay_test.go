//go:build soak

package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPacketBytes is the largest UDP payload.
	maxPacketBytes = 64 << 10
	// maxQueueDelay is the most that a packet waits for a path of limited rate; a packet
	// that would wait longer is dropped.
	maxQueueDelay = 100 * time.Millisecond
	// pathQueueLength is the most packets that are on their way in one direction of a
	// connection.
	pathQueueLength = 4096
)

// pathFault is what a network path does to packets, in each direction.
type pathFault struct {
	// lossShare is the share of packets that are dropped.
	lossShare float64
	// bytesPerSecond is the rate of the path; 0 means unlimited.
	bytesPerSecond int
	cut            bool
}

// relay is the network path between two groups of instances. Instances find a peer at its
// IP address and the mesh port of their own, so the groups use different ports, and the
// relay listens at the addresses at which one group looks for the other.
type relay struct {
	fleet   *fleet
	sockets []*net.UDPConn
	// passed and dropped count bytes, in both directions.
	passed, dropped atomic.Int64

	mu    sync.Mutex
	rng   *rand.Rand
	fault pathFault
	// free is when the path has sent what it has accepted, by direction.
	free [2]time.Time
}

// startRelay relays packets between instances that differ in their mesh port. The seed
// sets which packets are lost.
func (f *fleet) startRelay(seed uint64, a, b []*instance) *relay {
	r := &relay{fleet: f, rng: rand.New(rand.NewPCG(seed, 6))}
	for direction, side := range [][2][]*instance{{a, b}, {b, a}} {
		portOfCallers := side[0][0].meshPort
		for _, n := range side[1] {
			ip := net.ParseIP(n.ip)
			listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: portOfCallers})
			f.must(err)
			r.sockets = append(r.sockets, listener)
			go r.accept(listener, &net.UDPAddr{IP: ip, Port: n.meshPort}, direction)
		}
	}
	f.t.Cleanup(r.stop)
	return r
}

func (r *relay) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sockets {
		_ = s.Close()
	}
	r.sockets = nil
}

func (r *relay) setFault(p pathFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = p
	r.fleet.checker.contact.log("the path has %+v", p)
}

// accept forwards what arrives at a listener. Each sender has a socket of its own towards
// the target, as QUIC takes a packet from another address for a change of the path.
func (r *relay) accept(listener *net.UDPConn, target *net.UDPAddr, direction int) {
	queues := make(map[string]chan<- delayedPacket)
	buffer := make([]byte, maxPacketBytes)
	for {
		n, sender, err := listener.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		queue, ok := queues[sender.String()]
		if !ok {
			if queue, ok = r.connect(listener, sender, target, 1-direction); !ok {
				return
			}
			queues[sender.String()] = queue
		}
		r.forward(queue, buffer[:n], direction)
	}
}

// connect opens a socket to the target for a sender, and forwards the replies. It returns
// the queue to the target, or false once the relay has stopped.
func (r *relay) connect(listener *net.UDPConn, sender, target *net.UDPAddr, back int) (chan<- delayedPacket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sockets == nil {
		return nil, false
	}
	upstream, err := net.DialUDP("udp", nil, target)
	r.fleet.must(err)
	r.sockets = append(r.sockets, upstream)
	toTarget, toSender := make(chan delayedPacket, pathQueueLength), make(chan delayedPacket, pathQueueLength)
	go deliver(toTarget, func(packet []byte) { _, _ = upstream.Write(packet) })
	go deliver(toSender, func(packet []byte) { _, _ = listener.WriteToUDP(packet, sender) })
	go r.forwardReplies(upstream, toSender, back)
	return toTarget, true
}

func (r *relay) forwardReplies(upstream *net.UDPConn, queue chan<- delayedPacket, direction int) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// While no process listens at the target, reads and writes report its refusals.
		if err == nil {
			r.forward(queue, buffer[:n], direction)
		}
	}
}

// delayedPacket is a packet that arrives at a time.
type delayedPacket struct {
	at      time.Time
	payload []byte
}

// forward queues a packet, or drops it as the fault of the path asks for.
func (r *relay) forward(queue chan<- delayedPacket, packet []byte, direction int) {
	at, ok := r.admit(len(packet), direction)
	if !ok {
		r.dropped.Add(int64(len(packet)))
		return
	}
	select {
	case queue <- delayedPacket{at, append([]byte(nil), packet...)}:
		r.passed.Add(int64(len(packet)))
	default:
		r.dropped.Add(int64(len(packet)))
	}
}

// admit returns when a packet arrives, or false if it is lost.
func (r *relay) admit(size, direction int) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.fault.cut || r.rng.Float64() < r.fault.lossShare {
		return time.Time{}, false
	}
	if r.fault.bytesPerSecond == 0 {
		return now, true
	}
	start := now
	if r.free[direction].After(now) {
		start = r.free[direction]
	}
	if start.Sub(now) > maxQueueDelay {
		return time.Time{}, false
	}
	r.free[direction] = start.Add(time.Duration(size) * time.Second / time.Duration(r.fault.bytesPerSecond))
	return r.free[direction], true
}

// deliver sends the packets of a queue, each at its time, in their order.
func deliver(queue <-chan delayedPacket, send func(packet []byte)) {
	for p := range queue {
		time.Sleep(time.Until(p.at))
		send(p.payload)
	}
}

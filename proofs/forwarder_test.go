//go:build proofs

package proofs

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const maxDatagram = 64 << 10

// network simulates the faults of the links between instances. Links are
// directed, so that a partition may be one-way.
type network struct {
	mu        sync.Mutex
	random    *rand.Rand
	isCut     map[link]bool
	delay     map[link]time.Duration
	duplicate float64
	bytes     map[link]int64
}

// link is the directed link between two instances, by number.
type link struct{ from, to int }

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 0)),
		isCut:  make(map[link]bool),
		delay:  make(map[link]time.Duration),
		bytes:  make(map[link]int64),
	}
}

// setCut cuts or restores the link between two instances in one direction.
func (n *network) setCut(from, to int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut[link{from, to}] = cut
}

// setCutBothWays cuts or restores both directions between one instance and each of the
// others.
func (n *network) setCutBothWays(instance int, others []int, cut bool) {
	for _, other := range others {
		n.setCut(instance, other, cut)
		n.setCut(other, instance, cut)
	}
}

// clearFaults removes every fault.
func (n *network) clearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.isCut)
	clear(n.delay)
	n.duplicate = 0
}

// bytesOf returns the number of bytes sent to and from one instance, including
// datagrams that a cut link dropped.
func (n *network) bytesOf(instance int) (in, out int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, size := range n.bytes {
		if l.to == instance {
			in += size
		}
		if l.from == instance {
			out += size
		}
	}
	return in, out
}

// delivery returns how many copies of a datagram to send and after what delay,
// and counts its bytes.
func (n *network) delivery(l link, size int) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[l] += int64(size)
	if n.isCut[l] {
		return 0, 0
	}
	copies = 1
	if n.random.Float64() < n.duplicate {
		copies = 2
	}
	return copies, n.delay[l]
}

// forwarder forwards datagrams to one instance, and its replies back.
type forwarder struct {
	network     *network
	instance    int
	destination *net.UDPAddr
	socket      *net.UDPConn
	instanceOf  func(netip.AddrPort) int

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
}

func startForwarder(n *network, instance int, listen, target netip.AddrPort, instanceOf func(netip.AddrPort) int) (*forwarder, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	f := &forwarder{
		network: n, instance: instance, destination: net.UDPAddrFromAddrPort(target), socket: socket,
		instanceOf: instanceOf, flows: make(map[netip.AddrPort]*net.UDPConn),
	}
	go f.forward()
	return f, nil
}

func (f *forwarder) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		size, source, err := f.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flow, err := f.flow(source)
		if err != nil {
			continue
		}
		f.deliver(link{f.instanceOf(source), f.instance}, buffer[:size], func(b []byte) { _, _ = flow.Write(b) })
	}
}

// flow returns the socket that carries the datagrams of one source, and opens it
// if there is none.
func (f *forwarder) flow(source netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if flow, ok := f.flows[source]; ok {
		return flow, nil
	}
	flow, err := net.DialUDP("udp", nil, f.destination)
	if err != nil {
		return nil, err
	}
	f.flows[source] = flow
	go f.forwardReplies(flow, source)
	return flow, nil
}

func (f *forwarder) forwardReplies(flow *net.UDPConn, source netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		size, err := flow.Read(buffer)
		if netErr, ok := err.(net.Error); ok && !netErr.Timeout() {
			// While the instance is down, reads fail with "connection refused".
			time.Sleep(time.Millisecond)
			if f.closed() {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		f.deliver(link{f.instance, f.instanceOf(source)}, buffer[:size], func(b []byte) {
			_, _ = f.socket.WriteToUDPAddrPort(b, source)
		})
	}
}

func (f *forwarder) deliver(l link, datagram []byte, send func([]byte)) {
	copies, delay := f.network.delivery(l, len(datagram))
	for range copies {
		if delay == 0 {
			send(datagram)
			continue
		}
		b := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() { send(b) })
	}
}

func (f *forwarder) closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flows == nil
}

func (f *forwarder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.socket.Close()
	for _, flow := range f.flows {
		_ = flow.Close()
	}
	f.flows = nil
}

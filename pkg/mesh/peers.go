package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// peer holds the connection to one instance.
type peer struct {
	id model.InstanceID

	mu      sync.Mutex
	address netip.AddrPort
	conn    *quic.Conn
	// dials are the present attempts to connect, oldest first.
	dials []*dial
	// connected is closed and replaced when an attempt succeeds.
	connected chan struct{}
}

func newPeer(id model.InstanceID, address netip.AddrPort) *peer {
	return &peer{id: id, address: address, connected: make(chan struct{})}
}

// dial is an attempt to connect. Requests share it, and it outlasts those that stop
// waiting: on a slow path a handshake may take longer than any of them waits.
type dial struct {
	began time.Time
	// failed is closed once err is set.
	failed chan struct{}
	err    error
}

const (
	// maxDials limits the attempts to connect to one peer at a time.
	maxDials = int(handshakeTimeout / redialDelay)
	// redialDelay is the time after which a request starts a further attempt. The pauses in
	// which an attempt repeats its first packet grow, and the peer may have started since.
	redialDelay = 500 * time.Millisecond
)

// SetPeer sets the address of an instance.
func (m *QUIC) SetPeer(id model.InstanceID, address netip.AddrPort) {
	m.mu.Lock()
	p, ok := m.peers[id]
	if !ok {
		p = newPeer(id, address)
		m.peers[id] = p
	}
	m.mu.Unlock()
	p.setAddress(address)
}

// setAddress closes the connection, and gives up the present dials, if the address has
// changed.
func (p *peer) setAddress(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address, p.dials = address, nil
	if p.conn != nil {
		_ = p.conn.CloseWithError(closeNormal, "address changed")
		p.conn = nil
	}
}

// Peers returns the instances with a known address.
func (m *QUIC) Peers() []model.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]model.InstanceID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	return ids
}

// peer returns the peer with an ID, or nil if its address is not known.
func (m *QUIC) peer(id model.InstanceID) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p != nil || m.resolve == nil {
		return p
	}
	address, ok := m.resolve(id)
	if !ok {
		return nil
	}
	p = newPeer(id, address)
	m.peers[id] = p
	return p
}

// ResolveByAddress makes every ID that is an IP address a peer at that address,
// with the port on which this instance listens.
func (m *QUIC) ResolveByAddress() {
	port := m.Address().Port()
	m.resolve = func(id model.InstanceID) (netip.AddrPort, bool) {
		ip, err := netip.ParseAddr(string(id))
		return netip.AddrPortFrom(ip, port), err == nil
	}
}

func (m *QUIC) openStream(ctx context.Context, to model.InstanceID) (*quic.Stream, error) {
	p := m.peer(to)
	if p == nil {
		return nil, errors.New("address of the peer is not known")
	}
	stream, err := m.openStreamTo(ctx, p)
	if errors.Is(err, errConnectionLost) {
		// The connection was closed, and nothing of this request was sent on it.
		return m.openStreamTo(ctx, p)
	}
	return stream, err
}

func (m *QUIC) openStreamTo(ctx context.Context, p *peer) (*quic.Stream, error) {
	conn, err := m.connect(ctx, p)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		// If the caller stopped waiting for a stream, the connection may still be good.
		if ctx.Err() != nil {
			return nil, err
		}
		p.dropConnection(conn)
		return nil, fmt.Errorf("%w: %w", errConnectionLost, err)
	}
	return stream, nil
}

// connect returns the connection to a peer, and establishes it if there is none.
func (m *QUIC) connect(ctx context.Context, p *peer) (*quic.Conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		conn, newest, connected := m.connectionOrDial(p)
		if conn != nil {
			return conn, nil
		}
		select {
		case <-connected:
		case <-newest.failed:
			return nil, newest.err
		case <-ctx.Done():
		}
	}
}

// connectionOrDial returns the connection to a peer. Without one it returns the newest
// attempt to connect, which it starts if necessary, and a channel that is closed once any
// attempt succeeds.
func (m *QUIC) connectionOrDial(p *peer) (conn *quic.Conn, newest *dial, connected <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isConnected() {
		return p.conn, nil, nil
	}
	if p.needsDial(time.Now()) {
		d := &dial{began: time.Now(), failed: make(chan struct{})}
		p.dials = append(p.dials, d)
		go m.dial(p, d, p.address)
	}
	return nil, p.dials[len(p.dials)-1], p.connected
}

// isConnected reports whether the peer has a connection that works. The caller holds mu.
func (p *peer) isConnected() bool { return p.conn != nil && p.conn.Context().Err() == nil }

// needsDial reports whether an attempt to connect is to be started. The caller holds mu.
func (p *peer) needsDial(now time.Time) bool {
	n := len(p.dials)
	return n == 0 || n < maxDials && now.Sub(p.dials[n-1].began) >= redialDelay
}

// dial attempts to connect. It ends early if the mesh is closed.
func (m *QUIC) dial(p *peer, d *dial, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	client := m.credentials.ClientConfig([]string{alpnProtocol}, string(p.id))
	conn, err := m.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), client, quicConfig())
	if err != nil {
		p.removeDial(d)
		d.err = err
		close(d.failed)
		return
	}
	if !p.finishDial(d, conn) {
		_ = conn.CloseWithError(closeNormal, "not needed")
		return
	}
	events.Emit(events.PeerConnected, p.id, address)
	recordLoss(p.id, address, conn)
}

// finishDial makes conn the current connection. It returns false if there is one already,
// or if the address has changed since the attempt began.
func (p *peer) finishDial(d *dial, conn *quic.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.dials, d) || p.isConnected() {
		p.dials = without(p.dials, d)
		return false
	}
	p.conn, p.dials = conn, without(p.dials, d)
	close(p.connected)
	p.connected = make(chan struct{})
	return true
}

func (p *peer) removeDial(d *dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials = without(p.dials, d)
}

func without(dials []*dial, d *dial) []*dial {
	return slices.DeleteFunc(slices.Clone(dials), func(other *dial) bool { return other == d })
}

// dropConnection closes and removes a failed connection, unless it was replaced
// already.
func (p *peer) dropConnection(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		_ = conn.CloseWithError(closeNormal, "failed")
		p.conn = nil
	}
}

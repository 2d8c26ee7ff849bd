package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// peer holds the connection to one instance. Its mutex is held while dialing, so
// that concurrent requests share one dial.
type peer struct {
	id model.InstanceID

	mu      sync.Mutex
	address netip.AddrPort
	conn    *quic.Conn
}

// SetPeer sets the address of an instance.
func (m *QUIC) SetPeer(id model.InstanceID, address netip.AddrPort) {
	m.mu.Lock()
	p, ok := m.peers[id]
	if !ok {
		p = &peer{id: id, address: address}
		m.peers[id] = p
	}
	m.mu.Unlock()
	p.setAddress(address)
}

// setAddress closes the connection if the address has changed.
func (p *peer) setAddress(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
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
	p = &peer{id: id, address: address}
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

func (m *QUIC) connect(ctx context.Context, p *peer) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	client := m.credentials.ClientConfig([]string{alpnProtocol}, string(p.id))
	conn, err := m.transport.Dial(ctx, net.UDPAddrFromAddrPort(p.address), client, quicConfig())
	if err != nil {
		return nil, err
	}
	events.Emit(events.PeerConnected, p.id, p.address)
	recordLoss(p.id, p.address, conn)
	p.conn = conn
	return conn, nil
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

package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"golang.org/x/sys/unix"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/model"
)

const (
	alpnProtocol = "radishturn/1"
	// maxMessageBytes limits the size of a message; a control snapshot must fit.
	maxMessageBytes = 64 << 20
	// maxStreams limits the requests that one peer may have in progress.
	maxStreams = 1024
	// handshakeTimeout limits the time to connect to a peer.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is the time without packets after which a connection is lost.
	idleTimeout       = 4 * time.Second
	keepAliveInterval = time.Second
	// resetSecretLabel is the label of the derived secret with which a restarted
	// process tells peers that connections to the previous process are closed.
	resetSecretLabel = "radishturn stateless reset"
	// serveTimeout limits the time to serve a peer's request.
	serveTimeout = 30 * time.Second
)

const (
	closeNormal quic.ApplicationErrorCode = 0
	// streamCancelled tells the other side that the stream was abandoned.
	streamCancelled quic.StreamErrorCode = 1
)

// errConnectionLost means that no stream could be opened on a connection that
// seemed open. This occurs for a short time after the peer has reset it.
var errConnectionLost = errors.New("connection lost")

// QUIC is the Mesh over QUIC.
type QUIC struct {
	self        model.InstanceID
	credentials *keys.Credentials
	socket      *net.UDPConn
	transport   *quic.Transport
	listener    *quic.Listener
	dispatcher  dispatcher

	// resolve, if set, returns the address of a peer that SetPeer was not called for.
	resolve func(id model.InstanceID) (netip.AddrPort, bool)

	mu    sync.Mutex
	peers map[model.InstanceID]*peer
}

var _ Mesh = (*QUIC)(nil)

// peer holds the connection to one instance. Its mutex is held while dialing, so
// that concurrent requests share one dial.
type peer struct {
	id model.InstanceID

	mu      sync.Mutex
	address netip.AddrPort
	conn    *quic.Conn
}

// Environment variables that quic-go reads when a socket is set up. Its own
// warning about small buffers is disabled because it would not be written as an
// event of the log.
const (
	disableOffloadVariable       = "QUIC_GO_DISABLE_GSO"
	disableBufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"
)

// wantedBufferBytes is the receive buffer that quic-go asks for.
const wantedBufferBytes = 7 << 20

// Listen opens the socket of the mesh. Requests are served once Run is called.
func Listen(address netip.AddrPort, credentials *keys.Credentials, disableOffload bool) (*QUIC, error) {
	if disableOffload {
		if err := os.Setenv(disableOffloadVariable, "true"); err != nil {
			return nil, fmt.Errorf("disable UDP offload: %w", err)
		}
	}
	if err := os.Setenv(disableBufferWarningVariable, "true"); err != nil {
		return nil, fmt.Errorf("disable buffer warning of quic-go: %w", err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	resetKey, err := credentials.DeriveSecret(resetSecretLabel)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	m := &QUIC{
		self:        model.InstanceID(credentials.Name()),
		credentials: credentials,
		socket:      socket,
		transport:   &quic.Transport{Conn: socket, StatelessResetKey: (*quic.StatelessResetKey)(&resetKey)},
		dispatcher:  dispatcher{handlers: make(map[Kind]Handler)},
		peers:       make(map[model.InstanceID]*peer),
	}
	server := credentials.ServerConfig([]string{alpnProtocol}, keys.RoleInstance)
	m.listener, err = m.transport.Listen(server, quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen on %s: %w", address, err), socket.Close())
	}
	if err := warnIfBufferSmall(socket); err != nil {
		return nil, errors.Join(err, m.Close())
	}
	return m, nil
}

// warnIfBufferSmall writes an event if the receive buffer of the socket is smaller
// than QUIC asks for.
func warnIfBufferSmall(socket *net.UDPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("receive buffer: %w", err)
	}
	var size int
	var option error
	err = raw.Control(func(fd uintptr) {
		size, option = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	})
	if err = errors.Join(err, option); err != nil {
		return fmt.Errorf("receive buffer: %w", err)
	}
	if size < wantedBufferBytes {
		events.Emit(events.SmallUDPBuffer, size>>10, wantedBufferBytes>>10)
	}
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,
	}
}

// Address returns the address that the socket is bound to.
func (m *QUIC) Address() netip.AddrPort {
	return m.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Self returns the name under which peers know this instance.
func (m *QUIC) Self() model.InstanceID { return m.self }

// Handle sets the handler of a kind.
func (m *QUIC) Handle(kind Kind, handler Handler) { m.dispatcher.register(kind, handler) }

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

// Call sends a request and waits for the reply. A request to this instance is
// served without the network.
func (m *QUIC) Call(ctx context.Context, to model.InstanceID, kind Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	e := &requestMessage{Kind: kind, Payload: request}
	if to == m.self {
		return payloadOf(m.dispatcher.serve(ctx, m.self, e))
	}
	stream, err := m.openStream(ctx, to)
	if err != nil {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "connect for "+string(kind), string(to), "%w", err)
	}
	r, err := exchange(ctx, stream, e)
	if err != nil {
		return nil, failure.New(failure.PeerUnreachable, failure.Unknown, string(kind), string(to), "%w", err)
	}
	return payloadOf(r)
}

func payloadOf(r *replyMessage) (cbor.RawMessage, error) {
	if r.Failure != nil {
		return nil, r.Failure.toError()
	}
	return r.Payload, nil
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

// exchange sends e and reads the reply. It cancels the stream when ctx is done.
func exchange(ctx context.Context, stream *quic.Stream, e *requestMessage) (*replyMessage, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
	})
	defer stop()
	if err := writeMessage(stream, e); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	r := new(replyMessage)
	if err := readMessage(stream, r); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	return r, nil
}

func writeMessage(stream *quic.Stream, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if _, err := stream.Write(payload); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return stream.Close()
}

func readMessage(r io.Reader, message any) error {
	payload, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if len(payload) > maxMessageBytes {
		return fmt.Errorf("message is longer than %d bytes", maxMessageBytes)
	}
	if err := decodeMode.Unmarshal(payload, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// Run serves the requests of peers until ctx is done or the mesh is closed.
func (m *QUIC) Run(ctx context.Context) error {
	for {
		conn, err := m.listener.Accept(ctx)
		if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peers: %w", err)
		}
		go m.serveConn(ctx, conn)
	}
}

func (m *QUIC) serveConn(ctx context.Context, conn *quic.Conn) {
	from := model.InstanceID(keys.PeerName(conn.ConnectionState().TLS))
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			events.Emit(events.PeerDisconnected, from, err)
			return
		}
		go m.serveStream(ctx, from, stream)
	}
}

func (m *QUIC) serveStream(ctx context.Context, from model.InstanceID, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	e := new(requestMessage)
	if err := readMessage(stream, e); err != nil {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
		return
	}
	// The context of the write side ends when the peer cancels the stream.
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	if err := writeMessage(stream, m.dispatcher.serve(ctx, from, e)); err != nil {
		stream.CancelWrite(streamCancelled)
	}
}

// Close closes all connections and the socket.
func (m *QUIC) Close() error {
	return errors.Join(m.listener.Close(), m.transport.Close(), m.socket.Close())
}

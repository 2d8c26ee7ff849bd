package mesh

import (
	"context"
	"errors"
	"fmt"
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
	"radishturn.example/radishturn/pkg/membudget"
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
	// serveTimeout limits the time in which no part of a peer's request arrives, the time
	// to serve it, and the time in which no part of the reply can be sent.
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

	// memory bounds the messages of peers that are held at a time; nil means without
	// limit.
	memory *membudget.Budget

	mu    sync.Mutex
	peers map[model.InstanceID]*peer
}

var _ Mesh = (*QUIC)(nil)

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

// LimitMemory bounds the messages of peers that are held at a time. It is called before
// Run.
func (m *QUIC) LimitMemory(memory *membudget.Budget) { m.memory = memory }

// Address returns the address that the socket is bound to.
func (m *QUIC) Address() netip.AddrPort {
	return m.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Self returns the name under which peers know this instance.
func (m *QUIC) Self() model.InstanceID { return m.self }

// Handle sets the handler of a kind.
func (m *QUIC) Handle(kind Kind, handler Handler) { m.dispatcher.register(kind, handler) }

// Call sends a request and waits for the reply. A request to this instance is
// served without the network.
func (m *QUIC) Call(ctx context.Context, to model.InstanceID, kind Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	e := newRequest(kind, request)
	if to == m.self {
		return payloadOf(m.dispatcher.serve(ctx, m.self, e))
	}
	stream, err := m.openStream(ctx, to)
	if err != nil {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "connect for "+string(kind), string(to), "%w", err)
	}
	r, err := exchange(ctx, stream, e, m.memory)
	if err != nil {
		return nil, failure.New(failure.PeerUnreachable, failure.Unknown, string(kind), string(to), "%w", err)
	}
	return payloadOf(r)
}

// Close closes all connections and the socket.
func (m *QUIC) Close() error {
	return errors.Join(m.listener.Close(), m.transport.Close(), m.socket.Close())
}

package mesh

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
)

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
	// A slow path may take long for a large message, so only the time without progress is
	// limited.
	extendRead := func() { _ = stream.SetReadDeadline(time.Now().Add(serveTimeout)) }
	extendWrite := func() { _ = stream.SetWriteDeadline(time.Now().Add(serveTimeout)) }
	extendRead()
	e := new(requestMessage)
	reserved := new(membudget.Reservation)
	defer reserved.Release()
	reader := &progressReader{Reader: stream, progress: func(int) { extendRead() }}
	if err := readMessage(reader, e, messageSpace(m.memory, reserved)); err != nil {
		m.recordRefused(from, err)
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	// The context of the write side ends when the peer cancels the stream.
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	reply := m.dispatcher.serve(ctx, from, e)
	extendWrite()
	if err := writeMessage(stream, reply, extendWrite); err != nil {
		stream.CancelWrite(streamCancelled)
	}
}

// recordRefused logs and counts a message that was not read to its end, since it was too
// long or there was no memory for it.
func (m *QUIC) recordRefused(from model.InstanceID, err error) {
	if errors.Is(err, membudget.ErrTooLong) || errors.Is(err, membudget.ErrExhausted) {
		metrics.GetOrCreateCounter("radishturn_peer_messages_refused_total").Inc()
		events.Emit(events.PeerMessageRefused, from, err, m.memory.Used())
	}
}

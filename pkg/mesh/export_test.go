package mesh

import (
	"context"

	"radishturn.example/radishturn/pkg/model"
)

// Kill closes the socket without notifying peers, as a killed process does.
func (m *QUIC) Kill() { _ = m.socket.Close() }

// SendEndless sends a request without an end to a peer until the peer refuses it.
func (m *QUIC) SendEndless(ctx context.Context, to model.InstanceID) error {
	stream, err := m.openStream(ctx, to)
	if err != nil {
		return err
	}
	piece := make([]byte, 64<<10)
	for err == nil {
		_, err = stream.Write(piece)
	}
	return err
}

package mesh

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// Connections to peers that were lost, by cause: the peer's new process has reset
// them, nothing was received for idleTimeout, or another one.
var (
	lostByReset   = metrics.GetOrCreateCounter(`radishturn_mesh_connections_lost_total{cause="reset"}`)
	lostByIdling  = metrics.GetOrCreateCounter(`radishturn_mesh_connections_lost_total{cause="idle"}`)
	lostOtherwise = metrics.GetOrCreateCounter(`radishturn_mesh_connections_lost_total{cause="other"}`)
)

// recordLoss counts and logs the loss of a connection to a peer once it occurs.
// Connections that this instance closes are not lost.
func recordLoss(id model.InstanceID, address netip.AddrPort, conn *quic.Conn) {
	opened := time.Now()
	context.AfterFunc(conn.Context(), func() {
		cause := context.Cause(conn.Context())
		if closedHere(cause) {
			return
		}
		lossCounter(cause).Inc()
		events.Emit(events.PeerConnectionLost, id, address, time.Since(opened).Milliseconds(), cause)
	})
}

// closedHere reports whether this instance closed the connection.
func closedHere(cause error) bool {
	var application *quic.ApplicationError
	if errors.As(cause, &application) {
		return !application.Remote
	}
	return errors.Is(cause, quic.ErrTransportClosed)
}

func lossCounter(cause error) *metrics.Counter {
	var (
		reset *quic.StatelessResetError
		idle  *quic.IdleTimeoutError
	)
	switch {
	case errors.As(cause, &reset):
		return lostByReset
	case errors.As(cause, &idle):
		return lostByIdling
	default:
		return lostOtherwise
	}
}

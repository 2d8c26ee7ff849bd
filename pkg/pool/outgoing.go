package pool

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
)

const (
	// maxOutgoingBytes bounds the requests that are being written to one target, which
	// does not read them. A longer one is written alone.
	maxOutgoingBytes = 1 << 20
	// fieldsBytes is the room for the fields that differ by target.
	fieldsBytes = 256
	// outgoingEventInterval is the least time between two events of one pool.
	outgoingEventInterval = time.Second
)

// errTruncated means that a reply without a stated length may have been cut by the target,
// since this process stood still and did not read it.
var errTruncated = errors.New("reply without a length was read late and may be truncated")

var outgoingRefused = metrics.GetOrCreateCounter("radishturn_target_requests_held_back_total")

// outgoingBytes returns what a request holds until it is written, or 0 for a short one,
// of which the number of connections bounds how many there are.
func outgoingBytes(r *exchange.Request) int {
	n := len(r.Encoded) + len(r.Body) + fieldsBytes
	if n <= inlineWriteBytes {
		return 0
	}
	return n
}

// HasRoom reports whether a request can be written to this target in addition to those
// that it has not read yet.
func (p *Pool) HasRoom(r *exchange.Request) bool {
	n := outgoingBytes(r)
	if n == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fits(n)
}

func (p *Pool) fits(n int) bool { return p.outgoing == 0 || p.outgoing+n <= maxOutgoingBytes }

// holdRequest accounts for a request to this target until it is written. It fails if too
// much is being written to the target, or the process has no memory for it.
func (p *Pool) holdRequest(a *Attempt) bool {
	n := outgoingBytes(a.Request)
	if n == 0 {
		return true
	}
	p.mu.Lock()
	fits := p.fits(n)
	if fits && a.outgoing.Grow(p.memory, int64(n)) != nil {
		fits = false
	}
	if fits {
		p.outgoing += n
		a.held = n
	}
	held, due := p.outgoing, !fits && time.Since(p.outgoingEvent) >= outgoingEventInterval
	if due {
		p.outgoingEvent = time.Now()
	}
	p.mu.Unlock()
	if !fits {
		outgoingRefused.Inc()
	}
	if due {
		events.Emit(events.RequestsHeldBack, p.target, held, p.memory.Used())
	}
	return fits
}

// releaseRequest ends what holdRequest began. It is called once the request was written
// or will not be.
func (p *Pool) releaseRequest(a *Attempt) {
	if outgoingBytes(a.Request) == 0 {
		return
	}
	p.mu.Lock()
	n := a.held
	a.held = 0
	p.outgoing -= n
	p.mu.Unlock()
	a.outgoing.Shrink(int64(n))
}

// truncated reports whether a reply may have been cut by the target without a sign of it:
// its end is that of the connection, and this process did not read for a while.
func (c *conn) truncated(r *exchange.Reply, sent time.Time) bool {
	paused := c.pool.pausedWithin
	return r.UntilClose && paused != nil && paused(time.Since(sent))
}

// sentAt returns when the attempt in progress began.
func (c *conn) sentAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// Package pool implements the connection pool of an instance for one target. It
// opens no more connections than the instance's share of what the target accepts,
// and sends one request at a time on each.
package pool

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
)

// errClosedUnused means that the target closed a new connection before it was
// used.
var errClosedUnused = errors.New("new connection was closed before use")

// Shared is what the pools of an instance have in common.
type Shared struct {
	Codec exchange.Codec
	// Dial is DialTCP if it is nil.
	Dial DialFunc
	// ResetGuard may be nil.
	ResetGuard *ResetGuard
	// Memory bounds the replies that are held at a time; nil means without limit.
	Memory *membudget.Budget
	// PausedWithin reports whether this process stood still within a time; it may be nil.
	PausedWithin func(time.Duration) bool
	// Freed is called, without locks held, whenever Start may succeed after it failed for
	// lack of a connection; it may be nil.
	Freed func()
}

// Pool holds the connections to one target.
type Pool struct {
	target     model.TargetID
	address    string
	codec      exchange.Codec
	dialTarget DialFunc
	resetGuard *ResetGuard
	memory     *membudget.Budget
	// pausedWithin is Shared.PausedWithin, and freed is Shared.Freed.
	pausedWithin func(time.Duration) bool
	freed        func()
	opened       *metrics.Counter
	foreign      *metrics.Counter

	mu sync.Mutex
	// limit bounds the number of connections, including those being opened.
	limit int
	// maxIdle is how long an idle connection is kept; 0 means without limit.
	maxIdle time.Duration
	// idleBound bounds the idle connections of this pool and others together; nil means
	// without limit.
	idleBound *IdleBound
	idle      []*conn
	open      map[*conn]bool
	// opening counts connections being opened.
	opening int
	closed  bool
	// outgoing is the bytes of long requests that are being written.
	outgoing      int
	outgoingEvent time.Time
}

// New returns an empty pool.
func New(target model.TargetID, address string, s Shared, limit int) *Pool {
	if s.Dial == nil {
		s.Dial = DialTCP
	}
	if s.Freed == nil {
		s.Freed = func() {}
	}
	return &Pool{
		target: target, address: address, codec: s.Codec, dialTarget: s.Dial, resetGuard: s.ResetGuard, memory: s.Memory, pausedWithin: s.PausedWithin, limit: limit,
		freed:   s.Freed,
		open:    make(map[*conn]bool),
		opened:  metrics.GetOrCreateCounter("radishturn_target_connections_opened_total"),
		foreign: metrics.GetOrCreateCounter("radishturn_target_replies_foreign_total"),
	}
}

// SetLimit sets the maximum number of connections and how long an idle one is
// kept; 0 means without limit. Excess connections are closed as they are released.
func (p *Pool) SetLimit(limit int, maxIdle time.Duration) {
	p.mu.Lock()
	raised := limit > p.limit
	p.limit, p.maxIdle = limit, maxIdle
	p.mu.Unlock()
	if raised {
		p.freed()
	}
}

// SetIdleBound bounds the idle connections of this pool and others together; nil means
// without limit.
func (p *Pool) SetIdleBound(b *IdleBound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleBound = b
}

// Start sends an attempt over an idle connection, or over a new one if the limit
// allows. It returns false, and does not call Done, if neither is available, or if the
// target does not read the requests that are being written to it.
func (p *Pool) Start(a *Attempt) bool {
	if !p.holdRequest(a) {
		return false
	}
	if !p.start(a) {
		p.releaseRequest(a)
		return false
	}
	return true
}

func (p *Pool) start(a *Attempt) bool {
	for {
		c, canOpen := p.take()
		a.reused = c != nil
		switch {
		case c != nil && c.start(a):
			return true
		case c != nil:
			c.fail(ErrNotSent)
		case canOpen:
			go p.startOnNewConnection(a)
			return true
		default:
			return false
		}
	}
}

// take returns an idle connection, or true if the caller may open a new one, which
// take then counts as opening.
func (p *Pool) take() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.noLongerIdle(c)
		if c.usable(now) {
			return c, false
		}
		delete(p.open, c)
		go c.fail(ErrNotSent)
	}
	if p.closed || len(p.open)+p.opening >= p.limit {
		return nil, false
	}
	p.opening++
	return nil, true
}

func (p *Pool) startOnNewConnection(a *Attempt) {
	c, err := p.dial()
	if err != nil {
		p.releaseRequest(a)
		p.resetGuard.recordError(err)
		a.Done(Result{Err: connectError(p.target, p.address, err)})
		return
	}
	p.resetGuard.waitForReset()
	if err := a.unwanted(); err != nil {
		p.release(c)
		p.releaseRequest(a)
		a.Done(Result{Err: connectError(p.target, p.address, err)})
		return
	}
	if !c.start(a) {
		// A connection that already receives bytes is still open, and takes no request.
		c.fail(ErrNotSent)
		p.releaseRequest(a)
		a.Done(Result{Err: connectError(p.target, p.address, errClosedUnused)})
	}
}

// Preconnect opens a connection before the first request if the pool has none.
func (p *Pool) Preconnect() error {
	p.mu.Lock()
	if p.closed || len(p.open)+p.opening > 0 || p.limit == 0 {
		p.mu.Unlock()
		return nil
	}
	p.opening++
	p.mu.Unlock()
	c, err := p.dial()
	if err != nil {
		return connectError(p.target, p.address, err)
	}
	p.release(c)
	return nil
}

func (p *Pool) release(c *conn) {
	p.mu.Lock()
	surplus := p.closed || len(p.open) > p.limit
	var bound *IdleBound
	if !surplus && p.open[c] {
		p.idle = append(p.idle, c)
		p.expireIdle(c)
		bound = p.idleBound
	}
	p.mu.Unlock()
	if bound != nil {
		bound.add(c)
	}
	if surplus {
		go c.fail(ErrNotSent)
		return
	}
	p.freed()
}

// expireIdle schedules the close of a connection that stays idle for maxIdle. p.mu
// must be held.
func (p *Pool) expireIdle(c *conn) {
	if p.maxIdle <= 0 {
		return
	}
	used := c.uses.Load()
	time.AfterFunc(p.maxIdle, func() {
		p.mu.Lock()
		i := slices.Index(p.idle, c)
		expired := i >= 0 && c.uses.Load() == used
		if expired {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.noLongerIdle(c)
		}
		p.mu.Unlock()
		if expired {
			c.fail(ErrNotSent)
		}
	})
}

// noLongerIdle records that a connection is not idle any more. p.mu must be held.
func (p *Pool) noLongerIdle(c *conn) {
	if p.idleBound != nil {
		p.idleBound.drop(c)
	}
}

func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	p.noLongerIdle(c)
	delete(p.open, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.mu.Unlock()
	p.freed()
}

// Availability states which connection Start would use.
type Availability uint8

// Values of Availability.
const (
	// Full means that no connection is available.
	Full Availability = iota
	// CanOpen means that a new connection may be opened.
	CanOpen
	// Idle means that an open connection is idle.
	Idle
)

// Availability returns which connection Start would use now.
func (p *Pool) Availability() Availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return Full
	case len(p.idle) > 0:
		return Idle
	case len(p.open)+p.opening < p.limit:
		return CanOpen
	}
	return Full
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// probeTimeout bounds the probe of RefusesConnections.
const probeTimeout = 300 * time.Millisecond

// RefusesConnections reports whether connections to the target are refused, which
// means that its machine is running but the target is not. The probe connection
// does not count towards the limit.
func (p *Pool) RefusesConnections() bool {
	c, err := p.dialTarget(p.address, probeTimeout)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close makes Start refuse attempts and closes idle connections; connections in
// use are closed after their reply.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		go c.fail(ErrNotSent)
	}
}

package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener accepts connections up to a limit and closes those above it.
type limitedListener struct {
	net.Listener
	limit       int
	connectTime time.Duration
	counters    *counters
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.counters.connections.addBelow(int64(l.limit)) {
			return &delayedConn{Conn: c, ready: time.Now().Add(l.connectTime), open: &l.counters.connections}, nil
		}
		l.counters.refusedConnections.Add(1)
		c.Close() // the caller sees the closed connection
	}
}

// delayedConn is a connection whose first bytes are read no earlier than ready.
type delayedConn struct {
	net.Conn
	ready time.Time
	read  bool
	open  *gauge
	once  sync.Once
}

// Read waits for the connection to be ready and then reads.
func (c *delayedConn) Read(b []byte) (int, error) {
	if !c.read {
		c.read = true
		time.Sleep(time.Until(c.ready))
	}
	return c.Conn.Read(b)
}

// Close closes the connection and counts it out once.
func (c *delayedConn) Close() error {
	c.once.Do(c.open.done)
	return c.Conn.Close()
}

// gauge counts what is in progress and remembers the largest value.
type gauge struct {
	now, max atomic.Int64
}

// add counts one more and returns the new value.
func (g *gauge) add() int64 {
	n := g.now.Add(1)
	g.remember(n)
	return n
}

// addBelow counts one more unless limit are in progress.
func (g *gauge) addBelow(limit int64) bool {
	for {
		n := g.now.Load()
		if n >= limit {
			return false
		}
		if g.now.CompareAndSwap(n, n+1) {
			g.remember(n + 1)
			return true
		}
	}
}

func (g *gauge) remember(n int64) {
	for {
		seen := g.max.Load()
		if n <= seen || g.max.CompareAndSwap(seen, n) {
			return
		}
	}
}

// resetMax forgets the largest value but for what is in progress.
func (g *gauge) resetMax() { g.max.Store(g.now.Load()) }

func (g *gauge) done() { g.now.Add(-1) }

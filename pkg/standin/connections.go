package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener limits the number of open connections and closes new ones
// above the limit.
type limitedListener struct {
	net.Listener
	limit       int
	connectTime time.Duration
	counters    *counters
}

// Accept returns the next connection that does not exceed the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.counters.connections.incrementBelow(int64(l.limit)) {
			return &delayedConn{Conn: c, readableAt: time.Now().Add(l.connectTime), openConnections: &l.counters.connections}, nil
		}
		l.counters.refusedConnections.Add(1)
		c.Close() // the client sees that the connection is closed
	}
}

// delayedConn is a connection whose first read is delayed until readableAt.
type delayedConn struct {
	net.Conn
	readableAt      time.Time
	waited          bool
	openConnections *gauge
	closeOnce       sync.Once
}

// Read delays the first read until readableAt.
func (c *delayedConn) Read(b []byte) (int, error) {
	if !c.waited {
		c.waited = true
		time.Sleep(time.Until(c.readableAt))
	}
	return c.Conn.Read(b)
}

// Close closes the connection and decrements the number of open connections
// once.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(c.openConnections.decrement)
	return c.Conn.Close()
}

// gauge holds a current value and its maximum.
type gauge struct {
	current, max atomic.Int64
}

// increment adds 1 and returns the new value.
func (g *gauge) increment() int64 {
	n := g.current.Add(1)
	g.updateMax(n)
	return n
}

// incrementBelow adds 1 if the value is below limit and reports whether it did.
func (g *gauge) incrementBelow(limit int64) bool {
	for {
		n := g.current.Load()
		if n >= limit {
			return false
		}
		if g.current.CompareAndSwap(n, n+1) {
			g.updateMax(n + 1)
			return true
		}
	}
}

func (g *gauge) updateMax(n int64) {
	for {
		highest := g.max.Load()
		if n <= highest || g.max.CompareAndSwap(highest, n) {
			return
		}
	}
}

// resetMax restarts the maximum at the current value.
func (g *gauge) resetMax() { g.max.Store(g.current.Load()) }

func (g *gauge) decrement() { g.current.Add(-1) }

package exchangetest

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// ConnectionLimit makes fake targets accept a limited number of connections. Like a real
// one, a target above its limit accepts a new connection and resets it shortly after.
type ConnectionLimit struct {
	// Limit is how many connections each target accepts.
	Limit int
	// ResetAfter is the time from opening a connection to its reset.
	ResetAfter time.Duration
	// Open opens a connection to a target.
	Open func(address string, timeout time.Duration) (net.Conn, error)

	mu     sync.Mutex
	open   map[string]int
	held   map[string][]heldConnections
	resets map[string][]time.Time
}

// heldConnections are connections of ended processes that a target still counts.
type heldConnections struct {
	n     int
	until time.Time
}

// Hold makes a target count n connections of ended processes for some time from now.
func (l *ConnectionLimit) Hold(address string, n int, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = make(map[string][]heldConnections)
	}
	l.held[address] = append(l.held[address], heldConnections{n: n, until: time.Now().Add(d)})
}

// Release makes all targets count no connections of ended processes any more.
func (l *ConnectionLimit) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.held)
}

// Resets returns when a target reset a connection.
func (l *ConnectionLimit) Resets(address string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.resets[address]...)
}

// Dial implements pool.DialFunc.
func (l *ConnectionLimit) Dial(address string, timeout time.Duration) (net.Conn, error) {
	if !l.accepts(address) {
		return newResetConn(l.ResetAfter), nil
	}
	c, err := l.Open(address, timeout)
	if err != nil {
		l.release(address)
		return nil, err
	}
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { l.release(address) })}, nil
}

// accepts reports whether a target accepts another connection, and counts it.
func (l *ConnectionLimit) accepts(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open, l.resets = make(map[string]int), make(map[string][]time.Time)
	}
	n := l.open[address]
	for _, h := range l.held[address] {
		if time.Now().Before(h.until) {
			n += h.n
		}
	}
	if n >= l.Limit {
		l.resets[address] = append(l.resets[address], time.Now().Add(l.ResetAfter))
		return false
	}
	l.open[address]++
	return true
}

func (l *ConnectionLimit) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[address]--
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// resetConn is a connection that is reset after a time. Writes succeed until then.
type resetConn struct {
	net.Conn
	reset  chan struct{}
	remote net.Conn
}

func newResetConn(after time.Duration) *resetConn {
	local, remote := net.Pipe()
	c := &resetConn{Conn: local, remote: remote, reset: make(chan struct{})}
	time.AfterFunc(after, func() {
		close(c.reset)
		_ = remote.Close()
	})
	return c
}

// Read blocks until the connection is reset or closed.
func (c *resetConn) Read(p []byte) (int, error) {
	if _, err := c.Conn.Read(p); err == net.ErrClosed {
		return 0, err
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *resetConn) Write(p []byte) (int, error) {
	select {
	case <-c.reset:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	default:
		return len(p), nil
	}
}

package httpserver

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"

	"radishturn.example/radishturn/pkg/clientlimit"
	"radishturn.example/radishturn/pkg/membudget"
)

const (
	// connBytes is what a connection of HTTP/1.1 holds besides a head longer than
	// bufferBytes: its goroutine, buffers and contexts.
	connBytes = 16 << 10
	// tlsBytes and http2Bytes are what TLS and HTTP/2 hold in addition.
	tlsBytes, http2Bytes = 32 << 10, 48 << 10
	// bufferBytes of a head take no memory in addition to the connection's buffer.
	bufferBytes = 4 << 10
	// headFactor times the size of a head is what the head holds.
	headFactor = 2
	// lineBytes is the size of a header line besides its bytes: its entry in a map, which
	// grows by doubling, its name and its list of values.
	lineBytes = 128
	// maxHeadStep limits what is accounted for in advance of a head.
	maxHeadStep = 32 << 10
	// clientsDivisor is the part of the memory for messages that connections may take;
	// the rest is left for bodies.
	clientsDivisor = 2
	// descriptorsDivisor is the part of the descriptors that connections may take; the
	// rest is for targets, other instances and files.
	descriptorsDivisor = 2
	// unstatedMemory is the memory for connections if the settings do not state the
	// memory of the process.
	unstatedMemory = 128 << 20
)

// Shares of the connections and memory for clients, in eighths. The sum over the
// listeners of a process is 8 at most, so that a flood on one takes nothing from others.
const (
	// ShareMain is that of the listener that a process is there for.
	ShareMain = 5
	// ShareSide is that of each other listener.
	ShareSide = 1
	shares    = 8
)

// guard bounds what the clients of one listener hold.
type guard struct {
	budget *membudget.Budget
	base   int64
	// maxHead is the length of the longest head.
	maxHead int64
	// keepBodies is set if bodies count against the listener's limits until their request
	// ends, and not only while they arrive.
	keepBodies bool
	report     *report

	mu    sync.Mutex
	table *clientlimit.Table
}

func newGuard(name string, l Limits, usesTLS bool) *guard {
	g := &guard{budget: l.Memory, base: connBytes, maxHead: int64(l.MaxHeaderBytes) + bufferBytes, keepBodies: !l.BodiesReserved, report: newReport(name)}
	if usesTLS {
		g.base += tlsBytes
	}
	g.table = clientlimit.New(clientLimits(l, g.base, openFileLimit()))
	g.table.Stalled = func(owner any) bool { return owner.(*guardedConn).stalled() }
	return g
}

// clientLimits divides what all clients may hold among the listeners.
func clientLimits(l Limits, base, descriptors int64) clientlimit.Limits {
	memory := int64(unstatedMemory)
	if l.Memory != nil {
		memory = l.Memory.Limit() / clientsDivisor
	}
	part := max(ShareSide, int64(l.Share))
	memory = memory * part / shares
	connections := min(memory/base, descriptors/descriptorsDivisor*part/shares)
	if l.MaxConnections > 0 {
		connections = min(connections, int64(l.MaxConnections))
	}
	return clientlimit.Limits{Connections: int(max(1, connections)), Bytes: memory}
}

// openFileLimit returns the number of descriptors that the process may open.
func openFileLimit() int64 {
	const assumed = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumed
	}
	return int64(min(limit.Cur, 1<<30))
}

// update changes the table, accounts for the difference, and closes the connections
// that were evicted.
func (g *guard) update(change func(*clientlimit.Table)) {
	g.mu.Lock()
	before := g.table.Bytes()
	change(g.table)
	evicted := g.table.TakeEvicted()
	held := g.table.Bytes()
	connections := g.table.Connections()
	g.mu.Unlock()
	g.budget.Add(held - before)
	g.report.held(connections, held)
	for _, e := range evicted {
		g.report.evicted(e.Reason, connections, held)
		_ = e.Conn.Owner.(*guardedConn).Conn.Close()
	}
}

// admit returns a guarded connection, or closes it and returns nil.
func (g *guard) admit(c net.Conn) *guardedConn {
	guarded := &guardedConn{Conn: c, guard: g, frames: newFrameCounter()}
	guarded.allowed.Store(bufferBytes)
	var refused clientlimit.Reason
	g.update(func(t *clientlimit.Table) {
		guarded.entry, refused = t.Open(clientAddress(c), g.base)
		if guarded.entry != nil {
			guarded.entry.Owner = guarded
		}
	})
	if refused != clientlimit.ReasonNone {
		g.report.refused(refused)
		_ = c.Close()
		return nil
	}
	return guarded
}

func clientAddress(c net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return address.Addr()
}

// guardedListener accepts the connections that its guard admits.
type guardedListener struct {
	net.Listener
	guard *guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.admit(c); guarded != nil {
			return guarded, nil
		}
	}
}

// errEvicted means that a connection was closed to make room for others.
var errEvicted = errors.New("connection was closed to make room for others")

// guardedOf returns the guarded connection beneath c, or nil.
func guardedOf(c net.Conn) *guardedConn {
	for c != nil {
		if guarded, ok := c.(*guardedConn); ok {
			return guarded
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
	return nil
}

// onState follows the states of the connections of HTTP/1.1. Those of HTTP/2 are
// followed by their requests.
func (g *guard) onState(c net.Conn, s http.ConnState) {
	if guarded := guardedOf(c); s == http.StateIdle && guarded != nil && !guarded.http2.Load() {
		guarded.becomeIdle()
	}
}

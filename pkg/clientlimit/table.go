// Package clientlimit decides which connections of clients a listener keeps, so that no
// number of clients takes more than a fixed number of connections and bytes. It knows no
// sockets and no clock: the caller closes the connections that it is told to evict.
package clientlimit

import (
	"container/list"
	"net/netip"
)

// Limits bound what the clients of one listener hold together.
type Limits struct {
	Connections int
	Bytes       int64
}

const (
	// Connections that have not sent a complete request may be this part of all.
	incompleteDivisor = 2
	// Idle connections are evicted after incomplete ones up to this part of a limit, and
	// before them beyond it, so that kept connections do not make new ones evict each other.
	idleDivisor = 2
	// One client address may hold addressShare of addressParts of each limit. Many
	// clients share an address, such as those behind a load balancer.
	addressShare, addressParts = 3, 4
	// ipv6ClientBits is the part of an IPv6 address that a client cannot choose freely.
	ipv6ClientBits = 64
)

// Reason is why a connection is not kept.
type Reason string

// Reasons for which connections are not kept.
const (
	ReasonNone Reason = ""
	// ReasonConnections and ReasonMemory mean that the listener's limit was reached.
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	// ReasonIncomplete means that too many connections had not sent a complete request.
	ReasonIncomplete Reason = "incomplete"
	// ReasonAddress means that the limit of one client address was reached.
	ReasonAddress Reason = "address"
)

type phase uint8

const (
	// incomplete connections have not sent a complete request since they were opened,
	// or since the last one was answered.
	incomplete phase = iota
	busy
	idle
	closed
)

// Conn is one connection. Only its Table uses it.
type Conn struct {
	client  *client
	phase   phase
	held    int64
	element *list.Element
	served  bool
	// Owner is for the caller.
	Owner any
}

// client is what one client address holds.
type client struct {
	address                       netip.Addr
	connections, incomplete, idle int
	bytes                         int64
}

// Eviction is a connection that the caller must close.
type Eviction struct {
	Conn   *Conn
	Reason Reason
}

// Table holds the connections of one listener. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	clients     map[netip.Addr]*client
	connections int
	bytes       int64
	// incomplete, busy and idle hold connections, the ones that are so longest in front.
	incomplete, busy, idle *list.List
	evicted                []Eviction
	// Stalled reports whether the client of a busy connection with this owner does not
	// take its answer. If it is nil, busy connections are never evicted.
	Stalled func(owner any) bool
}

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, clients: make(map[netip.Addr]*client), incomplete: list.New(), busy: list.New(), idle: list.New()}
}

// Connections returns the number of connections.
func (t *Table) Connections() int { return t.connections }

// Bytes returns the number of bytes held.
func (t *Table) Bytes() int64 { return t.bytes }

// TakeEvicted returns the connections that were evicted since the last call.
func (t *Table) TakeEvicted() []Eviction {
	evicted := t.evicted
	t.evicted = nil
	return evicted
}

// Open adds a connection that holds n bytes, and evicts others if need be. If there is
// no room, it returns the reason.
func (t *Table) Open(address netip.Addr, n int64) (*Conn, Reason) {
	c := &Conn{client: t.clientOf(address), phase: closed}
	if reason := t.makeRoom(c, 1, n); reason != ReasonNone {
		t.forget(c.client)
		return nil, reason
	}
	t.connections++
	c.client.connections++
	t.clients[c.client.address] = c.client
	t.add(c, n)
	t.setPhase(c, incomplete)
	return c, ReasonNone
}

// Grow adds n bytes to those that a connection holds, and evicts others if need be. It
// reports whether there was room; if not, a connection without a complete request is
// evicted itself.
func (t *Table) Grow(c *Conn, n int64) bool {
	if c.phase == closed {
		return false
	}
	reason := t.makeRoom(c, 0, n)
	if c.phase == closed {
		return false
	}
	if reason == ReasonNone {
		t.add(c, n)
		return true
	}
	if c.phase == incomplete {
		t.evict(c, reason)
	}
	return false
}

// Shrink returns n of the bytes that a connection holds.
func (t *Table) Shrink(c *Conn, n int64) {
	if c.phase != closed {
		t.add(c, -min(n, c.held))
	}
}

// Begin notes that a request has begun on a connection. It fails if the connection was
// evicted before, and so must not run the request. whole is false if a part of the
// request is yet to come.
func (t *Table) Begin(c *Conn, whole bool) bool {
	if c.phase == closed {
		return false
	}
	c.served = true
	switch {
	case whole:
		t.setPhase(c, busy)
	case c.phase != incomplete:
		t.setPhase(c, incomplete)
	}
	return true
}

// Complete notes that the rest of a request has arrived.
func (t *Table) Complete(c *Conn) {
	if c.phase == incomplete {
		t.setPhase(c, busy)
	}
}

// Idle notes that no request is in progress on a connection, and that it now holds n
// bytes. One that has not begun a request yet stays incomplete.
func (t *Table) Idle(c *Conn, n int64) {
	if c.phase == closed {
		return
	}
	t.add(c, n-c.held)
	if c.served {
		t.setPhase(c, idle)
	}
}

// Partial notes that an idle connection has sent a part of a request.
func (t *Table) Partial(c *Conn) {
	if c.phase == idle {
		t.setPhase(c, incomplete)
	}
}

// Close removes a connection.
func (t *Table) Close(c *Conn) {
	if c.phase == closed {
		return
	}
	t.add(c, -c.held)
	t.setPhase(c, closed)
	t.connections--
	c.client.connections--
	t.forget(c.client)
}

func (t *Table) add(c *Conn, n int64) {
	c.held += n
	c.client.bytes += n
	t.bytes += n
}

func (t *Table) setPhase(c *Conn, p phase) {
	if c.phase == incomplete {
		c.client.incomplete--
		t.incomplete.Remove(c.element)
	}
	if c.phase == busy {
		t.busy.Remove(c.element)
	}
	if c.phase == idle {
		c.client.idle--
		t.idle.Remove(c.element)
	}
	c.phase, c.element = p, nil
	switch p {
	case incomplete:
		c.client.incomplete++
		c.element = t.incomplete.PushBack(c)
	case busy:
		c.element = t.busy.PushBack(c)
	case idle:
		c.client.idle++
		c.element = t.idle.PushBack(c)
	}
}

// clientOf returns the client with an address, which is new if it holds nothing.
func (t *Table) clientOf(address netip.Addr) *client {
	address = address.Unmap().WithZone("")
	if address.Is6() {
		prefix, _ := address.Prefix(ipv6ClientBits)
		address = prefix.Addr()
	}
	if c := t.clients[address]; c != nil {
		return c
	}
	return &client{address: address}
}

func (t *Table) forget(c *client) {
	if c.connections == 0 {
		delete(t.clients, c.address)
	}
}

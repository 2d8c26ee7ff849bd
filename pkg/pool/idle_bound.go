package pool

import (
	"container/list"
	"sync"
)

// IdleBound bounds the idle connections of several pools together: the connection that
// has been idle for longest is closed first. It is safe for concurrent use.
//
// Invariant: no lock of a pool is taken while mu is held.
type IdleBound struct {
	mu    sync.Mutex
	limit int
	// order holds the idle connections, the one that has been idle for longest first.
	order    *list.List
	elements map[*conn]*list.Element
}

// NewIdleBound returns an IdleBound that allows no idle connection.
func NewIdleBound() *IdleBound {
	return &IdleBound{order: list.New(), elements: make(map[*conn]*list.Element)}
}

// SetLimit sets the number of idle connections.
func (b *IdleBound) SetLimit(limit int) {
	b.mu.Lock()
	b.limit = limit
	surplus := b.surplus()
	b.mu.Unlock()
	closeIdle(surplus)
}

// add records that a connection is idle, and closes those beyond the limit.
func (b *IdleBound) add(c *conn) {
	b.mu.Lock()
	if e := b.elements[c]; e != nil {
		b.order.MoveToBack(e)
	} else {
		b.elements[c] = b.order.PushBack(c)
	}
	surplus := b.surplus()
	b.mu.Unlock()
	closeIdle(surplus)
}

// surplus removes and returns the connections beyond the limit. mu must be held.
func (b *IdleBound) surplus() []*conn {
	var surplus []*conn
	for b.order.Len() > b.limit {
		c := b.order.Remove(b.order.Front()).(*conn)
		delete(b.elements, c)
		surplus = append(surplus, c)
	}
	return surplus
}

// drop records that a connection is no longer idle.
func (b *IdleBound) drop(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.elements[c]; e != nil {
		b.order.Remove(e)
		delete(b.elements, c)
	}
}

func closeIdle(connections []*conn) {
	for _, c := range connections {
		if c.pool.takeIdle(c) {
			go c.fail(ErrNotSent)
		}
	}
}

// takeIdle removes a connection from the idle ones, and reports whether it was one.
func (p *Pool) takeIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return true
		}
	}
	return false
}

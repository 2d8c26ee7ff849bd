// Package membudget bounds the memory that message bodies of one process take
// together, so that many long bodies at once cannot exhaust it.
package membudget

import (
	"errors"
	"sync"
	"sync/atomic"
)

// ErrExhausted means that the budget has no room for more.
var ErrExhausted = errors.New("the memory for message bodies is used up")

// Budget is a number of bytes. It is safe for concurrent use; a nil Budget is unlimited.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

func (b *Budget) take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *Budget) giveBack(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Reservation is the part of a budget that one message holds. The zero value holds
// nothing. It is safe for concurrent use.
type Reservation struct {
	mu       sync.Mutex
	budget   *Budget
	held     int64
	released bool
}

// Grow reserves n more bytes of the budget, which is the same in all calls. It fails if
// the budget has no room for them, or the reservation was released.
func (r *Reservation) Grow(b *Budget, n int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released || !b.take(n) {
		return ErrExhausted
	}
	r.budget = b
	r.held += n
	return nil
}

// Release returns all bytes; further calls do nothing.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	r.budget.giveBack(r.held)
	r.held = 0
}

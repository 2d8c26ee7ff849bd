// Package membudget bounds the memory that messages of others take in one process, all
// together, so that neither many nor endless ones can exhaust it. What is reserved is what
// is allocated, not what has arrived.
package membudget

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
)

// ErrExhausted means that the budget has no room for more.
var ErrExhausted = errors.New("the memory for message bodies is used up")

// Budget is a number of bytes. It is safe for concurrent use; a nil Budget is unlimited.
type Budget struct {
	limit int64
	used  atomic.Int64
	// free is kept for further messages, in what is left of limit.
	free freeBuffers
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget, or 0 if it is unlimited.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Add takes n bytes, or returns -n, whether or not the budget has room for them. The
// caller bounds what it takes.
func (b *Budget) Add(n int64) {
	b.giveBack(-n)
	b.makeRoom()
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

const (
	// minShareBytes is the share that each message has, if the budget has room for it.
	minShareBytes = 4 << 10
	// shareDivisor is the part of the free bytes that one message may hold.
	shareDivisor = 2
	// shortBytes is the length up to which a message is short.
	shortBytes = 64 << 10
	// shortDivisor is the part of the budget that long messages leave to short ones.
	shortDivisor = 8
)

// share returns how long a message may be for which length bytes are reserved.
func (b *Budget) share(length int64) int64 {
	if b == nil {
		return math.MaxInt64
	}
	if length <= minShareBytes {
		return length
	}
	free := b.limit - b.used.Load()
	if length > shortBytes {
		free -= b.limit / shortDivisor
	}
	return free / shareDivisor
}

func (b *Budget) take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.giveBack(n)
		return false
	}
	return true
}

func (b *Budget) giveBack(n int64) {
	if b != nil && b.used.Add(-n) == 0 && n > 0 {
		b.dropUnused()
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
	b.makeRoom()
	r.budget = b
	r.held += n
	return nil
}

// Assure reserves n more bytes, whether or not the budget has room for them. It fails if
// the reservation was released.
func (r *Reservation) Assure(b *Budget, n int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return ErrExhausted
	}
	b.giveBack(-n)
	r.budget = b
	r.held += n
	return nil
}

// GrowShare is like Grow, and fails besides if n, the size of a buffer for the whole
// message, is more than the message's share of the budget. The more messages there are,
// the less each of them may hold, and long ones leave some room for short ones.
func (r *Reservation) GrowShare(b *Budget, n int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released || !b.take(n) {
		return ErrExhausted
	}
	if n > b.share(n) {
		b.giveBack(n)
		return ErrExhausted
	}
	r.budget = b
	r.held += n
	return nil
}

// Shrink returns n of the bytes, or all if fewer are held.
func (r *Reservation) Shrink(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, r.held)
	r.budget.giveBack(n)
	r.held -= n
}

// Adopt takes over all bytes that from holds. If this reservation was released, they are
// returned.
func (r *Reservation) Adopt(from *Reservation) {
	from.mu.Lock()
	budget, held := from.budget, from.held
	from.held, from.released = 0, true
	from.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		budget.giveBack(held)
		return
	}
	r.budget = budget
	r.held += held
}

// Release returns all bytes; further calls do nothing.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	r.budget.giveBack(r.held)
	r.held = 0
}

package lease

import (
	"context"
	"sync"
	"time"
)

// minRefreshInterval is the minimum time between renewals that requests ask for, so that
// requests with unknown keys cannot overload the leader: 78 instances then add 312
// renewals a second.
const minRefreshInterval = 250 * time.Millisecond

// refresher lets several requests wait for the same renewal.
type refresher struct {
	// wake asks for a renewal.
	wake chan struct{}

	mu sync.Mutex
	// served is closed once the next renewal has ended; nil if nobody waits.
	served chan struct{}
	// began is when the newest renewal began that was waited for.
	began time.Duration
}

func newRefresher() *refresher {
	return &refresher{wake: make(chan struct{}, 1), began: -minRefreshInterval}
}

// request returns a channel that is closed once a renewal that begins later has ended.
func (r *refresher) request() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.served == nil {
		r.served = make(chan struct{})
		notify(r.wake)
	}
	return r.served
}

// begin records that a renewal begins. The function that it returns is called once the
// renewal has ended.
func (r *refresher) begin(now time.Duration) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := r.served
	if served == nil {
		return func() {}
	}
	r.served, r.began = nil, now
	return func() { close(served) }
}

// delay returns how long the next renewal that was asked for must wait.
func (r *refresher) delay(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.began+minRefreshInterval-now)
}

// Refresh implements view.Contact.
func (m *Module) Refresh(ctx context.Context) {
	select {
	case <-m.refresher.request():
	case <-ctx.Done():
	}
}

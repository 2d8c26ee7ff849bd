package lease

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the renewals that requests ask for, so that requests with unknown keys cannot
// overload the leader: 78 instances add 312 renewals a second at most after a burst.
const (
	refreshesPerSecond = 4
	refreshBurst       = 8
)

// refresher lets several requests wait for the same renewal.
type refresher struct {
	// wake asks for a renewal, which limiter delays.
	wake    chan struct{}
	limiter *rate.Limiter

	mu sync.Mutex
	// served is closed once the next renewal has ended; nil if nobody waits.
	served chan struct{}
}

func newRefresher() *refresher {
	return &refresher{wake: make(chan struct{}, 1), limiter: rate.NewLimiter(refreshesPerSecond, refreshBurst)}
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
func (r *refresher) begin() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := r.served
	if served == nil {
		return func() {}
	}
	r.served = nil
	return func() { close(served) }
}

// delay returns how long the next renewal that was asked for must wait.
func (r *refresher) delay() time.Duration { return r.limiter.Reserve().Delay() }

// Refresh implements view.Contact.
func (m *Module) Refresh(ctx context.Context) {
	select {
	case <-m.refresher.request():
	case <-ctx.Done():
	}
}

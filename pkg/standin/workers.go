package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// workers bounds the requests that a target serves at a time. A nil *workers
// does not.
type workers struct {
	slots   chan struct{}
	queue   int64
	waiting atomic.Int64
}

func newWorkers(concurrency, queue int) *workers {
	if concurrency <= 0 {
		return nil
	}
	return &workers{slots: make(chan struct{}, concurrency), queue: int64(queue)}
}

// turn is the result of waiting for a worker.
type turn int

const (
	turnTaken turn = iota
	turnShed
	turnExpired
	turnCancelled
)

// acquire takes a worker or joins the queue for one.
func (w *workers) acquire(ctx context.Context, r *leafRequest) turn {
	if w == nil {
		return turnTaken
	}
	select {
	case w.slots <- struct{}{}:
		return turnTaken
	default:
	}
	if w.waiting.Add(1) > w.queue {
		w.waiting.Add(-1)
		return turnShed
	}
	defer w.waiting.Add(-1)
	return w.wait(ctx, r)
}

func (w *workers) wait(ctx context.Context, r *leafRequest) turn {
	var expired <-chan time.Time
	if r.timeLeft > 0 {
		timer := time.NewTimer(r.timeLeft - time.Since(r.received))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case w.slots <- struct{}{}:
		return turnTaken
	case <-expired:
		return turnExpired
	case <-ctx.Done():
		return turnCancelled
	}
}

func (w *workers) release() {
	if w != nil {
		<-w.slots
	}
}

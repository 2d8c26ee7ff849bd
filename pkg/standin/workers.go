package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// workers limits the requests that a target processes at a time. A nil *workers
// sets no limit.
type workers struct {
	permits    chan struct{}
	queueLimit int64
	waiting    atomic.Int64
}

func newWorkers(concurrency, queue int) *workers {
	if concurrency <= 0 {
		return nil
	}
	return &workers{permits: make(chan struct{}, concurrency), queueLimit: int64(queue)}
}

// acquireResult is the result of waiting for a worker.
type acquireResult int

const (
	acquireOK acquireResult = iota
	acquireShed
	acquireExpired
	acquireCancelled
)

// acquire takes a free worker, or waits for one if the queue is not full.
func (w *workers) acquire(ctx context.Context, r *leafRequest) acquireResult {
	if w == nil {
		return acquireOK
	}
	select {
	case w.permits <- struct{}{}:
		return acquireOK
	default:
	}
	if w.waiting.Add(1) > w.queueLimit {
		w.waiting.Add(-1)
		return acquireShed
	}
	defer w.waiting.Add(-1)
	return w.wait(ctx, r)
}

func (w *workers) wait(ctx context.Context, r *leafRequest) acquireResult {
	var expired <-chan time.Time
	if r.timeLeft > 0 {
		timer := time.NewTimer(r.timeLeft - time.Since(r.receivedAt))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case w.permits <- struct{}{}:
		return acquireOK
	case <-expired:
		return acquireExpired
	case <-ctx.Done():
		return acquireCancelled
	}
}

func (w *workers) release() {
	if w != nil {
		<-w.permits
	}
}

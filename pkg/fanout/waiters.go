package fanout

import (
	"slices"
)

// waiter is a subquery of a query that waits for capacity.
type waiter struct {
	pass     *pass
	subquery int
}

// enqueue queues a subquery until a target of the leaf has capacity. It reports false
// if the queue is full.
func (l *leaf) enqueue(p *pass, subquery int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) >= maxWaiters {
		return false
	}
	l.waiters = append(l.waiters, waiter{p, subquery})
	return true
}

// wakeOne wakes the subquery that has waited longest, since capacity may be available.
func (l *leaf) wakeOne() {
	for len(l.waiters) > 0 {
		w := l.waiters[0]
		l.waiters[0] = waiter{}
		l.waiters = l.waiters[1:]
		if w.pass.ctx.Err() == nil {
			w.pass.queue.addWakeup(w.subquery)
			return
		}
	}
	l.waiters = nil
}

// removeWaiters removes the subqueries of a pass from the queue.
func (l *leaf) removeWaiters(p *pass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return w.pass == p })
}

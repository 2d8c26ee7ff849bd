package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/queue"
)

// connectionQueues holds a queue for each service: the calls that wait for a connection to
// one of its targets, and those that have one.
type connectionQueues struct {
	now func() time.Duration
	// waiting is the number of waiting calls of all services. While it is 0, a freed
	// connection costs no more than reading it.
	waiting atomic.Int64

	mu        sync.Mutex
	byService map[model.ServiceID]*connectionQueue
}

// connectionQueue is the queue of one service.
//
// A freed connection wakes the first waiting call. A call that was woken wakes the next
// one while there are connections left, so that none remains waiting beside a connection
// that only it may use.
type connectionQueue struct {
	all   *connectionQueues
	mu    sync.Mutex
	queue queue.Queue
	// wakeUps holds a function for each waiting ticket. It has the call try to find a
	// connection, and does not block.
	wakeUps map[*queue.Ticket]func()
}

func newConnectionQueues(now func() time.Duration) *connectionQueues {
	return &connectionQueues{now: now, byService: make(map[model.ServiceID]*connectionQueue)}
}

// of returns the queue of a service.
func (c *connectionQueues) of(service model.ServiceID) *connectionQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byService[service]
	if w == nil {
		w = &connectionQueue{all: c, queue: queue.Queue{MinRetryAfter: refusedRetryAfter}, wakeUps: make(map[*queue.Ticket]func())}
		c.byService[service] = w
	}
	return w
}

// wake has the first waiting call of a service try to find a connection. It may be called
// with any locks held but those of this file.
func (c *connectionQueues) wake(service model.ServiceID) {
	if c.waiting.Load() > 0 {
		c.of(service).wakeAfter(nil)
	}
}

// wakeAfter wakes the call after another one; the first one for nil.
func (w *connectionQueue) wakeAfter(t *queue.Ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if next := w.queue.Next(w.all.now(), t); next != nil {
		w.wakeUps[next]()
	}
}

// anyWaiting reports whether calls wait.
func (w *connectionQueue) anyWaiting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Waiting() > 0
}

// pass records a call that found a connection at once.
func (w *connectionQueue) pass(connections int, r queue.Request) *queue.Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Pass(w.all.now(), connections, r)
}

// join adds a call that waits, unless its ticket is refused at once. wakeUp has it try to
// find a connection; it is called with the lock held. wait is how long the call is expected
// to wait, and ahead how many wait already.
func (w *connectionQueue) join(connections int, r queue.Request, wakeUp func()) (t *queue.Ticket, wait time.Duration, ahead int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ahead = w.queue.Waiting()
	t, wait = w.queue.Wait(w.all.now(), connections, r)
	if !t.Refused {
		w.wakeUps[t] = wakeUp
		w.all.waiting.Add(1)
	}
	return t, wait, ahead
}

// withdraw removes a waiting ticket that was neither served nor refused.
func (w *connectionQueue) withdraw(t *queue.Ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.Withdraw(t)
	w.forget(t)
}

// forget removes the wake-up of a ticket. The caller holds the lock.
func (w *connectionQueue) forget(t *queue.Ticket) {
	delete(w.wakeUps, t)
	w.all.waiting.Add(-1)
}

// leave removes a waiting call: it has found a connection, or gives up. It returns the
// ticket with which a call that has found one ends. The next call is woken, since it may
// have been this call's turn.
func (w *connectionQueue) leave(t *queue.Ticket, connections int, found bool) *queue.Ticket {
	w.mu.Lock()
	now := w.all.now()
	w.forget(t)
	switch {
	case !found:
		w.queue.Abandon(t, now)
	case !w.queue.Start(t, now):
		// The queue has refused the ticket since the call found a connection.
		t = w.queue.Pass(now, connections, t.Request)
	}
	w.mu.Unlock()
	w.wakeAfter(nil)
	return t
}

// end records that a call which had found a connection has ended.
func (w *connectionQueue) end(t *queue.Ticket, connections int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.End(t, w.all.now(), connections)
}

// retryAfter returns the Retry-After time of a call that could be served after a time.
func (w *connectionQueue) retryAfter(after time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.RetryAfter(w.all.now(), after)
}

// work returns the mean work of a call, and how long ago it was learned.
func (w *connectionQueue) work(t *queue.Ticket) (mean, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Work(&t.Request, w.all.now())
}

package fanout

import (
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

// attemptResult reports the end of an attempt to the goroutine of its pass. The leaf
// receives an attemptOutcome instead.
type attemptResult struct {
	subquery int
	attempt  int
	kind     target.Kind
	elapsed  time.Duration
	// mayBeCause is set if the target died while the attempt was in flight and the
	// request may have caused it.
	mayBeCause bool
	// quarantined is set if the death of the target quarantined the request.
	quarantined bool
	reply       *targetproto.QueryReply
}

// eventQueue passes results of attempts and wakeups of waiting subqueries to the
// goroutine of a pass. Its size is bounded by the pass's attempts and by its waiting
// subqueries.
type eventQueue struct {
	mu      sync.Mutex
	results []attemptResult
	wakeups []int
	// ready holds a token while the queue may be non-empty.
	ready chan struct{}
}

func (q *eventQueue) addResult(result attemptResult) {
	q.mu.Lock()
	q.results = append(q.results, result)
	q.mu.Unlock()
	q.signal()
}

func (q *eventQueue) addWakeup(subquery int) {
	q.mu.Lock()
	q.wakeups = append(q.wakeups, subquery)
	q.mu.Unlock()
	q.signal()
}

func (q *eventQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll takes all queued results and wakeups and reuses the given slices as the
// empty queue.
func (q *eventQueue) takeAll(results []attemptResult, wakeups []int) ([]attemptResult, []int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	takenResults, takenWakeups := q.results, q.wakeups
	q.results, q.wakeups = results[:0], wakeups[:0]
	return takenResults, takenWakeups
}

package fanout

import (
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

// attemptEnd carries the end of an attempt to the goroutine of its run.
type attemptEnd struct {
	leg     int
	attempt int
	kind    target.Kind
	elapsed time.Duration
	// died is set if the target died with the attempt in flight.
	died bool
	// condemned is set if the request is refused from now on.
	condemned bool
	reply     *targetproto.QueryReply
}

// mailbox hands the ends of attempts and wakes to the goroutine of a run. Its
// size is bounded by the attempts and by the waiting legs of the run.
type mailbox struct {
	mu    sync.Mutex
	ends  []attemptEnd
	wakes []int
	// ready holds a token while there may be something to take.
	ready chan struct{}
}

func (m *mailbox) put(e attemptEnd) {
	m.mu.Lock()
	m.ends = append(m.ends, e)
	m.mu.Unlock()
	m.signal()
}

func (m *mailbox) wake(leg int) {
	m.mu.Lock()
	m.wakes = append(m.wakes, leg)
	m.mu.Unlock()
	m.signal()
}

func (m *mailbox) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take swaps the collected ends and wakes for empty slices.
func (m *mailbox) take(ends []attemptEnd, wakes []int) ([]attemptEnd, []int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	takenEnds, takenWakes := m.ends, m.wakes
	m.ends, m.wakes = ends[:0], wakes[:0]
	return takenEnds, takenWakes
}

package boottime

import (
	"context"
	"sync"
	"time"
)

// PauseLimit is the longest time in which the process may do nothing, for lack of
// processor time or because it was stopped or its machine was suspended, without being
// noticed by a PauseWatch.
const PauseLimit = 200 * time.Millisecond

// watchInterval is the interval at which a PauseWatch looks at the clock.
const watchInterval = PauseLimit / 4

// PauseWatch notices when the process stood still. What it finds in its sockets after
// that may be old: the senders may have given up and done something else. The zero value
// is ready to use; it notices pauses as long as Run runs.
type PauseWatch struct {
	mu      sync.Mutex
	started bool
	// lastSeen is when the process was last seen running, and resumed when it was first
	// seen after the newest pause.
	lastSeen, resumed time.Duration
	paused            bool
}

// Run watches until ctx is done.
func (w *PauseWatch) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.PausedWithin(0)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// PausedWithin reports whether a pause ended less than the given time ago.
func (w *PauseWatch) PausedWithin(d time.Duration) bool {
	t, ok := now()
	return ok && w.observe(t, d)
}

// observe records that the process runs at time t, and reports whether a pause ended
// less than d before.
func (w *PauseWatch) observe(t, d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started && t-w.lastSeen > PauseLimit {
		w.paused, w.resumed = true, t
	}
	w.started = true
	w.lastSeen = max(w.lastSeen, t)
	return w.paused && t-w.resumed < d
}

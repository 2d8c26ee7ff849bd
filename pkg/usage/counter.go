package usage

import (
	"hash/maphash"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// counterShards is the number of locks of a Counter.
	counterShards = 16
	// settleTime is how long after a window's end its requests are given to end, before
	// a process calls the window complete. Almost all requests to targets end within it.
	settleTime = 2 * time.Second
)

// Counter counts the calls that one process forwards. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	seed   maphash.Seed
	// started is when the process started, and ownOffset the difference between the
	// wall clock and the boot-time clock then, which is used until true time is known.
	started   time.Duration
	ownOffset time.Duration
	// offset is the difference between true time and the boot-time clock, in
	// nanoseconds, if known is set.
	offset atomic.Int64
	known  atomic.Bool
	shards [counterShards]counterShard

	mu sync.Mutex
	// term is the term of the newest reply, and acknowledged the total of each window
	// that was acknowledged in it.
	term         uint64
	acknowledged map[Window]uint64
}

type counterShard struct {
	mu      sync.Mutex
	windows map[Window]map[model.CallerID]uint64
}

var _ Recorder = (*Counter)(nil)

// NewCounter returns a Counter for windows of the given length. now is the time on the
// boot-time clock, and wall that of the wall clock since the start of 1970.
func NewCounter(length, now, wall time.Duration) *Counter {
	c := &Counter{length: length, seed: maphash.MakeSeed(), started: now, ownOffset: wall - now, acknowledged: make(map[Window]uint64)}
	for i := range c.shards {
		c.shards[i].windows = make(map[Window]map[model.CallerID]uint64)
	}
	return c
}

// trueTime converts a time on the boot-time clock.
func (c *Counter) trueTime(t time.Duration) time.Duration {
	if c.known.Load() {
		return t + time.Duration(c.offset.Load())
	}
	return t + c.ownOffset
}

// KnowsTrueTime reports whether true time was set.
func (c *Counter) KnowsTrueTime() bool { return c.known.Load() }

// SetTrueTime sets that the time t on the boot-time clock was the given true time.
func (c *Counter) SetTrueTime(t, trueTime time.Duration) {
	c.offset.Store(int64(trueTime - t))
	c.known.Store(true)
}

// RecordRun implements Recorder.
func (c *Counter) RecordRun(caller model.CallerID, sent time.Duration) {
	w := WindowAt(c.trueTime(sent), c.length)
	s := &c.shards[maphash.String(c.seed, string(caller))%counterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.windows[w]
	if runs == nil {
		runs = make(map[model.CallerID]uint64)
		s.windows[w] = runs
		s.dropOldest()
	}
	if _, counted := runs[caller]; counted || len(runs) < MaxCallers/counterShards*2 {
		runs[caller]++
	}
}

// dropOldest drops the oldest windows beyond MaxEntryWindows.
func (s *counterShard) dropOldest() {
	for len(s.windows) > MaxEntryWindows {
		delete(s.windows, slices.Min(slices.Collect(maps.Keys(s.windows))))
	}
}

// Report returns the report to send at a time on the boot-time clock.
func (c *Counter) Report(now time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{Term: c.term}
	if !c.known.Load() {
		return r
	}
	current := WindowAt(c.trueTime(now), c.length)
	oldest := current.minus(MaxEntryWindows - 1)
	r.Since = max(WindowAt(c.trueTime(c.started), c.length), oldest)
	r.Final = WindowAt(c.trueTime(now)-settleTime, c.length)
	for _, w := range c.collect(oldest, current) {
		if Total(w.Counts) != c.acknowledged[w.Window] {
			r.Windows = append(r.Windows, w)
		}
	}
	maps.DeleteFunc(c.acknowledged, func(w Window, _ uint64) bool { return w < oldest })
	return r
}

// collect returns the counts of the windows from oldest to newest, in order, and drops
// those of other windows. A window after the newest one was counted by a clock that has
// been corrected since.
func (c *Counter) collect(oldest, newest Window) []WindowCounts {
	all := make(map[Window]map[model.CallerID]uint64)
	for i := range c.shards {
		c.shards[i].addTo(all, oldest, newest)
	}
	windows := make([]WindowCounts, 0, len(all))
	for _, w := range slices.Sorted(maps.Keys(all)) {
		windows = append(windows, WindowCounts{Window: w, Counts: sorted(all[w])})
	}
	return windows
}

func (s *counterShard) addTo(all map[Window]map[model.CallerID]uint64, oldest, newest Window) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, runs := range s.windows {
		switch {
		case w < oldest || w > newest+1:
			delete(s.windows, w)
		case all[w] == nil:
			all[w] = maps.Clone(runs)
		default:
			maps.Copy(all[w], runs)
		}
	}
}

// Acknowledge records that a leader has processed a report in the given term. It reports
// whether the term is new: then the next report has all windows again.
func (c *Counter) Acknowledge(r *Report, term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		c.term = term
		clear(c.acknowledged)
		return true
	}
	if r.Term != term {
		return false
	}
	for _, w := range r.Windows {
		c.acknowledged[w.Window] = max(c.acknowledged[w.Window], Total(w.Counts))
	}
	return false
}

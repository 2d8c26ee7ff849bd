package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/exchange"
)

// replayTarget is a simulated target.
type replayTarget struct {
	id, zone int
	base     float64
	slow     []bool
	phase    time.Duration
	pauses   [][2]time.Duration
	running  int
	queue    []func()
}

func (t *replayTarget) pace(now time.Duration) float64 {
	if t.slow[(now+t.phase)/(600*time.Millisecond)] {
		return 2.5 * t.base
	}
	return t.base
}

// end returns when work that begins at from has been done, with pauses.
func (t *replayTarget) end(from, work time.Duration) time.Duration {
	at := from
	for _, p := range t.pauses {
		if p[1] <= from {
			continue
		}
		if at+work <= p[0] {
			break
		}
		work -= max(0, p[0]-at)
		at = p[1]
	}
	return at + work
}

// receive runs or queues work, and calls done with the load then, or nil if it is
// rejected.
func (r *replay) receive(t *replayTarget, work time.Duration, done func(*exchange.Load)) {
	run := func() {
		t.running++
		r.at(t.end(r.now, time.Duration(float64(work)*t.pace(r.now))), func() {
			load := &exchange.Load{Known: r.reportsPace, Running: t.running, Waiting: len(t.queue), MaxRunning: replaySlots}
			if r.reportsPace {
				load.Pace = t.pace(r.now)
			}
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			done(load)
		})
	}
	switch {
	case t.running < replaySlots:
		run()
	case len(t.queue) < replayQueue:
		t.queue = append(t.queue, run)
	default:
		done(nil)
	}
}

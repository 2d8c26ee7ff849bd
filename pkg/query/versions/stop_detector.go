package versions

import (
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// recentResults is the number of last results, successes and failures, that are
	// kept of each version.
	recentResults = 64
	// stopAfterFailures is the number of failures among the last recentResults
	// that stops the new version, if the old one has at most maxOldFailures.
	stopAfterFailures = 8
	maxOldFailures    = 2
	// stopAfterConsecutive is the number of consecutive failures that stops the
	// new version under the same condition, also before it has recentResults results.
	stopAfterConsecutive = 6
	// maxCrashes bounds the crashes that are remembered; the oldest is dropped
	// first.
	maxCrashes = 16
)

// resultWindow is a ring buffer of the last results of a version.
type resultWindow struct {
	failed              [recentResults]bool
	next                int
	count               int
	failures            int
	consecutiveFailures int
}

func (r *resultWindow) add(ok bool) {
	if r.count == recentResults && r.failed[r.next] {
		r.failures--
	}
	r.failed[r.next] = !ok
	r.next = (r.next + 1) % recentResults
	r.count = min(r.count+1, recentResults)
	r.consecutiveFailures++
	if ok {
		r.consecutiveFailures = 0
		return
	}
	r.failures++
}

// StopDetector decides whether this instance stops using the new version of a move
// before the control group has decided. The zero StopDetector has not stopped any
// version. view.Evidence, in contrast, is what an instance reports to the group.
type StopDetector struct {
	move    view.Move
	old     resultWindow
	new     resultWindow
	stopped bool
	crashes []Incarnation
}

// Incarnation identifies one run of a target, from its start to its exit. It is the
// same pair as view.Incarnation, which reports use.
type Incarnation struct {
	Target model.TargetID
	Boot   model.BootID
}

// Track sets the move, and resets the detector when another move begins or the move
// is gone. It also resets it when a move that was rolled back (Reverted) no longer
// is, since an operator has then started the same move again.
func (d *StopDetector) Track(m view.Move, moving bool) {
	restarted := d.move.Reverted && !m.Reverted
	if !moving || restarted || m.From != d.move.From || m.To != d.move.To {
		*d = StopDetector{}
	}
	d.move = m
}

// Add records a result of a version. It returns a reason if this stops the new
// version, otherwise "". If the old version has more than maxOldFailures too, the
// fault is not attributed to the new version, and nothing is stopped.
func (d *StopDetector) Add(m view.Move, v model.VersionID, ok bool) string {
	d.Track(m, true)
	switch v {
	case m.From:
		d.old.add(ok)
	case m.To:
		d.new.add(ok)
	}
	if d.stopped || v != m.To || ok || d.old.failures > maxOldFailures {
		return ""
	}
	if d.new.consecutiveFailures < stopAfterConsecutive && d.new.failures < stopAfterFailures {
		return ""
	}
	d.stopped = true
	return fmt.Sprintf("%d of the last %d answers failed, %d of %d of version %s",
		d.new.failures, d.new.count, d.old.failures, d.old.count, m.From)
}

// AddCrash records a request that was lost when a target crashed, and returns the
// same as Add. A crash loses all requests in flight at once, so it counts as one
// failure: further reports of the same crash are ignored.
func (d *StopDetector) AddCrash(m view.Move, v model.VersionID, crashed Incarnation) string {
	d.Track(m, true)
	if slices.Contains(d.crashes, crashed) {
		return ""
	}
	if len(d.crashes) == maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	d.crashes = append(d.crashes, crashed)
	return d.Add(m, v, false)
}

// Stopped reports whether this instance has stopped using a version.
func (d *StopDetector) Stopped(v model.VersionID) bool { return d.stopped && v == d.move.To }

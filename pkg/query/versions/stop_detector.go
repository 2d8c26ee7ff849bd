package versions

import (
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// recentAnswers is the number of last answers that are kept of each version.
	recentAnswers = 64
	// maxRecentFailures is the number of failures among the last recentAnswers
	// that stops the new version, if the old one has at most maxOldFailures.
	maxRecentFailures = 8
	maxOldFailures    = 2
	// maxConsecutiveFailures is the number of consecutive failures that stops the
	// new version, also before it has given recentAnswers answers.
	maxConsecutiveFailures = 6
	// maxCrashes bounds the crashes that are remembered; the oldest is dropped
	// first.
	maxCrashes = 16
)

// recentAnswerWindow is a ring buffer of the last answers of a version.
type recentAnswerWindow struct {
	failed              [recentAnswers]bool
	next                int
	count               int
	failures            int
	consecutiveFailures int
}

func (r *recentAnswerWindow) add(ok bool) {
	if r.count == recentAnswers && r.failed[r.next] {
		r.failures--
	}
	r.failed[r.next] = !ok
	r.next = (r.next + 1) % recentAnswers
	r.count = min(r.count+1, recentAnswers)
	r.consecutiveFailures++
	if ok {
		r.consecutiveFailures = 0
		return
	}
	r.failures++
}

// Evidence decides whether this instance stops using the new version of a move
// before control has decided. The zero Evidence has not stopped any version.
type Evidence struct {
	move    view.Move
	old     recentAnswerWindow
	new     recentAnswerWindow
	stopped bool
	crashes []Incarnation
}

// Incarnation identifies one run of a target, from its start to its exit.
type Incarnation struct {
	Target model.TargetID
	Boot   model.BootID
}

// Track resets the evidence when another move begins or the move is gone. It also
// resets it when a move that was taken back goes on, since an operator has then
// written the move again.
func (e *Evidence) Track(m view.Move, moving bool) {
	renewed := e.move.Reverted && !m.Reverted
	if !moving || renewed || m.From != e.move.From || m.To != e.move.To {
		*e = Evidence{}
	}
	e.move = m
}

// Add records an answer of a version. It returns a reason if this stops the new
// version, otherwise "". If the old version has more than maxOldFailures too, the
// fault is not attributed to the new version, and nothing is stopped.
func (e *Evidence) Add(m view.Move, v model.VersionID, ok bool) string {
	e.Track(m, true)
	switch v {
	case m.From:
		e.old.add(ok)
	case m.To:
		e.new.add(ok)
	}
	if e.stopped || v != m.To || ok || e.old.failures > maxOldFailures {
		return ""
	}
	if e.new.consecutiveFailures < maxConsecutiveFailures && e.new.failures < maxRecentFailures {
		return ""
	}
	e.stopped = true
	return fmt.Sprintf("%d of the last %d answers failed, %d of %d of version %s",
		e.new.failures, e.new.count, e.old.failures, e.old.count, m.From)
}

// AddCrash records a request that was lost when a target crashed. A crash loses
// all requests in flight at once, so it counts as one failure.
func (e *Evidence) AddCrash(m view.Move, v model.VersionID, crashed Incarnation) string {
	e.Track(m, true)
	if slices.Contains(e.crashes, crashed) {
		return ""
	}
	if len(e.crashes) == maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	e.crashes = append(e.crashes, crashed)
	return e.Add(m, v, false)
}

// Stopped reports whether this instance has stopped using a version.
func (e *Evidence) Stopped(v model.VersionID) bool { return e.stopped && v == e.move.To }

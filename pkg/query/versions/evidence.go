package versions

import (
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// recentAnswers is the length of the memory of each version.
	recentAnswers = 64
	// maxRecentFailures of the last recentAnswers stop the new version, if the old
	// one fails at most oldFailuresAllowed times.
	maxRecentFailures = 8
	maxOldFailures    = 2
	// maxConsecutiveFailures stops the new version before recentAnswers are there.
	maxConsecutiveFailures = 6
	// maxCrashes bounds the deaths that are remembered; the oldest goes first.
	maxCrashes = 16
)

// recentAnswerWindow remembers the last answers of a version, one bit each.
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

// Evidence decides whether this instance stops using the new version of a
// move before control has decided. The zero Evidence has stopped nothing.
type Evidence struct {
	move    view.Move
	old     recentAnswerWindow
	new     recentAnswerWindow
	stopped bool
	crashes []Incarnation
}

// Incarnation is one life of a target.
type Incarnation struct {
	Target model.TargetID
	Boot   model.BootID
}

// Track starts anew when another move begins or the move is gone. A move that
// was taken back and goes on again was written anew by an operator.
func (e *Evidence) Track(m view.Move, moving bool) {
	renewed := e.move.TakenBack && !m.TakenBack
	if !moving || renewed || m.From != e.move.From || m.To != e.move.To {
		*e = Evidence{}
	}
	e.move = m
}

// Add takes in an answer of a version. It returns a reason if the new version
// is stopped by it. A fault that the old version shows too is not the new
// version's, so nothing is stopped then.
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

// AddCrash takes in a request that was lost when a target died. All requests in
// flight are lost together, so one death counts as one failure.
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

// Stopped reports whether this instance stopped using a version.
func (e *Evidence) Stopped(v model.VersionID) bool { return e.stopped && v == e.move.To }

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
	// failuresToStop of the last recentAnswers stop the new version, if the old
	// one fails at most oldFailuresAllowed times.
	failuresToStop     = 8
	oldFailuresAllowed = 2
	// failuresInRow stops the new version before recentAnswers are there.
	failuresInRow = 6
	// maxDeaths bounds the deaths that are remembered; the oldest goes first.
	maxDeaths = 16
)

// recent remembers the last answers of a version, one bit each.
type recent struct {
	bits  [recentAnswers]bool
	next  int
	count int
	fails int
	row   int
}

func (r *recent) add(ok bool) {
	if r.count == recentAnswers && r.bits[r.next] {
		r.fails--
	}
	r.bits[r.next] = !ok
	r.next = (r.next + 1) % recentAnswers
	r.count = min(r.count+1, recentAnswers)
	r.row++
	if ok {
		r.row = 0
		return
	}
	r.fails++
}

// Evidence decides whether this instance stops using the new version of a
// move before control has decided. The zero Evidence has stopped nothing.
type Evidence struct {
	move    view.Move
	old     recent
	new     recent
	stopped bool
	deaths  []Incarnation
}

// Incarnation is one life of a target.
type Incarnation struct {
	Target model.TargetID
	Boot   model.BootID
}

// Follow starts anew when another move begins or the move is gone. A move that
// was taken back and goes on again was written anew by an operator.
func (e *Evidence) Follow(m view.Move, moving bool) {
	renewed := e.move.Reverted && !m.Reverted
	if !moving || renewed || m.From != e.move.From || m.To != e.move.To {
		*e = Evidence{}
	}
	e.move = m
}

// Add takes in an answer of a version. It returns a reason if the new version
// is stopped by it. A fault that the old version shows too is not the new
// version's, so nothing is stopped then.
func (e *Evidence) Add(m view.Move, v model.VersionID, ok bool) string {
	e.Follow(m, true)
	switch v {
	case m.From:
		e.old.add(ok)
	case m.To:
		e.new.add(ok)
	}
	if e.stopped || v != m.To || ok || e.old.fails > oldFailuresAllowed {
		return ""
	}
	if e.new.row < failuresInRow && e.new.fails < failuresToStop {
		return ""
	}
	e.stopped = true
	return fmt.Sprintf("%d of the last %d answers failed, %d of %d of version %s",
		e.new.fails, e.new.count, e.old.fails, e.old.count, m.From)
}

// AddDeath takes in a request that was lost when a target died. All requests in
// flight are lost together, so one death counts as one failure.
func (e *Evidence) AddDeath(m view.Move, v model.VersionID, died Incarnation) string {
	e.Follow(m, true)
	if slices.Contains(e.deaths, died) {
		return ""
	}
	if len(e.deaths) == maxDeaths {
		e.deaths = slices.Delete(e.deaths, 0, 1)
	}
	e.deaths = append(e.deaths, died)
	return e.Add(m, v, false)
}

// Stopped reports whether this instance stopped using a version.
func (e *Evidence) Stopped(v model.VersionID) bool { return e.stopped && v == e.move.To }

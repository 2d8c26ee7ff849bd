// Package driver runs the move controllers on the leader of the control group.
// It feeds them the reports of entries and proposes the steps they decide.
package driver

import (
	"context"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/view"
)

const (
	decisionInterval = 500 * time.Millisecond
	// proposeTimeout bounds the wait for a proposed step to be accepted.
	proposeTimeout = 3 * time.Second
)

// Clock returns the current time for a decision.
type Clock func() move.DecisionTime

// SystemClock returns a Clock whose monotonic origin is the time of the call.
func SystemClock() Clock {
	origin := time.Now()
	return func() move.DecisionTime {
		now := time.Now()
		return move.DecisionTime{Wall: now.Round(0), Monotonic: now.Sub(origin)}
	}
}

// Driver decides the steps of moves while this instance is the leader. A new leader
// starts from the replicated state and collects evidence again.
type Driver struct {
	leader control.Leader
	clock  Clock

	mu    sync.Mutex
	moves map[model.CollectionID]*activeMove
}

var _ control.EvidenceSink = (*Driver)(nil)

// activeMove is a move under way with its controller.
type activeMove struct {
	revision     model.Revision
	controller   *move.Controller
	holding      bool
	pastDeadline bool
}

// New returns a Driver. The caller must subscribe it to the evidence.
func New(leader control.Leader, clock Clock) *Driver {
	return &Driver{leader: leader, clock: clock, moves: make(map[model.CollectionID]*activeMove)}
}

// Run calls Tick periodically until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.Tick(ctx)
		}
	}
}

// Evidence passes a report of an entry to the controllers.
func (d *Driver) Evidence(from model.InstanceID, report view.Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.moves {
		m.controller.Observe(from, report)
	}
}

// Tick makes one decision for every move under way.
func (d *Driver) Tick(ctx context.Context) {
	if !d.leader.IsLeader() {
		d.dropControllers()
		return
	}
	states := d.leader.LocalMoves()
	d.pruneControllers(states)
	for _, s := range states {
		if s.Phase != move.PhaseUnderWay {
			continue
		}
		if step := d.decide(s); step != nil {
			d.propose(ctx, s, *step)
		}
	}
}

// dropControllers discards all controllers and their evidence after this instance
// has lost leadership.
func (d *Driver) dropControllers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.moves)
}

// pruneControllers removes the controllers of moves that have ended or restarted.
func (d *Driver) pruneControllers(states []move.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := make(map[model.CollectionID]model.Revision, len(states))
	for _, s := range states {
		if s.Phase == move.PhaseUnderWay {
			current[s.Rule.Collection] = s.Revision
		}
	}
	for c, m := range d.moves {
		if revision, ok := current[c]; !ok || revision != m.revision {
			delete(d.moves, c)
		}
	}
}

func (d *Driver) decide(s move.State) *move.Step {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.moves[s.Rule.Collection]
	if m == nil {
		m = &activeMove{revision: s.Revision, controller: move.NewController(s)}
		d.moves[s.Rule.Collection] = m
	}
	step, reason := m.controller.Decide(s, now)
	m.emitChanges(s, now, reason)
	return step
}

// emitChanges emits one event when the share starts to be held, and one when the
// move passes its deadline.
func (m *activeMove) emitChanges(s move.State, now move.DecisionTime, reason move.Reason) {
	hold := reason == move.ReasonGatheringEvidence
	if hold && !m.holding {
		events.Emit(events.MoveSuspended, s.Rule.Collection, reason)
	}
	m.holding = hold
	if now.Wall.After(s.Rule.By) && !m.pastDeadline {
		m.pastDeadline = true
		events.Emit(events.MoveLate, s.Rule.Collection, s.Rule.By, reason)
	}
}

func (d *Driver) propose(ctx context.Context, s move.State, step move.Step) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := d.leader.ProposeStep(ctx, step)
	switch {
	case err == nil:
		emitStep(s, step)
	case failure.RanOf(err) != failure.NotRun:
		events.Emit(events.MoveStepUncertain, s.Rule.Collection, err)
	}
}

// emitStep emits the event of an accepted step. A rejected step needs no event: the
// state or the leader has changed, and the next decision takes that into account.
func emitStep(s move.State, step move.Step) {
	r := s.Rule
	if s.Step == 0 {
		events.Emit(events.MoveStarted, r.Collection, r.From, r.To, r.By)
	}
	switch step.Phase {
	case move.PhaseDone:
		events.Emit(events.MoveFinished, r.Collection, r.To)
	case move.PhaseRolledBack:
		events.Emit(events.MoveRolledBack, r.Collection, r.To, step.Evidence)
	default:
		events.Emit(events.MoveAdvanced, r.Collection, step.Share)
	}
}

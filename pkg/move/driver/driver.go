// Package driver runs the controllers of moves on the leader of the control
// group: evidence of the entries in, steps of moves out.
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
	// interval is the time between decisions.
	interval = 500 * time.Millisecond
	// proposeTimeout bounds the wait for one step to be accepted.
	proposeTimeout = 3 * time.Second
)

// Clock gives the time of a decision.
type Clock func() move.Now

// SystemClock returns a Clock with the present as its monotonic origin.
func SystemClock() Clock {
	origin := time.Now()
	return func() move.Now {
		now := time.Now()
		return move.Now{Wall: now.Round(0), Monotonic: now.Sub(origin)}
	}
}

// Driver decides the moves while this instance leads. A new leader starts with
// the replicated steps and gathers evidence anew.
type Driver struct {
	leader control.Leader
	clock  Clock

	mu    sync.Mutex
	moves map[model.CollectionID]*running
}

var _ control.EvidenceSink = (*Driver)(nil)

// running is a move with its controller.
type running struct {
	revision   model.Revision
	controller *move.Controller
	suspended  bool
	late       bool
}

// New returns a Driver. The caller subscribes it to the evidence.
func New(leader control.Leader, clock Clock) *Driver {
	return &Driver{leader: leader, clock: clock, moves: make(map[model.CollectionID]*running)}
}

// Run decides until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
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

// Evidence hands what an entry reported to the controllers.
func (d *Driver) Evidence(from model.InstanceID, e view.Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.moves {
		m.controller.Observe(from, e)
	}
}

// Tick decides every move once.
func (d *Driver) Tick(ctx context.Context) {
	if !d.leader.IsLeader() {
		d.forget()
		return
	}
	states := d.leader.LocalMoves()
	d.keepOnly(states)
	for _, s := range states {
		if s.Phase != move.PhaseUnderWay {
			continue
		}
		if step := d.decide(s); step != nil {
			d.propose(ctx, s, *step)
		}
	}
}

// forget drops the evidence of a leader that was deposed.
func (d *Driver) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.moves)
}

// keepOnly drops the controllers of moves that have ended or begun anew.
func (d *Driver) keepOnly(states []move.State) {
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
		m = &running{revision: s.Revision, controller: move.NewController(s)}
		d.moves[s.Rule.Collection] = m
	}
	step, reason := m.controller.Decide(s, now)
	m.note(s, now, reason)
	return step
}

// note emits each change of the reason to wait once.
func (m *running) note(s move.State, now move.Now, reason move.Reason) {
	suspicious := reason == move.ReasonSuspicious
	if suspicious && !m.suspended {
		events.Emit(events.MoveSuspended, s.Rule.Collection, reason)
	}
	m.suspended = suspicious
	if now.Wall.After(s.Rule.By) && !m.late {
		m.late = true
		events.Emit(events.MoveLate, s.Rule.Collection, s.Rule.By, reason)
	}
}

func (d *Driver) propose(ctx context.Context, s move.State, step move.Step) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := d.leader.ProposeStep(ctx, step)
	switch {
	case err == nil:
		announce(s, step)
	case failure.RanOf(err) != failure.NotRun:
		events.Emit(events.MoveStepUncertain, s.Rule.Collection, err)
	}
}

// announce emits an accepted step. A refused one needs no event: the state has
// moved on or the leader has changed, and the next decision sees that.
func announce(s move.State, step move.Step) {
	r := s.Rule
	if s.Step == 0 {
		events.Emit(events.MoveStarted, r.Collection, r.From, r.To, r.By)
	}
	switch step.Phase {
	case move.PhaseDone:
		events.Emit(events.MoveFinished, r.Collection, r.To)
	case move.PhaseTakenBack:
		events.Emit(events.MoveRolledBack, r.Collection, r.To, step.Evidence)
	default:
		events.Emit(events.MoveAdvanced, r.Collection, step.Share)
	}
}

package state

import (
	"maps"
	"slices"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/view"
)

// updateMoves updates the moves to match the rules: an unchanged rule keeps its move,
// whatever its phase, and a new or changed rule starts one. Evidence of a new move
// holds its status, a text for operators, until the first step replaces it.
func (s *State) updateMoves(index uint64, change *control.Change) {
	next := make(map[model.CollectionID]move.State)
	for c, m := range s.data.Moves {
		if m.Requested {
			next[c] = m
		}
	}
	for _, r := range change.Rules.Rules {
		if r.Move == nil {
			continue
		}
		if m, ok := s.data.Moves[r.Move.Collection]; ok && m.Rule.Same(*r.Move) {
			next[r.Move.Collection] = m
			continue
		}
		next[r.Move.Collection] = move.State{
			// The comment of a rule names who requested it.
			Rule: *r.Move, Author: r.Comment, Revision: change.Revision,
			Phase: move.PhaseUnderWay, Started: change.At, SteppedAt: change.At,
			Evidence: "accepted, not begun",
		}
	}
	s.recordMoveChanges(index, s.data.Moves, next)
	s.data.Moves = next
}

// startMove starts a move that an operator requested. Its revision is the log index of
// the command, since no revision of the rules started it. A request for the version that
// the latest move of the service went to is treated as a resend, whatever the
// outcome of that move. A request is refused if it builds on another move than the
// latest one.
func (s *State) startMove(index uint64, request *StartMove) *Result {
	c := request.Move.Collection
	newest, known := s.data.Moves[c]
	if known && newest.Rule.To == request.Move.To {
		return &Result{}
	}
	if request.Call != "" && newest.Revision != request.Expected {
		return &Result{Refusal: refuse(failure.Conflict, "the call builds on revision %d; the newest move of %s has revision %d", request.Expected, c, newest.Revision)}
	}
	s.data.Moves[c] = move.State{
		Rule: request.Move, Revision: model.Revision(index), Phase: move.PhaseUnderWay, Requested: true,
		Started: request.At, SteppedAt: request.At, Evidence: "accepted, not begun",
	}
	s.recordChange(index, itemKey{kind: itemMove, name: string(c)})
	return &Result{}
}

// Move returns the move of a collection or service.
func (s *State) Move(c model.CollectionID) (move.State, bool) {
	m, ok := s.data.Moves[c]
	return m, ok
}

func (s *State) recordMoveChanges(index uint64, old, next map[model.CollectionID]move.State) {
	for c := range old {
		if _, ok := next[c]; !ok {
			s.recordChange(index, itemKey{kind: itemMove, name: string(c)})
		}
	}
	for c, m := range next {
		if before, ok := old[c]; !ok || before.Revision != m.Revision {
			s.recordChange(index, itemKey{kind: itemMove, name: string(c)})
		}
	}
}

// stepMove applies a step if it was decided on the current state of the move. A
// resend of the last step succeeds without a change.
func (s *State) stepMove(index uint64, step *move.Step) *Result {
	m, ok := s.data.Moves[step.Collection]
	if !ok || m.Revision != step.Revision {
		return &Result{Refusal: refuse(failure.Conflict, "%s has no move that revision %d started", step.Collection, step.Revision)}
	}
	if m.Step == step.Expect+1 && m.Phase == step.Phase && m.Share == step.Share && m.SteppedAt.Equal(step.At) {
		return &Result{}
	}
	if m.Step != step.Expect {
		return &Result{Refusal: refuse(failure.Conflict, "the move of %s is at step %d, not %d", step.Collection, m.Step, step.Expect)}
	}
	if m.Phase == move.PhaseRolledBack {
		// A move that an operator requested without a rule needs a new request instead.
		return &Result{Refusal: refuse(failure.Conflict, "the move of %s was taken back; it needs a new rule", step.Collection)}
	}
	m.Step++
	m.Phase, m.Share, m.SteppedAt, m.Evidence = step.Phase, step.Share, step.At, step.Evidence
	if m.Phase == move.PhaseRolledBack {
		m.Share = 0
	}
	s.data.Moves[step.Collection] = m
	s.recordChange(index, itemKey{kind: itemMove, name: string(step.Collection)})
	return &Result{}
}

// Moves returns the moves sorted by collection.
func (s *State) Moves() []move.State {
	moves := make([]move.State, 0, len(s.data.Moves))
	for _, c := range slices.Sorted(maps.Keys(s.data.Moves)) {
		moves = append(moves, s.data.Moves[c])
	}
	return moves
}

// moveForEntry returns the part of a move that entry instances need.
func moveForEntry(m move.State) view.Move {
	return view.Move{
		From: m.Rule.From, To: m.Rule.To, Share: m.Share, Reverted: m.Phase == move.PhaseRolledBack,
	}
}

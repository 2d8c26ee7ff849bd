// Package move decides the steps of a move, the gradual shift of traffic from one
// version to another. Decisions depend only on the state, the evidence and the
// time.
package move

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/rules"
)

// Phase is the progress of a move.
type Phase string

// Phases of a move.
const (
	PhaseUnderWay   Phase = "under way"
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "taken back"
)

// State is the replicated state of one move. A move is identified by its
// collection and the revision of the rules that started it.
type State struct {
	Rule rules.Move `json:"rule" cbor:"1,keyasint"`
	// Author is taken from the comment of the rule.
	Author string `json:"author" cbor:"2,keyasint"`
	// Revision is the revision of the rules that started the move. The move
	// continues while later revisions keep the rule unchanged; a move that was
	// rolled back stays rolled back until the line of its rule changes.
	Revision model.Revision `json:"revision" cbor:"3,keyasint"`
	Phase    Phase          `json:"phase" cbor:"4,keyasint"`
	// Share is the fraction of traffic sent to the new version, from 0 to 1.
	Share float64 `json:"share" cbor:"5,keyasint"`
	// Step counts the accepted steps; a command for a different step is rejected.
	Step int `json:"step" cbor:"6,keyasint"`
	// Started and SteppedAt are wall-clock times of the leader at that moment.
	Started   time.Time `json:"started" cbor:"7,keyasint"`
	SteppedAt time.Time `json:"steppedAt" cbor:"8,keyasint"`
	// Evidence explains the current share to operators.
	Evidence string `json:"evidence" cbor:"9,keyasint"`
	// Requested is set on a move of a single service that an operator requested
	// directly. It is not part of the rules and follows the plan for short moves.
	// Rule.Collection then holds the ID of the service.
	Requested bool `json:"ordered,omitempty" cbor:"10,keyasint,omitempty"`
}

// Step is a change proposed by the controller. It applies only to the move with
// the same collection and revision, and only if its State.Step equals Expect.
type Step struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Revision   model.Revision     `cbor:"2,keyasint"`
	Expect     int                `cbor:"3,keyasint"`
	Phase      Phase              `cbor:"4,keyasint"`
	Share      float64            `cbor:"5,keyasint"`
	At         time.Time          `cbor:"6,keyasint"`
	Evidence   string             `cbor:"7,keyasint"`
}

// Package move decides the steps of a move of traffic from one version to
// another. The decisions are pure functions of the state, the evidence and the
// time.
package move

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/rules"
)

// Phase is how far a move has come.
type Phase string

// Phases of a move.
const (
	PhaseUnderWay   Phase = "under way"
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "taken back"
)

// State is the replicated state of one move. It is identified by its
// collection and the revision of the rules that started it.
type State struct {
	Rule rules.Move `json:"rule" cbor:"1,keyasint"`
	// Author is the comment of the rule.
	Author string `json:"author" cbor:"2,keyasint"`
	// Revision is the configuration that started the move. The same rule kept
	// in later revisions continues the move; a taken-back move stays so until
	// its line changes.
	Revision model.Revision `json:"revision" cbor:"3,keyasint"`
	Phase    Phase          `json:"phase" cbor:"4,keyasint"`
	// Share is the part of traffic for the new version, from 0 to 1.
	Share float64 `json:"share" cbor:"5,keyasint"`
	// Step counts the changes of Share; a command for another step is refused.
	Step int `json:"step" cbor:"6,keyasint"`
	// Started and SteppedAt are wall times of the leader that made the step.
	Started   time.Time `json:"started" cbor:"7,keyasint"`
	SteppedAt time.Time `json:"steppedAt" cbor:"8,keyasint"`
	// Evidence says why the share is as it is, in words for operators.
	Evidence string `json:"evidence" cbor:"9,keyasint"`
	// Ordered is set on a move of one service that an operator ordered by
	// itself. It is no part of the rules, and follows a plan for short moves.
	Ordered bool `json:"ordered,omitempty" cbor:"10,keyasint,omitempty"`
}

// Step is a change that the controller proposes. It applies only to the move
// with the same collection and revision whose State.Step is Expect.
type Step struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Revision   model.Revision     `cbor:"2,keyasint"`
	Expect     int                `cbor:"3,keyasint"`
	Phase      Phase              `cbor:"4,keyasint"`
	Share      float64            `cbor:"5,keyasint"`
	At         time.Time          `cbor:"6,keyasint"`
	Evidence   string             `cbor:"7,keyasint"`
}

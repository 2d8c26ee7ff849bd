package replica

import (
	"context"

	"radishturn.example/radishturn/pkg/failure"
)

// outside is the Proposer of an instance without a data folder.
type outside struct{}

var _ Proposer = outside{}

func errOutside(step string) error {
	return failure.New(failure.NotLeader, failure.NotRun, step, "", "this instance has no data folder and is no control member")
}

// Propose refuses.
func (outside) Propose(context.Context, []byte) ([]byte, error) { return nil, errOutside("propose") }

// Status is empty.
func (outside) Status() Status { return Status{} }

// AddLearner refuses.
func (outside) AddLearner(context.Context, Member) error { return errOutside("add learner") }

// Replace refuses.
func (outside) Replace(context.Context, Member, Member) error { return errOutside("replace member") }

// Remove refuses.
func (outside) Remove(context.Context, Member) error { return errOutside("remove member") }

// IsLeader is false.
func (outside) IsLeader() bool { return false }

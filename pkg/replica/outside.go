package replica

import (
	"context"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
)

// outside is the Proposer of an instance without a data folder.
type outside struct{}

var _ Proposer = outside{}

func errOutside(step string) error {
	return failure.New(failure.NotLeader, failure.NotRun, step, "", "this instance has no data folder and is no control member")
}

// refuseDisk answers that this instance has no disk that could be a member.
func refuseDisk(self model.InstanceID) func(context.Context, model.InstanceID, *diskRequest) (*diskReply, error) {
	return func(context.Context, model.InstanceID, *diskRequest) (*diskReply, error) {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "ask for disk", string(self),
			"the instance has no data folder; give it one in its settings and restart it")
	}
}

// Propose refuses.
func (outside) Propose(context.Context, []byte) ([]byte, error) { return nil, errOutside("propose") }

// Status is empty.
func (outside) Status() Status { return Status{} }

// AddLearner refuses.
func (outside) AddLearner(context.Context, Member) error { return errOutside("add learner") }

// Promote refuses.
func (outside) Promote(context.Context, Member) error { return errOutside("promote member") }

// Replace refuses.
func (outside) Replace(context.Context, Member, Member) error { return errOutside("replace member") }

// Remove refuses.
func (outside) Remove(context.Context, Member) error { return errOutside("remove member") }

// IsLeader is false.
func (outside) IsLeader() bool { return false }

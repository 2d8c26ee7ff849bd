package replica

import (
	"context"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
)

// noDisk is the Group of an instance without a data folder.
type noDisk struct{}

var _ Group = noDisk{}

func errNoDisk(step string) error {
	return failure.New(failure.NotLeader, failure.NotRun, step, "", "this instance has no data folder and is not a control member")
}

// rejectDiskRequest returns a handler that fails, because an instance without a
// data folder cannot be a member.
func rejectDiskRequest(self model.InstanceID) func(context.Context, model.InstanceID, *diskRequest) (*diskReply, error) {
	return func(context.Context, model.InstanceID, *diskRequest) (*diskReply, error) {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "ask for disk", string(self),
			"the instance has no data folder; give it one in its settings and restart it")
	}
}

// Propose returns an error.
func (noDisk) Propose(context.Context, []byte) ([]byte, error) { return nil, errNoDisk("propose") }

// Status returns an empty status.
func (noDisk) Status() Status { return Status{} }

// AddLearner returns an error.
func (noDisk) AddLearner(context.Context, Member) error { return errNoDisk("add learner") }

// Promote returns an error.
func (noDisk) Promote(context.Context, Member) error { return errNoDisk("promote member") }

// Replace returns an error.
func (noDisk) Replace(context.Context, Member, Member) error { return errNoDisk("replace member") }

// ReplaceByLearner returns an error.
func (noDisk) ReplaceByLearner(context.Context, Member, Member) error {
	return errNoDisk("replace member")
}

// Remove returns an error.
func (noDisk) Remove(context.Context, Member) error { return errNoDisk("remove member") }

// IsLeader returns false.
func (noDisk) IsLeader() bool { return false }

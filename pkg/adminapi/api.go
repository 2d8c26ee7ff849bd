package adminapi

import (
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/view"
)

// Status is the reply to GET /admin/v1/status.
type Status struct {
	Instance         model.InstanceID         `json:"instance"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Version          string                   `json:"version"`
	Lease            view.LeaseState          `json:"lease"`
	// LeaseLeftMs is the remaining time of the lease in milliseconds.
	LeaseLeftMs int64 `json:"leaseLeftMs"`
	// Revision is the revision of the rules in force at this instance.
	Revision  model.Revision   `json:"revision"`
	Instances []model.Instance `json:"instances"`
	// ZonesOut and Drained are the zones and targets that rules take out of service.
	ZonesOut []model.AvailabilityZoneID `json:"zonesOut"`
	Drained  []model.TargetID           `json:"drained"`
}

// AddMemberRequest is the body of POST /admin/v1/members.
type AddMemberRequest struct {
	Instance model.InstanceID `json:"instance"`
}

// ReplaceMemberRequest is the body of POST /admin/v1/members/replace.
type ReplaceMemberRequest struct {
	Old  replica.Member   `json:"old"`
	Next model.InstanceID `json:"next"`
}

// RemoveMemberRequest is the body of POST /admin/v1/members/remove.
type RemoveMemberRequest struct {
	Member replica.Member `json:"member"`
}

// CheckRequest is the body of POST /admin/v1/rules/check.
type CheckRequest struct {
	Text string `json:"text"`
}

// CheckReply holds the mistakes in the rules or, if there are none, the changes
// that they would make.
type CheckReply struct {
	Mistakes []rules.Diagnostic `json:"mistakes"`
	// Base is the revision against which Differences are computed.
	Base        model.Revision     `json:"base"`
	Differences []rules.Difference `json:"differences"`
}

// ApplyRequest is the body of POST /admin/v1/rules. The author is taken from the
// operator's client certificate.
type ApplyRequest struct {
	Base model.Revision `json:"base"`
	Text string         `json:"text"`
}

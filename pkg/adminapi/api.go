package adminapi

import (
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/view"
)

// Status is the reply to GET /admin/v1/status.
type Status struct {
	Instance         model.InstanceID         `json:"instance"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Version          string                   `json:"version"`
	Lease            view.LeaseState          `json:"lease"`
	// LeaseLeftMs is in milliseconds.
	LeaseLeftMs int64                      `json:"leaseLeftMs"`
	Revision    model.Revision             `json:"revision"`
	Instances   []model.Instance           `json:"instances"`
	ZonesOut    []model.AvailabilityZoneID `json:"zonesOut"`
	Drained     []model.TargetID           `json:"drained"`
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

// ApplyRequest is the body of POST /admin/v1/rules. The author is the holder
// of the operator's certificate.
type ApplyRequest struct {
	Base model.Revision `json:"base"`
	Text string         `json:"text"`
}

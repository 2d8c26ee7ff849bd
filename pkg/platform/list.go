// Package platform reads the platform's list of instances, targets and
// snapshots. The list lags behind the truth, so what was seen on requests
// outranks it.
package platform

import "radishturn.example/radishturn/pkg/model"

// ListPath is the path of the list at the platform's address.
const ListPath = "/v1/list"

// List is the platform's view of the fleet.
type List struct {
	// Sequence grows with each change of the list.
	Sequence  uint64           `json:"sequence"`
	Instances []ListedInstance `json:"instances"`
	Targets   []model.Target   `json:"targets"`
	Snapshots []model.Snapshot `json:"snapshots"`
}

// ListedInstance is an instance as the platform lists it.
type ListedInstance struct {
	ID               model.InstanceID         `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Leaving          bool                     `json:"leaving"`
}

// Source gives the newest list that was read.
type Source interface {
	// List returns the newest list, or nil before the first one was read. The
	// result is shared and must not be changed.
	List() *List
}

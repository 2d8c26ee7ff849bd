// Package platform reads the platform's list of instances, targets and
// snapshots. The list lags behind the actual state, so observations made on
// requests take precedence over it. Standalone instances use this package;
// platform/instances is its counterpart for the roles entry and control.
package platform

import "radishturn.example/radishturn/pkg/model"

// ListPath is the path of the list at the platform's address.
const ListPath = "/v1/list"

// List is the state of the fleet as the platform reports it.
type List struct {
	// Sequence increases with each newer list. In the roles entry and control it is
	// the number of the read, even if the list is unchanged.
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

// Source provides the newest list.
type Source interface {
	// List returns the newest list, or nil before the first read. The result is
	// shared and must not be modified.
	List() *List
}

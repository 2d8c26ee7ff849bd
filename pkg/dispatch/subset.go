package dispatch

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// minConnectionLimit is the connection limit for a target outside this instance's
	// subset, and for targets whose service has no connection limit in the table.
	minConnectionLimit = 1
	// maxOnDemandIdle is the maximum idle time of a connection to a target outside
	// the subset.
	maxOnDemandIdle = 5 * time.Second
	// usableConnectionShare is the share of the connections a target accepts that the
	// fleet uses. The rest is for connections of instances that have ended, which
	// the target still counts.
	usableConnectionShare = 0.9
	// subsetConnectionShare is the share of the connections a target accepts that the
	// instances keep open. After a power loss a target still counts the connections
	// of instances that have ended, and resets new ones beyond its limit. As long as
	// the target accepts them, on-demand connections use the rest.
	subsetConnectionShare = 0.5
)

// subsetter divides the targets of a service among the instances.
type subsetter struct {
	view      *view.View
	instances int
	self      model.Instance
	// preceding are the instances with smaller ordinals, in order.
	preceding []model.Instance
}

func newSubsetter(v *view.View, self model.InstanceID, zone model.AvailabilityZoneID) subsetter {
	sub := subsetter{view: v, instances: max(1, len(v.Instances)), self: model.Instance{AvailabilityZone: zone}}
	for _, i := range v.Instances {
		if i.ID == self {
			sub.self.Ordinal = i.Ordinal
		}
	}
	for _, i := range v.Instances {
		if i.Ordinal < sub.self.Ordinal {
			sub.preceding = append(sub.preceding, i)
		}
	}
	slices.SortFunc(sub.preceding, func(a, b model.Instance) int { return cmp.Compare(a.Ordinal, b.Ordinal) })
	return sub
}

// coldInterval returns the minimum time between this instance's requests to a
// target; 0 unless the target is cold.
func (sub subsetter) coldInterval(t *target) time.Duration {
	if !t.Cold || sub.view.Routing == nil {
		return 0
	}
	s := sub.view.Routing.Service(t.Service)
	if s == nil {
		return 0
	}
	return coldInterval(s.ColdRate, t.ID, len(sub.preceding), sub.instances)
}

// subset returns this instance's own targets of a service and the connection limit
// for each. If a target accepts a connection from every instance, all targets are
// this instance's own. Otherwise targets are assigned in order of the instances'
// ordinals: each instance gets as many as the fleet has connections for, at least one,
// while there is room. Later instances get none and only connect on demand.
func (sub subsetter) subset(service model.ServiceID, targets []*target) (own []*target, limit int) {
	accepted := sub.acceptedConnections(service)
	if accepted == 0 {
		return targets, minConnectionLimit
	}
	kept := keptConnections(accepted)
	if sub.ownsAll(accepted) {
		return targets, max(1, kept/sub.instances)
	}
	count := sub.ownTargets(accepted, len(targets))
	room := make([]int, len(targets))
	for i := range room {
		room[i] = kept
	}
	offset := subsetOffset(service)
	for _, i := range sub.preceding {
		assignTargets(offset, i, targets, room, count)
	}
	for _, i := range assignTargets(offset, sub.self, targets, room, count) {
		own = append(own, targets[i])
	}
	return own, 1
}

// assignTargets assigns at most count targets that have room to an instance: first
// those of its availability zone, then the others. Both start at the position given
// by its ordinal plus offset. It returns their indexes.
func assignTargets(offset uint64, i model.Instance, targets []*target, room []int, count int) []int {
	var taken []int
	start := int((offset + i.Ordinal) % uint64(len(targets)))
	for _, sameZone := range []bool{true, false} {
		for k := range targets {
			at := (start + k) % len(targets)
			if len(taken) < count && room[at] > 0 && sameZone == (targets[at].AvailabilityZone == i.AvailabilityZone) {
				room[at]--
				taken = append(taken, at)
			}
		}
	}
	return taken
}

// subsetOffset returns the position from which a service's targets are assigned. It
// differs between services, so that instances spread over the targets.
func subsetOffset(service model.ServiceID) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return uint64(h.Sum32())
}

// onDemandIdle returns the idle timeout of an on-demand connection. It is shorter
// the more instances share the connections that the targets accept.
func (sub subsetter) onDemandIdle(service model.ServiceID, targets int) time.Duration {
	accepted := sub.acceptedConnections(service)
	if accepted == 0 {
		return maxOnDemandIdle
	}
	connectionsPerInstance := usableConnectionShare * float64(accepted*targets) / float64(sub.instances)
	return time.Duration(min(1, connectionsPerInstance) * float64(maxOnDemandIdle))
}

// minRestartShare is the least share of a service's connections that must be left for
// on-demand connections for these to be bounded by it. Below it a restart of the whole
// fleet does not fit anyway, and bounded ones would be opened for each request.
const minRestartShare = 0.1

// restartRoom returns how many idle on-demand connections to a service this instance may
// keep such that, after all processes have ended at once, the targets have room for the
// fleet's own connections beside all of those that they still count. It returns false if
// there is no such number.
func (sub subsetter) restartRoom(service model.ServiceID, targets int) (float64, bool) {
	accepted := sub.acceptedConnections(service)
	if accepted == 0 || sub.ownsAll(accepted) {
		return 0, false
	}
	own := min(sub.instances*sub.ownTargets(accepted, targets), keptConnections(accepted)*targets)
	left := accepted*targets - 2*own
	return float64(left) / float64(sub.instances), float64(left) >= minRestartShare*float64(accepted*targets)
}

// ownsAll reports whether a target that accepts so many connections accepts one from every
// instance, so that all targets are each instance's own.
func (sub subsetter) ownsAll(accepted int) bool {
	return int(usableConnectionShare*float64(accepted)) >= sub.instances
}

// keptConnections returns how many connections to a target the fleet keeps open.
func keptConnections(accepted int) int { return int(subsetConnectionShare * float64(accepted)) }

// ownTargets returns how many of a service's targets are an instance's own, while there
// is room.
func (sub subsetter) ownTargets(accepted, targets int) int {
	return max(1, keptConnections(accepted)*targets/sub.instances)
}

// acceptedConnections returns how many connections a target of the service accepts
// from the fleet; 0 if the routing table does not say.
func (sub subsetter) acceptedConnections(service model.ServiceID) int {
	if sub.view.Routing == nil {
		return 0
	}
	s := sub.view.Routing.Service(service)
	if s == nil {
		return 0
	}
	return s.Connections
}

// boundOnDemandIdle bounds the idle on-demand connections by what the services that routes
// name leave for them.
func (r *registry) boundOnDemandIdle(s subsetter, eligible map[model.ServiceID][]*target) {
	if s.view.Routing == nil {
		return
	}
	room := 0.0
	for service := range s.view.Routing.Table.RoutedServices() {
		if n := len(eligible[service]); n > 0 {
			if left, fits := s.restartRoom(service, n); fits {
				room += left
			}
		}
	}
	r.onDemandIdle.SetLimit(int(room))
}

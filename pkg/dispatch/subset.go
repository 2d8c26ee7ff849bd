package dispatch

import (
	"hash/fnv"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// spareConnections is the share of connections to a target that is not one
	// of this instance's own, and to targets of services that no table names.
	spareConnections = 1
	// spareIdle is how long a connection to such a target is kept without use.
	spareIdle = 2 * time.Second
	// connectionSafety leaves room for connections of processes that have ended
	// and that their targets still count.
	connectionSafety = 0.9
	// restartShare is the part of what a target accepts that the instances keep.
	// After a loss of power a target still counts the connections of the
	// processes before; new ones beyond its bound are reset. Borrowed connections
	// use the rest meanwhile.
	restartShare = 0.5
)

// crowd is what the division of targets among the instances follows from.
type crowd struct {
	view      *view.View
	instances int
	// local counts the instances in this availability zone.
	local   int
	zone    model.AvailabilityZoneID
	ordinal uint64
	// rank is the number of instances with smaller ordinals.
	rank int
}

func newCrowd(v *view.View, self model.InstanceID, zone model.AvailabilityZoneID) crowd {
	c := crowd{view: v, zone: zone, instances: max(1, len(v.Instances))}
	for _, i := range v.Instances {
		if i.AvailabilityZone == zone {
			c.local++
		}
		if i.ID == self {
			c.ordinal = i.Ordinal
		}
	}
	for _, i := range v.Instances {
		if i.Ordinal < c.ordinal {
			c.rank++
		}
	}
	return c
}

// coldGap returns the least time between this instance's requests to a target;
// 0 unless the target is cold.
func (c crowd) coldGap(t *target) time.Duration {
	if !t.Cold || c.view.Routing == nil {
		return 0
	}
	s := c.view.Routing.Service(t.Service)
	if s == nil {
		return 0
	}
	return coldGap(s.ColdRate, t.ID, c.rank, c.instances)
}

// subset returns this instance's own targets of a service and its share of
// connections to each. Where a target accepts a connection from every instance,
// all targets are its own. Otherwise each instance gets as many targets as keep
// every target within that share of its bound, one at least: first those of its
// availability zone, the rest in turns by ordinal, so that each target gets about
// the same number.
func (c crowd) subset(service model.ServiceID, targets []*target) (own []*target, share int) {
	accepted := c.accepted(service)
	if accepted == 0 {
		return targets, spareConnections
	}
	if accepted >= c.instances {
		return targets, max(1, int(restartShare*float64(accepted))/c.instances)
	}
	count := max(1, int(restartShare*float64(len(targets)*accepted))/c.instances)
	return c.rotate(service, targets, accepted)[:min(count, len(targets))], 1
}

// accepted is the number of connections that a target of the service accepts
// from the fleet; 0 if no table says.
func (c crowd) accepted(service model.ServiceID) int {
	if c.view.Routing == nil {
		return 0
	}
	s := c.view.Routing.Service(service)
	if s == nil {
		return 0
	}
	return int(connectionSafety * float64(s.Connections))
}

// rotate orders the targets by this instance's preference.
func (c crowd) rotate(service model.ServiceID, targets []*target, accepted int) []*target {
	near := func(t *target) bool { return t.AvailabilityZone == c.zone && c.local <= accepted }
	var ordered, far []*target
	for _, t := range targets {
		if near(t) {
			ordered = append(ordered, t)
		} else {
			far = append(far, t)
		}
	}
	if len(far) == 0 {
		return ordered
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	start := int((uint64(h.Sum32()) + c.ordinal) % uint64(len(far)))
	return slices.Concat(ordered, far[start:], far[:start])
}

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
	// spareConnections is the share of connections to a target that is not one
	// of this instance's own, and to targets of services that no table names.
	spareConnections = 1
	// spareIdle is how long a connection to such a target is kept without use at most.
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
	self      model.Instance
	// before are the instances with smaller ordinals, in their order.
	before []model.Instance
}

func newCrowd(v *view.View, self model.InstanceID, zone model.AvailabilityZoneID) crowd {
	c := crowd{view: v, instances: max(1, len(v.Instances)), self: model.Instance{AvailabilityZone: zone}}
	for _, i := range v.Instances {
		if i.ID == self {
			c.self.Ordinal = i.Ordinal
		}
	}
	for _, i := range v.Instances {
		if i.Ordinal < c.self.Ordinal {
			c.before = append(c.before, i)
		}
	}
	slices.SortFunc(c.before, func(a, b model.Instance) int { return cmp.Compare(a.Ordinal, b.Ordinal) })
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
	return coldGap(s.ColdRate, t.ID, len(c.before), c.instances)
}

// subset returns this instance's own targets of a service and its share of
// connections to each. Where a target accepts a connection from every instance,
// all targets are its own. Otherwise the instances take turns by ordinal: each
// gets as many targets as the fleet has connections for, one at least, while
// there is room. Instances that come later own none and only borrow.
func (c crowd) subset(service model.ServiceID, targets []*target) (own []*target, share int) {
	accepted := c.accepted(service)
	if accepted == 0 {
		return targets, spareConnections
	}
	kept := int(restartShare * float64(accepted))
	if int(connectionSafety*float64(accepted)) >= c.instances {
		return targets, max(1, kept/c.instances)
	}
	count := max(1, kept*len(targets)/c.instances)
	room := make([]int, len(targets))
	for i := range room {
		room[i] = kept
	}
	first := firstPlace(service)
	for _, i := range c.before {
		takeTurn(first, i, targets, room, count)
	}
	for _, i := range takeTurn(first, c.self, targets, room, count) {
		own = append(own, targets[i])
	}
	return own, 1
}

// takeTurn gives an instance targets that have room, at most count: first those
// of its availability zone, then the others, from the place that its ordinal
// names, counted from first. It returns their indexes.
func takeTurn(first uint64, i model.Instance, targets []*target, room []int, count int) []int {
	var taken []int
	start := int((first + i.Ordinal) % uint64(len(targets)))
	for _, near := range []bool{true, false} {
		for k := range targets {
			at := (start + k) % len(targets)
			if len(taken) < count && room[at] > 0 && near == (targets[at].AvailabilityZone == i.AvailabilityZone) {
				room[at]--
				taken = append(taken, at)
			}
		}
	}
	return taken
}

// firstPlace spreads the instances over the targets, for each service from
// another one.
func firstPlace(service model.ServiceID) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return uint64(h.Sum32())
}

// borrowTime is how long a borrowed connection is kept without use: the shorter,
// the more instances share the connections that the targets accept.
func (c crowd) borrowTime(service model.ServiceID, targets int) time.Duration {
	accepted := c.accepted(service)
	if accepted == 0 {
		return spareIdle
	}
	share := connectionSafety * float64(accepted*targets) / float64(c.instances)
	return time.Duration(min(1, share) * float64(spareIdle))
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
	return s.Connections
}

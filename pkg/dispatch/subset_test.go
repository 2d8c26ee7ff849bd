package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// viewOf returns a view with the given number of instances per availability zone
// and one service.
func viewOf(perZone map[model.AvailabilityZoneID]int, connections int) *view.View {
	v := &view.View{Routing: routing.NewIndex(&routing.Table{
		Services: []routing.Service{{Name: "s", Connections: connections}},
	})}
	for _, zone := range []model.AvailabilityZoneID{"a", "b", "c", "d", "e"} {
		for range perZone[zone] {
			n := uint64(len(v.Instances) + 1)
			v.Instances = append(v.Instances, model.Instance{
				ID: model.InstanceID(fmt.Sprint(n)), AvailabilityZone: zone, Ordinal: n,
			})
		}
	}
	return v
}

func targetsIn(zones ...model.AvailabilityZoneID) []*target {
	var targets []*target
	for i, z := range zones {
		targets = append(targets, &target{Target: model.Target{ID: model.TargetID(fmt.Sprint(i)), Service: "s", AvailabilityZone: z}})
	}
	return targets
}

// connectionsByTarget returns the number of connections to each target if all
// instances open as many as their limits allow.
func connectionsByTarget(v *view.View, targets []*target) map[model.TargetID]int {
	connections := make(map[model.TargetID]int)
	for _, i := range v.Instances {
		own, limit := newSubsetter(v, i.ID, i.AvailabilityZone).subset("s", targets)
		for _, t := range own {
			connections[t.ID] += limit
		}
	}
	return connections
}

func idsOf(targets []*target) []model.TargetID {
	var ids []model.TargetID
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

var _ = Describe("choose", func() {
	const usual = 20 * time.Millisecond

	// registryWith returns the registry of an instance whose subset is one of three
	// targets, with the given slowness.
	registryWith := func(slowness float64) (*registry, *registryState) {
		v := viewOf(map[model.AvailabilityZoneID]int{"a": 26, "b": 30, "c": 22}, 61)
		set := &catalog.Set{Targets: make(map[model.TargetID]model.Target)}
		for _, t := range targetsIn("a", "b", "c") {
			set.Targets[t.ID] = t.Target
		}
		v.Catalog = set
		r := newRegistry(v.Instances[0].ID, "a", pool.Shared{})
		state := r.stateOf(func() *view.View { return v })
		for _, t := range state.services["s"].own {
			t.health.slowness = slowness
		}
		return r, state
	}

	It("prefers its own targets while they perform well", func() {
		r, state := registryWith(1)
		Expect(r.choose(state, selection{service: "s", usual: usual}).target).To(Equal(state.services["s"].own[0]))
	})

	It("avoids a target that the fleet reports as expensive", func() {
		r, state := registryWith(1)
		own := state.services["s"].own[0]
		chosen := r.choose(state, selection{service: "s", usual: usual, fleetCosts: map[model.TargetID]float64{own.ID: 8}}).target
		Expect(chosen).NotTo(Equal(own))
	})

	// With 15% of the targets slow, both targets of an instance's subset are slow for
	// about 2% of the shards. Together with shards that are missing for other reasons,
	// that is more than a query may miss.
	It("connects to a target outside its subset on demand while its own are slow", func() {
		r, state := registryWith(8)
		Expect(state.services["s"].onDemand).To(ContainElement(r.choose(state, selection{service: "s", usual: usual}).target))
	})
})

// Load pattern: 195 instances get a query each four seconds at random times. Those
// without a connection of their own open one for each shard, which takes a slot of the
// target.
var _ = Describe("A connection on demand", func() {
	It("is used again by most queries of a large fleet, within what the targets accept", func() {
		const (
			instances, connections = 195, 120
			meanInterval           = 4 * time.Second
			queries                = 20000
		)
		v := viewOf(map[model.AvailabilityZoneID]int{"a": 39, "b": 39, "c": 39, "d": 39, "e": 39}, connections)
		idle := newSubsetter(v, v.Instances[instances-1].ID, "e").onDemandIdle("s", 2)
		random := rand.New(rand.NewPCG(1, 1))
		reused, open := 0, time.Duration(0)
		for range queries {
			interval := time.Duration(random.ExpFloat64() * float64(meanInterval))
			if interval < idle {
				reused++
			}
			open += min(interval, idle)
		}
		Expect(float64(reused) / queries).To(BeNumerically(">", 0.5))
		// Half of what the two targets accept is for the connections that are kept.
		withoutOwn := float64(instances) - subsetConnectionShare*2*connections
		kept := withoutOwn * float64(open) / float64(queries*meanInterval)
		Expect(kept).To(BeNumerically("<", (usableConnectionShare-subsetConnectionShare)*2*connections))
	})
})

var _ = Describe("A cold target", func() {
	// When the targets of an availability zone return cold, every instance sends to
	// them at once.
	DescribeTable("gets no more requests from the fleet than its cold rate in any second", func(instances int, rate float64) {
		var sent []time.Duration
		processes := make([]*process, instances)
		for position := range processes {
			processes[position] = &process{}
			processes[position].setColdInterval(coldInterval(rate, "i-1", position, instances))
		}
		for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
			for _, p := range processes {
				if t := (&target{process: p}); t.begin(now, time.Millisecond) {
					sent = append(sent, now)
				}
			}
		}
		Expect(sent).NotTo(BeEmpty())
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					n++
				}
			}
			Expect(float64(n)).To(BeNumerically("<=", max(1, rate)))
		}
	},
		Entry("6 instances, 20 a second", 6, 20.0),
		Entry("6 instances, 3 a second", 6, 3.0),
		Entry("78 instances, 10 a second", 78, 10.0),
		Entry("78 instances, 0.5 a second", 78, 0.5),
		Entry("one instance, 4 a second", 1, 4.0),
	)

	It("is not limited once it is warm, or if the service has no cold rate", func() {
		v := viewOf(map[model.AvailabilityZoneID]int{"a": 3}, 61)
		v.Routing = routing.NewIndex(&routing.Table{Services: []routing.Service{{Name: "s", Connections: 20, ColdRate: 2}, {Name: "t"}}})
		c := newSubsetter(v, "1", "a")
		targetOf := func(s model.ServiceID, cold bool) *target {
			return &target{Target: model.Target{ID: "i", Service: s, Cold: cold}}
		}
		Expect(c.coldInterval(targetOf("s", true))).NotTo(BeZero())
		Expect(c.coldInterval(targetOf("s", false))).To(BeZero())
		Expect(c.coldInterval(targetOf("t", true))).To(BeZero())
	})
})

var _ = Describe("subset", func() {
	// After a power loss each target still counts the connections that the instances
	// had before it.
	DescribeTable("uses half of the connections a target accepts and gives every instance a target while there is room",
		func(perZone map[model.AvailabilityZoneID]int, connections int, zones ...model.AvailabilityZoneID) {
			v, targets := viewOf(perZone, connections), targetsIn(zones...)
			for id, n := range connectionsByTarget(v, targets) {
				Expect(n).To(BeNumerically("<=", connections/2), "target %s", id)
			}
			owners, room := 0, len(targets)*int(subsetConnectionShare*float64(connections))
			for _, i := range v.Instances {
				own, _ := newSubsetter(v, i.ID, i.AvailabilityZone).subset("s", targets)
				owners += min(1, len(own))
			}
			Expect(owners).To(Equal(min(len(v.Instances), room)))
		},
		Entry("6 instances, 2 targets", map[model.AvailabilityZoneID]int{"a": 2, "b": 3, "c": 1}, 30,
			model.AvailabilityZoneID("a"), model.AvailabilityZoneID("b")),
		Entry("78 instances, 3 targets", map[model.AvailabilityZoneID]int{"a": 26, "b": 30, "c": 22}, 61,
			model.AvailabilityZoneID("a"), model.AvailabilityZoneID("b"), model.AvailabilityZoneID("c")),
		Entry("62 instances, 3 targets", map[model.AvailabilityZoneID]int{"a": 12, "b": 11, "c": 14, "d": 12, "e": 13}, 53,
			model.AvailabilityZoneID("a"), model.AvailabilityZoneID("c"), model.AvailabilityZoneID("e")),
		Entry("more instances than connections to all targets", map[model.AvailabilityZoneID]int{"a": 98, "b": 98, "c": 98}, 61,
			model.AvailabilityZoneID("a"), model.AvailabilityZoneID("b"), model.AvailabilityZoneID("c")),
		Entry("an availability zone without a target", map[model.AvailabilityZoneID]int{"a": 50, "b": 50, "c": 50}, 61,
			model.AvailabilityZoneID("a"), model.AvailabilityZoneID("b")),
		Entry("one target", map[model.AvailabilityZoneID]int{"a": 20, "b": 20}, 10, model.AvailabilityZoneID("a")),
	)

	It("keeps idle on-demand connections for a shorter time if more instances share them", func() {
		few := newSubsetter(viewOf(map[model.AvailabilityZoneID]int{"a": 78}, 61), "1", "a")
		many := newSubsetter(viewOf(map[model.AvailabilityZoneID]int{"a": 294}, 61), "1", "a")
		Expect(few.onDemandIdle("s", 3)).To(Equal(maxOnDemandIdle))
		Expect(many.onDemandIdle("s", 3)).To(And(BeNumerically(">", maxOnDemandIdle/4), BeNumerically("<", maxOnDemandIdle)))
	})

	It("includes the target in an instance's availability zone in its subset", func() {
		v, targets := viewOf(map[model.AvailabilityZoneID]int{"a": 26, "b": 30, "c": 22}, 61), targetsIn("a", "b", "c")
		for _, i := range v.Instances {
			own, _ := newSubsetter(v, i.ID, i.AvailabilityZone).subset("s", targets)
			Expect(own[0].AvailabilityZone).To(Equal(i.AvailabilityZone))
		}
	})

	// One instance leaves and another joins between two views, so that their number
	// stays the same.
	It("changes with the set of instances, not only with their number", func() {
		perZone := map[model.AvailabilityZoneID]int{"a": 26, "b": 30, "c": 22}
		before, after := viewOf(perZone, 61), viewOf(perZone, 61)
		set := &catalog.Set{Targets: make(map[model.TargetID]model.Target)}
		for _, t := range targetsIn("a", "b", "c") {
			set.Targets[t.ID] = t.Target
		}
		self := after.Instances[0].ID
		after.Instances[0].Ordinal = 80
		before.Catalog, after.Catalog, after.Routing = set, set, before.Routing
		// The instance's availability zone has no target of the service.
		r := newRegistry(self, "d", pool.Shared{})
		Expect(idsOf(r.stateOf(func() *view.View { return before }).services["s"].own)).NotTo(Equal(idsOf(r.stateOf(func() *view.View { return after }).services["s"].own)))
	})

	It("does not change the subsets of other instances when an instance joins", func() {
		v, targets := viewOf(map[model.AvailabilityZoneID]int{"a": 26, "b": 30, "c": 22}, 61), targetsIn("a", "b", "c")
		more := *v
		more.Instances = append(append([]model.Instance(nil), v.Instances...), model.Instance{ID: "new", AvailabilityZone: "a", Ordinal: 79})
		for _, i := range v.Instances {
			before, _ := newSubsetter(v, i.ID, i.AvailabilityZone).subset("s", targets)
			after, _ := newSubsetter(&more, i.ID, i.AvailabilityZone).subset("s", targets)
			Expect(after).To(Equal(before))
		}
	})
})

// Guards against a restart of the whole fleet after which targets still count so many
// connections of the processes before that they reset those of the new ones.
var _ = Describe("The idle on-demand connections of a fleet", func() {
	It("leave room for its own connections, once those of ended processes and once new ones", func() {
		for instances := 1; instances <= 200; instances++ {
			for _, accepted := range []int{20, 53, 61, 120} {
				v := viewOf(map[model.AvailabilityZoneID]int{"a": (instances + 2) / 3, "b": (instances + 1) / 3, "c": instances / 3}, accepted)
				targets := targetsIn("a", "b", "c")
				room, fits := newSubsetter(v, "1", "a").restartRoom("s", len(targets))
				if !fits {
					continue
				}
				own := 0
				for _, i := range v.Instances {
					subset, limit := newSubsetter(v, i.ID, i.AvailabilityZone).subset("s", targets)
					own += len(subset) * limit
				}
				Expect(2*float64(own)+float64(instances)*room).To(BeNumerically("<=", accepted*len(targets)), "%d instances, %d connections", instances, accepted)
			}
		}
	})

	It("are not bounded where a restart does not fit anyway", func() {
		v := viewOf(map[model.AvailabilityZoneID]int{"a": 65, "b": 65, "c": 65}, 61)
		_, fits := newSubsetter(v, "1", "a").restartRoom("s", 3)
		Expect(fits).To(BeFalse())
	})
})

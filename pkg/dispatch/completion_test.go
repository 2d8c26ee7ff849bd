package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

var _ = Describe("The choice by expected completion", func() {
	const ms = time.Millisecond
	now := time.Minute
	pacedTarget := func(id model.TargetID, zone model.AvailabilityZoneID, l exchange.Load) *target {
		t := &target{Target: model.Target{ID: id, AvailabilityZone: zone}, process: &process{}}
		l.Known, l.MaxRunning = true, 2
		t.health.loadReported(now, l)
		return t
	}
	choose := func(work time.Duration, further bool, targets ...*target) model.TargetID {
		r := newRegistry("e", "a", pool.Shared{})
		var c chooser
		for _, t := range targets {
			if p, ok := r.price(t, selection{now: now, usual: work, work: work, further: further}, pool.Idle); ok {
				c.consider(t, p)
			}
		}
		return c.choice().ID
	}

	// Guards against all instances sending to the one target that a report favours.
	It("spreads 78 instances with the same report over the targets", func() {
		count := make(map[model.TargetID]int)
		for range 78 {
			count[choose(20*ms, false, pacedTarget("x", "a", exchange.Load{Pace: 0.9}), pacedTarget("y", "a", exchange.Load{Pace: 1}),
				pacedTarget("z", "a", exchange.Load{Pace: 1}))]++
		}
		Expect(count).To(And(HaveKeyWithValue(model.TargetID("x"), BeNumerically("<", 60)), HaveKey(model.TargetID("y")), HaveKey(model.TargetID("z"))))
	})

	DescribeTable("uses another zone only while the request would finish earlier there", func(work time.Duration, near, far exchange.Load, want string) {
		Expect(choose(work, true, pacedTarget("near", "a", near), pacedTarget("far", "b", far))).To(BeEquivalentTo(want))
	},
		Entry("equal", 20*ms, exchange.Load{Pace: 1}, exchange.Load{Pace: 1}, "near"),
		Entry("slower near, long work", 20*ms, exchange.Load{Pace: 1.3}, exchange.Load{Pace: 0.8}, "far"),
		Entry("slower near, short work", 5*ms, exchange.Load{Pace: 1.3}, exchange.Load{Pace: 0.8}, "near"),
		Entry("queue near", 20*ms, exchange.Load{Pace: 1, Running: 2, Waiting: 3}, exchange.Load{Pace: 1}, "far"),
		Entry("long call", 170*ms, exchange.Load{Pace: 1.1}, exchange.Load{Pace: 1}, "far"),
	)

	It("learns the delay to a zone, and does not hold it against the target", func() {
		e := New(Options{AvailabilityZone: "a"})
		near, far, stats := pacedTarget("n", "a", exchange.Load{Pace: 1}), pacedTarget("f", "b", exchange.Load{Pace: 1}), newRouteStats(100*ms)
		reply := pool.Result{Reply: &exchange.Reply{Status: 200, Signature: "s", Load: exchange.Load{Known: true, Pace: 1}}}
		for i := range 200 {
			at := now + time.Duration(i)*time.Second
			e.learnCompletion(stats, near, at, at-8*ms, true, reply)
			e.learnCompletion(stats, far, at, at-10*ms, true, reply)
		}
		Expect(e.registry.delays.of("b")).To(BeNumerically("~", 2*ms, ms))
		Expect(far.health.expected.Slowness(now + 200*time.Second)).To(BeNumerically("~", 1, 0.15))
	})
})

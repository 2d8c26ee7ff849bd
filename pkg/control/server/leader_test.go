package server_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/view"
)

// inForceBound is the time within which a change must be in force everywhere.
const inForceBound = 4 * time.Second

// inForceAfter returns the time until no instance lacks a revision, or over a
// minute if some still do.
func inForceAfter(g *WithT, fl *fleet, at int, revision model.Revision) time.Duration {
	started := time.Now()
	for {
		where, err := fl.instances[at].server.InForce(context.Background(), revision)
		g.Expect(err).NotTo(HaveOccurred())
		if len(where.Missing) == 0 || time.Since(started) > time.Minute {
			return time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func apply(g *WithT, fl *fleet, at int, base model.Revision, text string) *control.Change {
	change, err := fl.instances[at].server.ApplyRules(context.Background(), control.ApplyRequest{Base: base, Text: text, Author: "ana"})
	g.Expect(err).NotTo(HaveOccurred())
	return change
}

func TestChangeIsInForceWithinBound(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		apply(g, fl, 4, 0, zoneOut)
		g.Expect(inForceAfter(g, fl, 4, 1)).To(BeNumerically("<", 1500*time.Millisecond))
		fl.partition("entry-5", others(fl, "entry-5")...)
		apply(g, fl, 4, 1, "# nothing\n")
		g.Expect(inForceAfter(g, fl, 4, 2)).To(BeNumerically("<", inForceBound))
		g.Expect(fl.instances[5].lease.Lease()).To(Equal(view.LeaseCutOff))
		_, err := fl.instances[4].server.InForce(t.Context(), 3)
		g.Expect(failure.CodeOf(err)).To(Equal(failure.NotFound))
	})
}

func TestInstancesOfAMajorityThatLostControlAreReportedMissing(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		partitioned := []model.InstanceID{"entry-2", "entry-3", "entry-4", "entry-5"}
		for _, id := range partitioned {
			fl.partition(id, "entry-0", "entry-1")
		}
		apply(g, fl, 1, 0, zoneOut)
		time.Sleep(4 * settleTime)
		where, err := fl.instances[1].server.InForce(t.Context(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(where.Missing).To(ConsistOf(partitioned))
		for _, id := range partitioned {
			n := fl.instances[id[len(id)-1]-'0']
			g.Expect(n.lease.Lease()).To(Equal(view.LeaseControlLost), string(id))
		}
	})
}

func TestTwoDeathsQuarantineEverywhereWithinASecond(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		report := func(at int, target model.TargetID, trial bool) {
			death := view.TargetCrash{Target: target, Boot: "b", Suspects: []model.Fingerprint{7}, Trial: trial}
			fl.instances[at].lease.Report(view.Evidence{Crashes: []view.TargetCrash{death}})
		}
		report(3, fl.targets[0], false)
		time.Sleep(settleTime)
		g.Expect(fl.instances[4].lease.View().Quarantined).To(BeEmpty())
		report(4, fl.targets[1], true)
		time.Sleep(time.Second)
		for _, n := range fl.instances {
			g.Expect(n.lease.View().Quarantined).To(HaveKey(model.Fingerprint(7)), string(n.id))
		}
		list, err := fl.instances[5].server.Quarantined(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(ConsistOf(HaveField("Fingerprint", model.Fingerprint(7))))
		g.Expect(fl.instances[5].server.Lift(t.Context(), waitingCall(), 7, "ivo")).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(fl.instances[2].lease.View().Quarantined).To(BeEmpty())
	})
}

// sink counts the successful outcomes that the leader passes to its subscribers.
type sink struct{ ok atomic.Uint64 }

func (s *sink) Evidence(_ model.InstanceID, e view.Evidence) {
	for _, o := range e.Outcomes {
		s.ok.Add(o.OK)
	}
}

func TestEvidenceIsForwardedOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		total := &sink{}
		fl.instances[0].server.Subscribe(total)
		time.Sleep(settleTime)
		for i := range 40 {
			fl.instances[3+i%3].lease.Report(view.Evidence{Outcomes: []view.Outcome{{Collection: "shopfront", Version: "41", OK: 1}}})
			if i%10 == 5 {
				fl.partition("entry-4", "entry-0")
			}
			if i%10 == 9 {
				fl.heal()
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(settleTime)
		g.Expect(total.ok.Load()).To(BeEquivalentTo(40))
	})
}

func TestStepsOfAMoveReachEveryInstance(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		apply(g, fl, 5, 0, "move shopfront from 41 to 42 by 2026-12-05T05:00Z # Marko\n")
		step := move.Step{Collection: "shopfront", Revision: 1, Phase: move.PhaseUnderWay, Share: 0.05, At: time.Now()}
		g.Expect(failure.CodeOf(fl.instances[4].server.ProposeStep(t.Context(), step))).To(Equal(failure.NotLeader))
		g.Expect(fl.instances[0].server.ProposeStep(t.Context(), step)).To(Succeed())
		step.Share = 0.25
		g.Expect(failure.CodeOf(fl.instances[0].server.ProposeStep(t.Context(), step))).To(Equal(failure.Conflict))
		time.Sleep(time.Second)
		for _, n := range fl.instances {
			g.Expect(n.lease.View().Moves).To(HaveKeyWithValue(model.CollectionID("shopfront"), view.Move{From: "41", To: "42", Share: 0.05}))
		}
	})
}

func TestReleasedLeaseFreesItsGrantsAtOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		g.Expect(fl.instances[5].lease.Drain(t.Context())).To(Succeed())
		g.Expect(fl.instances[5].lease.Lease()).To(Equal(view.LeaseNone))
		time.Sleep(2 * time.Second)
		c, cold := fl.held(fl.targets[0])
		g.Expect(c).To(Equal(connections))
		g.Expect(cold).To(Equal(coldLoad))
		g.Expect(fl.instances[4].lease.View().Instances).To(HaveLen(instanceCount - 1))
	})
}

func TestColdLoadOfATargetGrowsAndFallsForAll(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		sign := []view.Incarnation{{Target: fl.targets[0], Boot: "b1"}}
		for range 8 {
			fl.instances[3].lease.Report(view.Evidence{Warm: sign})
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		_, cold := fl.held(fl.targets[0])
		g.Expect(cold).To(Equal(connections))
		fl.group.elect(instanceID(1))
		time.Sleep(settleTime)
		_, cold = fl.held(fl.targets[0])
		g.Expect(cold).To(Equal(connections), "a new leader keeps the cold loads")
		fl.instances[4].lease.Report(view.Evidence{Cold: sign})
		time.Sleep(time.Second)
		_, cold = fl.held(fl.targets[0])
		g.Expect(cold).To(BeNumerically("<=", coldLoad))
	})
}

func TestAllErrorsInRulesAreReported(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		_, err := fl.instances[3].server.ApplyRules(t.Context(), control.ApplyRequest{Text: "zone mars out # a\nshut x # a\n", Author: "ana"})
		g.Expect(failure.CodeOf(err)).To(Equal(failure.BadRequest))
		g.Expect(err).To(MatchError(And(ContainSubstring(`1:6: unknown availability zone "mars"`), ContainSubstring(`2:1: unknown rule "shut"`))))
		_, err = fl.instances[3].server.ApplyRules(t.Context(), control.ApplyRequest{Text: zoneOut})
		g.Expect(err).To(MatchError(ContainSubstring("author")))
	})
}

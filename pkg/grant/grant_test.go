package grant_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const target model.TargetID = "shopfront/svc-01/leaf-1/slot-1"

func instances(n int) []model.InstanceID {
	ids := make([]model.InstanceID, n)
	for i := range ids {
		ids[i] = model.InstanceID(fmt.Sprint("e", i))
	}
	return ids
}

func slotOf(leaf, slot int) model.TargetID {
	return model.NewTargetID("shopfront", model.LeafID{Service: "svc-01", Leaf: leaf}, slot)
}

func TestSharesUseTheWholeLimit(t *testing.T) {
	g := NewWithT(t)
	limit := grant.Limit{Connections: 30, ColdLoad: 2}
	for n := 1; n <= 40; n++ {
		for slot := range 4 {
			sum := view.Grant{}
			for _, s := range grant.Shares(slotOf(1, slot), limit, instances(n)) {
				sum.Connections += s.Connections
				sum.ColdLoad += s.ColdLoad
				g.Expect(s.ColdLoad).To(BeNumerically("<=", 2*s.Connections), "cold load without a connection")
			}
			g.Expect(sum).To(Equal(view.Grant(limit)))
		}
	}
}

func TestColdLoadGoesToInstancesWithConnections(t *testing.T) {
	g := NewWithT(t)
	for slot := range 4 {
		for _, s := range grant.Shares(slotOf(1, slot), grant.Limit{Connections: 5, ColdLoad: 2}, instances(40)) {
			g.Expect(s.Connections).To(Equal(1))
		}
	}
}

func TestRemovingAnInstanceMovesFewShares(t *testing.T) {
	g := NewWithT(t)
	limit := grant.Limit{Connections: 5}
	for leaf := range 100 {
		for slot := range 3 {
			before := grant.Shares(slotOf(leaf, slot), limit, instances(40))
			after := grant.Shares(slotOf(leaf, slot), limit, instances(39))
			moved := 0
			for id := range before {
				if _, ok := after[id]; !ok && id != "e39" {
					moved++
				}
			}
			g.Expect(moved).To(BeNumerically("<=", 1))
		}
	}
}

func TestSharesShrinkBeforeOthersGrow(t *testing.T) {
	g := NewWithT(t)
	l := grant.NewLedger()
	l.SetLimits(map[model.TargetID]grant.Limit{target: {Connections: 10}})
	l.Join("a")
	l.Rebalance()
	first := l.NextDelta("a")
	g.Expect(first.Changes).To(ConsistOf(grant.Entry{Target: target, Grant: view.Grant{Connections: 10}}))
	g.Expect(l.NextDelta("a")).To(Equal(first), "repeated until it is acknowledged")
	l.Acknowledge("a", first.Sequence)
	l.Join("b")
	l.Rebalance()
	g.Expect(l.NextDelta("b")).To(BeNil())
	reduction := l.NextDelta("a")
	g.Expect(l.NextDelta("b")).To(BeNil())
	l.Acknowledge("a", reduction.Sequence)
	g.Expect(l.NextDelta("b").Changes).To(ConsistOf(grant.Entry{Target: target, Grant: view.Grant{Connections: 5}}))
	g.Expect(l.MaxHeld(target).Connections).To(Equal(10))
	g.Expect(l.NextDelta("a")).To(BeNil())
}

func TestNoShareGrowsWhileHoldingsAreUnreported(t *testing.T) {
	g := NewWithT(t)
	l := grant.NewLedger()
	l.SetLimits(map[model.TargetID]grant.Limit{target: {Connections: 10}})
	l.AddUnreported("a")
	l.AddUnreported("b")
	l.SetReported("a", map[model.TargetID]view.Grant{target: {Connections: 5}})
	l.Join("c")
	l.Rebalance()
	g.Expect(l.NextDelta("c")).To(BeNil())
	l.Remove("b")
	l.Rebalance()
	g.Expect(l.NextDelta("c").Changes).To(ConsistOf(grant.Entry{Target: target, Grant: view.Grant{Connections: 5}}))
}

func TestGrantsOfARemovedTargetAreRevoked(t *testing.T) {
	g := NewWithT(t)
	l := grant.NewLedger()
	l.SetLimits(map[model.TargetID]grant.Limit{target: {Connections: 10}})
	l.Join("a")
	l.Rebalance()
	l.Acknowledge("a", l.NextDelta("a").Sequence)
	l.SetLimits(nil)
	d := l.NextDelta("a")
	g.Expect(d.Changes).To(ConsistOf(grant.Entry{Target: target}))
	g.Expect(l.MaxHeld(target).Connections).To(Equal(10))
	l.Acknowledge("a", d.Sequence)
	g.Expect(l.MaxHeld(target)).To(Equal(view.Grant{}))
}

func TestColdLoadGrowsOnEvidenceAndDropsAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := grant.NewWarmUp()
	at := func(d time.Duration) time.Duration { return time.Second + d }
	load := func() int { return w.ColdLoad(target, 2, 30) }
	g.Expect(load()).To(Equal(2))
	g.Expect(w.RecordSustainedLoad(at(0), target, "b1")).To(BeTrue())
	g.Expect(w.RecordSustainedLoad(at(10*time.Millisecond), target, "b1")).To(BeFalse(), "another instance reported the same")
	g.Expect(load()).To(Equal(4))
	for i := range 10 {
		w.RecordSustainedLoad(at(time.Duration(i+1)*time.Second), target, "b1")
	}
	g.Expect(load()).To(Equal(30))
	g.Expect(w.RecordSustainedLoad(at(time.Minute), target, "b2")).To(BeTrue(), "another incarnation")
	g.Expect(load()).To(Equal(2))
	w.RecordSustainedLoad(at(2*time.Minute), target, "b2")
	g.Expect(w.RecordCold(at(2*time.Minute), target, "b2")).To(BeTrue())
	g.Expect(load()).To(Equal(2))
	w.AssumeHeld(at(0), "other", 9, 2)
	g.Expect(w.ColdLoad("other", 2, 30)).To(Equal(16))
}

package server_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/view"
)

const zoneOut = "zone split-a out # Ana, floor rewiring\n"

func usable(s view.LeaseState) bool { return s == view.LeaseHeld || s == view.LeaseControlLost }

// settleTime is long enough for leases, grants and a change to reach all instances.
const settleTime = 5 * time.Second

func place(fl *fleet, i int, key, body string) (*order.Result, error) {
	r := order.Request{
		ID: "r", Collection: "shopfront", Caller: "bakery-1", IdempotencyKey: key,
		Deadline: time.Now().Add(10 * time.Second),
	}
	r.Body.Order = body
	return fl.instances[i].claims.Place(context.Background(), r)
}

func TestLeasesRulesAndOrdersAcrossFleet(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		for _, n := range fl.instances {
			g.Expect(n.lease.Lease()).To(Equal(view.LeaseHeld), string(n.id))
			g.Expect(n.lease.View().Instances).To(HaveLen(instanceCount))
		}
		for _, id := range fl.targets {
			c, cold := fl.held(id)
			g.Expect(c).To(Equal(connections))
			g.Expect(cold).To(Equal(coldLoad))
		}

		change, err := fl.instances[4].server.ApplyRules(t.Context(), control.ApplyRequest{Text: zoneOut, Author: "ana"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(change.Revision).To(Equal(model.Revision(1)))
		again, err := fl.instances[5].server.ApplyRules(t.Context(), control.ApplyRequest{Text: zoneOut, Author: "ana"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.At).To(BeTemporally("==", change.At))
		_, err = fl.instances[5].server.ApplyRules(t.Context(), control.ApplyRequest{Text: "# nothing\n", Author: "ivo"})
		g.Expect(failure.CodeOf(err)).To(Equal(failure.Conflict))
		g.Expect(err).To(MatchError(ContainSubstring("ana")))

		time.Sleep(settleTime)
		where, err := fl.instances[3].server.InForce(t.Context(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(where.Missing).To(BeEmpty())
		g.Expect(where.Acknowledged).To(HaveLen(instanceCount))
		g.Expect(fl.instances[2].lease.View().ZonesOut).To(HaveKey(model.AvailabilityZoneID("split-a")))

		first, err := place(fl, 3, "k-1", "two loaves")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first.Repeated).To(BeFalse())
		second, err := place(fl, 4, "k-1", "two loaves")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second).To(HaveField("Repeated", true))
		g.Expect(second.Confirmation).To(Equal(first.Confirmation))
		_, err = place(fl, 4, "k-1", "three loaves")
		g.Expect(failure.CodeOf(err)).To(Equal(failure.KeyReused))
		g.Expect(fl.dispatcher.count("k-1")).To(Equal(1))
	})
}

// others returns all instances except the given ones.
func others(fl *fleet, but ...model.InstanceID) []model.InstanceID {
	var ids []model.InstanceID
	for _, n := range fl.instances {
		if !slices.Contains(but, n.id) {
			ids = append(ids, n.id)
		}
	}
	return ids
}

func TestRelay(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		fl.partition("entry-5", "entry-0", "entry-1", "entry-2")
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(fl.instances[5].lease.Lease()).To(Equal(view.LeaseHeld))
		}
		_, err := place(fl, 5, "k-relay", "one loaf")
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestPartitionedInstanceIsCutOffAndRejoins(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		fl.partition("entry-5", others(fl, "entry-5")...)
		time.Sleep(settleTime)
		g.Expect(fl.instances[5].lease.Lease()).To(Equal(view.LeaseCutOff))
		_, err := fl.instances[3].server.ApplyRules(t.Context(), control.ApplyRequest{Text: zoneOut, Author: "ana"})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(settleTime)
		where, err := fl.instances[3].server.InForce(t.Context(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(where.Missing).To(BeEmpty())
		g.Expect(where.Acknowledged).To(HaveLen(instanceCount - 1))
		for _, id := range fl.targets {
			c, _ := fl.held(id)
			g.Expect(c).To(Equal(connections))
		}
		fl.heal()
		time.Sleep(settleTime)
		g.Expect(fl.instances[5].lease.Lease()).To(Equal(view.LeaseHeld))
		g.Expect(fl.instances[5].lease.View().ZonesOut).To(HaveLen(1))
		for _, id := range fl.targets {
			c, _ := fl.held(id)
			g.Expect(c).To(Equal(connections))
		}
	})
}

func TestQueriesContinueWithoutLeader(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		fl.group.elect("")
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range fl.instances {
				g.Expect(n.lease.Lease()).To(Satisfy(usable), string(n.id))
			}
		}
		g.Expect(fl.instances[4].lease.Lease()).To(Equal(view.LeaseControlLost))
		_, err := place(fl, 4, "k-lost", "one loaf")
		g.Expect(failure.CodeOf(err)).To(Equal(failure.LeaseExpired))
		g.Expect(fl.dispatcher.count("k-lost")).To(BeZero())
		fl.group.elect("entry-2")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, id := range fl.targets {
				c, cold := fl.held(id)
				g.Expect(c).To(BeNumerically("<=", connections))
				g.Expect(cold).To(BeNumerically("<=", coldLoad))
			}
		}
		for _, n := range fl.instances {
			g.Expect(n.lease.Lease()).To(Equal(view.LeaseHeld), string(n.id))
		}
		c, _ := fl.held(fl.targets[0])
		g.Expect(c).To(Equal(connections))
	})
}

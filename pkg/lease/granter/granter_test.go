package granter_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/lease/granter"
	"radishturn.example/radishturn/pkg/lease/table"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	duration = 2 * time.Second
	lifetime = 3 * time.Second
)

var (
	targets   = []model.TargetID{"c/s/leaf-1/slot-0", "c/s/leaf-1/slot-1", "c/s/leaf-2/slot-0"}
	instances = []model.InstanceID{"a", "b", "c"}
	limit     = grant.Limit{Connections: 10, ColdLoad: 2}
)

// shares returns what an instance holds in a fleet whose grants are stable.
func shares(id model.InstanceID) []grant.Entry {
	var held []grant.Entry
	for _, t := range targets {
		if g := grant.Shares(t, limit, instances)[id]; g != (view.Grant{}) {
			held = append(held, grant.Entry{Target: t, Grant: g})
		}
	}
	return held
}

func newLeader(limits bool) *granter.Granter {
	var known []table.KnownInstance
	for _, id := range instances {
		known = append(known, table.KnownInstance{Instance: id})
	}
	leader := granter.New("l", 2, 0, duration, lifetime, known)
	if limits {
		all := make(map[model.TargetID]grant.Limit)
		for _, t := range targets {
			all[t] = limit
		}
		leader.SetLimits(all)
	}
	return leader
}

// report lets an instance renew and report its holdings; it returns the reply.
func report(g *WithT, leader *granter.Granter, id model.InstanceID) *wire.RenewalReply {
	first, err := leader.Renew(1, &wire.Renewal{Instance: model.Instance{ID: id}, Boot: "b", Sequence: 7, Session: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Report).To(BeTrue())
	g.Expect(first.Grants).To(BeNil())
	second, err := leader.Renew(2, &wire.Renewal{
		Instance: model.Instance{ID: id}, Boot: "b", Sequence: 8, Session: first.Session, Reported: true, Held: shares(id),
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Report).To(BeFalse())
	return second
}

func TestANewLeaderKeepsAllReportedGrants(t *testing.T) {
	g := NewWithT(t)
	leader := newLeader(true)
	calls := 0
	leader.OnAllReported(func() { calls++ })
	for _, id := range instances {
		g.Expect(calls).To(Equal(0))
		g.Expect(report(g, leader, id).Grants).To(BeNil(), string(id))
	}
	g.Expect(calls).To(Equal(1))
	leader.Tick(3)
	g.Expect(renewAgain(g, leader, "a").Grants).To(BeNil())
}

func TestALeaderWithoutLimitsChangesNoGrants(t *testing.T) {
	g := NewWithT(t)
	leader := newLeader(false)
	for _, id := range instances {
		g.Expect(report(g, leader, id).Grants).To(BeNil(), string(id))
	}
	leader.Tick(3)
	g.Expect(renewAgain(g, leader, "a").Grants).To(BeNil())
}

// renewAgain renews once more after a report.
func renewAgain(g *WithT, leader *granter.Granter, id model.InstanceID) *wire.RenewalReply {
	reply, err := leader.Renew(4, &wire.Renewal{Instance: model.Instance{ID: id}, Boot: "b", Sequence: 9})
	g.Expect(err).NotTo(HaveOccurred())
	return reply
}

func TestAReleaseOfAnUnknownProcessFreesNoShare(t *testing.T) {
	g := NewWithT(t)
	leader := newLeader(true)
	for _, id := range instances {
		report(g, leader, id)
	}
	before := leader.MaxHeld(targets[0])
	leader.Return(3, "a", "earlier")
	g.Expect(leader.MaxHeld(targets[0])).To(Equal(before))

	next := newLeader(true)
	next.Return(1, "a", "earlier")
	// The lease of "a" may still be in use, so its share is not known yet.
	g.Expect(report(g, next, "b").Report).To(BeFalse())
	allReported := false
	next.OnAllReported(func() { allReported = true })
	report(g, next, "c")
	g.Expect(allReported).To(BeFalse())
}

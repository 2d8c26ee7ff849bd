package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

const (
	target  model.TargetID = "shopfront/svc-01/leaf-1/slot-1"
	started                = time.Second
)

// newLeasedHolder returns a holder with a lease and a grant, renewed at started.
func newLeasedHolder(g *WithT) *holder {
	h := newHolder(model.Instance{ID: "e1"}, "b", testDuration, testGrace)
	h.nextRenewal(started)
	g.Expect(h.applyReply(started, started, &wire.RenewalReply{Sequence: 1, Session: 7, Challenge: true})).To(BeTrue())
	h.nextRenewal(started)
	h.applyReply(started, started, &wire.RenewalReply{
		Sequence: 2, Session: 8,
		Delta:  &state.Delta{To: 5, Revision: 1, InstancesVersion: 5, Instances: []model.Instance{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}},
		Grants: &grant.Delta{Sequence: 1, Changes: []grant.Entry{{Target: target, Grant: view.Grant{Connections: 3}}}},
	})
	return h
}

func TestLeaseStartsWhenTheRenewalIsSent(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	h.nextRenewal(started + time.Second)
	h.applyReply(started+2500*time.Millisecond, started+time.Second, &wire.RenewalReply{Sequence: 3, Session: 8})
	g.Expect(h.times.state(started + 2999*time.Millisecond)).To(Equal(view.LeaseHeld))
	g.Expect(h.times.state(started + 3000*time.Millisecond)).To(Equal(view.LeaseControlLost))
	g.Expect(h.times.state(started + 4000*time.Millisecond)).To(Equal(view.LeaseCutOff))
}

func TestPausedProcessSeesItsLeaseExpired(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	published := h.times
	g.Expect(published.state(started + time.Minute)).To(Equal(view.LeaseCutOff))
	h.nextRenewal(started + time.Minute)
	g.Expect(h.view.Grants).To(BeEmpty())
}

func TestReplyAfterCutOffRestoresNoGrants(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	h.nextRenewal(started + 500*time.Millisecond)
	late := started + time.Minute
	h.applyReply(late, late, &wire.RenewalReply{Sequence: 3, Session: 8})
	g.Expect(h.times.state(late)).To(Equal(view.LeaseCutOff))
	g.Expect(h.view.Grants).To(BeEmpty())
	g.Expect(h.nextRenewal(late).Reset).To(BeTrue())
}

func TestHolderWithoutGrantsAppliesOnlyTheNewestReply(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(model.Instance{ID: "e1"}, "b", testDuration, testGrace)
	h.nextRenewal(started)
	h.nextRenewal(started)
	h.applyReply(started, started, &wire.RenewalReply{Sequence: 1, Session: 8, Grants: &grant.Delta{Sequence: 1, Changes: []grant.Entry{{Target: target, Grant: view.Grant{Connections: 3}}}}})
	g.Expect(h.view.Grants).To(BeEmpty())
	g.Expect(h.times.state(started)).To(Equal(view.LeaseNone))
}

func TestOldReplyAndOldDeltaChangeNothing(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	before := h.view
	h.applyReply(started, started, &wire.RenewalReply{Sequence: 1, Session: 9, Delta: &state.Delta{To: 9, Revision: 9}})
	h.nextRenewal(started)
	h.applyReply(started, started, &wire.RenewalReply{Sequence: 3, Session: 8, Delta: &state.Delta{From: 3, To: 9, Revision: 9}})
	h.nextRenewal(started)
	h.applyReply(started, started, &wire.RenewalReply{Sequence: 4, Session: 8, Delta: &state.Delta{To: 4, Revision: 9}})
	g.Expect(h.view).To(BeIdenticalTo(before))
}

func TestCutOffLastsUntilTheNextLease(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	inGrace := started + testDuration + testGrace/2
	lost := leasePoll{asked: inGrace, known: 3, withoutLease: 2}
	minority := leasePoll{asked: inGrace, known: 3, withoutLease: 1}
	h.applyPoll(inGrace, minority)
	g.Expect(h.times.state(started + testLifetime)).To(Equal(view.LeaseCutOff))
	h.applyPoll(inGrace, lost)
	g.Expect(h.times.state(started + testLifetime)).To(Equal(view.LeaseControlLost))

	cutOff := inGrace + testDuration
	g.Expect(h.times.state(cutOff)).To(Equal(view.LeaseCutOff))
	lost.asked = cutOff
	h.applyPoll(cutOff, lost)
	g.Expect(h.times.state(cutOff)).To(Equal(view.LeaseCutOff))
}

func TestPollCountsOnlyInstancesWithTheSameOrAnOlderSet(t *testing.T) {
	g := NewWithT(t)
	p := newLeasedHolder(g).newPoll(started)
	for _, a := range []leaseAnswer{
		{}, {reached: true}, {reached: true, lost: true, instancesVersion: 6},
		{reached: true, lost: true, instancesVersion: 5}, {reached: true, lost: true, instancesVersion: 4},
	} {
		p.add(a)
	}
	g.Expect(p).To(Equal(leasePoll{asked: started, instancesVersion: 5, known: 3, reached: 4, withoutLease: 2}))
	g.Expect(p.controlLost()).To(BeTrue())
}

func TestMergeSharesUnchangedParts(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	old := h.view
	next, _ := merge(old, &state.Delta{From: 5, To: 6, Revision: 2, Drained: []model.TargetID{target}, InstancesRemoved: []model.InstanceID{"e2"}})
	g.Expect(next.Drained).To(HaveKey(target))
	g.Expect(old.Drained).To(BeEmpty())
	g.Expect(next.Instances).To(HaveLen(2))
	g.Expect(old.Instances).To(HaveLen(3))
	next, _ = merge(next, &state.Delta{From: 6, To: 7, Revision: 3, Undrained: []model.TargetID{target}})
	g.Expect(next.Drained).To(BeEmpty())
	g.Expect(next.Grants).To(HaveKey(target))
}

func TestHolderAppliesTableChangesAndRequestsTheFullTableIfTheyDoNotApply(t *testing.T) {
	g := NewWithT(t)
	h := newLeasedHolder(g)
	apply := func(d *state.Delta) {
		h.nextRenewal(started)
		h.applyReply(started, started, &wire.RenewalReply{Sequence: h.sequence, Delta: d, Session: h.session})
	}
	full := &routing.TableDelta{To: 7, Routes: []routing.Route{{Host: "a", Prefix: "/"}, {Host: "b", Prefix: "/"}}}
	apply(&state.Delta{To: 6, Table: full})
	apply(&state.Delta{From: 6, To: 8, Table: &routing.TableDelta{From: 7, To: 9, RemovedRoutes: []routing.RouteKey{{Host: "b", Prefix: "/"}}}})
	g.Expect(h.view.Routing.Table.Version).To(BeEquivalentTo(9))
	g.Expect(h.view.Routing.Table.Routes).To(Equal(full.Routes[:1]))

	// A control group that lost its state sends an older table; the newer one stays in use.
	apply(&state.Delta{To: 10, Table: &routing.TableDelta{To: 8}})
	g.Expect(h.view.Routing.Table.Version).To(BeEquivalentTo(9))
	apply(&state.Delta{From: 10, To: 11, Table: &routing.TableDelta{From: 8, To: 12}})
	g.Expect(h.view.Routing.Table.Version).To(BeEquivalentTo(9))
	g.Expect(h.nextRenewal(started).Version).To(BeZero())
	apply(&state.Delta{To: 11, Table: &routing.TableDelta{To: 12, Routes: full.Routes[1:]}})
	g.Expect(h.view.Routing.Table.Routes).To(Equal(full.Routes[1:]))
	g.Expect(h.nextRenewal(started).Version).To(BeEquivalentTo(11))
}

func TestEvidenceBufferBoundsAndSumsEvidence(t *testing.T) {
	g := NewWithT(t)
	urgent := 0
	r := newEvidenceBuffer(func() { urgent++ })
	outcome := view.Outcome{Collection: "c", Version: "41", Window: 1, OK: 2, LatencyBuckets: []uint64{1, 1}}
	r.Report(view.Evidence{Outcomes: []view.Outcome{outcome}})
	outcome.LatencyBuckets = []uint64{0, 1, 1}
	r.Report(view.Evidence{Outcomes: []view.Outcome{outcome}})
	g.Expect(urgent).To(Equal(0))
	for range 2 * maxCrashes {
		r.Report(view.Evidence{Crashes: []view.TargetCrash{{Target: target}}})
	}
	g.Expect(urgent).To(Equal(2 * maxCrashes))
	e := r.take()
	g.Expect(e.Crashes).To(HaveLen(maxCrashes))
	g.Expect(e.Outcomes).To(ConsistOf(And(HaveField("OK", uint64(4)), HaveField("LatencyBuckets", []uint64{1, 2, 1}))))
	g.Expect(r.take()).To(BeNil())
}

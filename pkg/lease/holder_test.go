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

// held returns a holder that got a lease and a grant with a renewal sent at started.
func held(g *WithT) *holder {
	h := newHolder(model.Instance{ID: "e1"}, "b", testDuration, testGrace)
	h.next(started)
	g.Expect(h.take(started, started, &wire.RenewalReply{Sequence: 1, Session: 7, Challenge: true})).To(BeTrue())
	h.next(started)
	h.take(started, started, &wire.RenewalReply{
		Sequence: 2, Session: 8,
		Delta:  &state.Delta{To: 5, Revision: 1, Membership: 5, Instances: []model.Instance{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}},
		Grants: &grant.Delta{Sequence: 1, Changes: []grant.Entry{{Target: target, Grant: view.Grant{Connections: 3}}}},
	})
	return h
}

func TestLeaseCountsFromSending(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	h.next(started + time.Second)
	h.take(started+2500*time.Millisecond, started+time.Second, &wire.RenewalReply{Sequence: 3, Session: 8})
	g.Expect(h.times.state(started + 2999*time.Millisecond)).To(Equal(view.LeaseHeld))
	g.Expect(h.times.state(started + 3000*time.Millisecond)).To(Equal(view.LeaseControlLost))
	g.Expect(h.times.state(started + 4000*time.Millisecond)).To(Equal(view.LeaseCutOff))
}

func TestFrozenProcessSeesItsLeaseExpired(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	published := h.times
	g.Expect(published.state(started + time.Minute)).To(Equal(view.LeaseCutOff))
	h.next(started + time.Minute)
	g.Expect(h.view.Grants).To(BeEmpty())
}

func TestReplyAfterCutOffBringsNoOldGrants(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	h.next(started + 500*time.Millisecond)
	late := started + time.Minute
	h.take(late, late, &wire.RenewalReply{Sequence: 3, Session: 8})
	g.Expect(h.times.state(late)).To(Equal(view.LeaseCutOff))
	g.Expect(h.view.Grants).To(BeEmpty())
	g.Expect(h.next(late).Reset).To(BeTrue())
}

func TestHolderWithoutGrantsTakesOnlyTheNewestReply(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(model.Instance{ID: "e1"}, "b", testDuration, testGrace)
	h.next(started)
	h.next(started)
	h.take(started, started, &wire.RenewalReply{Sequence: 1, Session: 8, Grants: &grant.Delta{Sequence: 1, Changes: []grant.Entry{{Target: target, Grant: view.Grant{Connections: 3}}}}})
	g.Expect(h.view.Grants).To(BeEmpty())
	g.Expect(h.times.state(started)).To(Equal(view.LeaseNone))
}

func TestOldReplyAndOldDeltaChangeNothing(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	before := h.view
	h.take(started, started, &wire.RenewalReply{Sequence: 1, Session: 9, Delta: &state.Delta{To: 9, Revision: 9}})
	h.next(started)
	h.take(started, started, &wire.RenewalReply{Sequence: 3, Session: 8, Delta: &state.Delta{From: 3, To: 9, Revision: 9}})
	h.next(started)
	h.take(started, started, &wire.RenewalReply{Sequence: 4, Session: 8, Delta: &state.Delta{To: 4, Revision: 9}})
	g.Expect(h.view).To(BeIdenticalTo(before))
}

func TestCutOffLastsUntilALease(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	inGrace := started + testDuration + testGrace/2
	lost := poll{asked: inGrace, known: 3, without: 2}
	minority := poll{asked: inGrace, known: 3, without: 1}
	h.takePoll(inGrace, minority)
	g.Expect(h.times.state(started + testRunOut)).To(Equal(view.LeaseCutOff))
	h.takePoll(inGrace, lost)
	g.Expect(h.times.state(started + testRunOut)).To(Equal(view.LeaseControlLost))

	cutOff := inGrace + testDuration
	g.Expect(h.times.state(cutOff)).To(Equal(view.LeaseCutOff))
	lost.asked = cutOff
	h.takePoll(cutOff, lost)
	g.Expect(h.times.state(cutOff)).To(Equal(view.LeaseCutOff))
}

func TestPollCountsOnlyThoseOfTheSameOrAnOlderSet(t *testing.T) {
	g := NewWithT(t)
	p := held(g).newPoll(started)
	for _, a := range []answer{
		{}, {reached: true}, {reached: true, lost: true, membership: 6},
		{reached: true, lost: true, membership: 5}, {reached: true, lost: true, membership: 4},
	} {
		p.count(a)
	}
	g.Expect(p).To(Equal(poll{asked: started, membership: 5, known: 3, reached: 4, without: 2}))
	g.Expect(p.lost()).To(BeTrue())
}

func TestMergeSharesWhatDidNotChange(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	old := h.view
	next, _ := merge(old, &state.Delta{From: 5, To: 6, Revision: 2, Drained: []model.TargetID{target}, Gone: []model.InstanceID{"e2"}})
	g.Expect(next.Drained).To(HaveKey(target))
	g.Expect(old.Drained).To(BeEmpty())
	g.Expect(next.Instances).To(HaveLen(2))
	g.Expect(old.Instances).To(HaveLen(3))
	next, _ = merge(next, &state.Delta{From: 6, To: 7, Revision: 3, Undrained: []model.TargetID{target}})
	g.Expect(next.Drained).To(BeEmpty())
	g.Expect(next.Grants).To(HaveKey(target))
}

func TestHolderFollowsTablesByChangesAndAsksForTheWholeAfterAnotherTable(t *testing.T) {
	g := NewWithT(t)
	h := held(g)
	take := func(d *state.Delta) {
		h.next(started)
		h.take(started, started, &wire.RenewalReply{Sequence: h.sequence, Delta: d, Session: h.session})
	}
	whole := &routing.Change{To: 7, Routes: []routing.Route{{Host: "a", Prefix: "/"}, {Host: "b", Prefix: "/"}}}
	take(&state.Delta{To: 6, Table: whole})
	take(&state.Delta{From: 6, To: 8, Table: &routing.Change{From: 7, To: 9, RoutesGone: []routing.Place{{Host: "b", Prefix: "/"}}}})
	g.Expect(h.view.Routing.Table.Version).To(BeEquivalentTo(9))
	g.Expect(h.view.Routing.Table.Routes).To(Equal(whole.Routes[:1]))

	// A group that lost its state names an older table; this one stays in use.
	take(&state.Delta{To: 10, Table: &routing.Change{To: 8}})
	g.Expect(h.view.Routing.Table.Version).To(BeEquivalentTo(9))
	take(&state.Delta{From: 10, To: 11, Table: &routing.Change{From: 8, To: 12}})
	g.Expect(h.view.Routing.Table.Version).To(BeEquivalentTo(9))
	g.Expect(h.next(started).Version).To(BeZero())
	take(&state.Delta{To: 11, Table: &routing.Change{To: 12, Routes: whole.Routes[1:]}})
	g.Expect(h.view.Routing.Table.Routes).To(Equal(whole.Routes[1:]))
	g.Expect(h.next(started).Version).To(BeEquivalentTo(11))
}

func TestReporterBoundsAndSumsEvidence(t *testing.T) {
	g := NewWithT(t)
	urgent := 0
	r := newReporter(func() { urgent++ })
	outcome := view.Outcome{Collection: "c", Version: "41", Window: 1, OK: 2, LatencyBuckets: []uint64{1, 1}}
	r.Report(view.Evidence{Outcomes: []view.Outcome{outcome}})
	outcome.LatencyBuckets = []uint64{0, 1, 1}
	r.Report(view.Evidence{Outcomes: []view.Outcome{outcome}})
	g.Expect(urgent).To(Equal(0))
	for range 2 * maxDeaths {
		r.Report(view.Evidence{Deaths: []view.Death{{Target: target}}})
	}
	g.Expect(urgent).To(Equal(2 * maxDeaths))
	e := r.take()
	g.Expect(e.Deaths).To(HaveLen(maxDeaths))
	g.Expect(e.Outcomes).To(ConsistOf(And(HaveField("OK", uint64(4)), HaveField("LatencyBuckets", []uint64{1, 2, 1}))))
	g.Expect(r.take()).To(BeNil())
}

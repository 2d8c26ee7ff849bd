package state_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/state"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "state")
}

var (
	known = rules.Topology{
		AvailabilityZones: []model.AvailabilityZoneID{"split-a", "zadar-b"},
		Collections:       []rules.CollectionShape{{ID: "shopfront", Leaves: 2, Slots: 3}},
	}
	noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
)

const moveLine = "move shopfront from 41 to 42 by 2026-12-05T05:00Z # Marko\n"

// testState applies commands with increasing indexes.
type testState struct {
	*state.State
	index uint64
}

func newTestState() *testState { return &testState{State: state.New()} }

func (ts *testState) run(c state.Command) *state.Result {
	ts.index++
	return ts.Apply(ts.index, &c)
}

func (ts *testState) applyRules(base model.Revision, text, author string) *state.Result {
	GinkgoHelper()
	set, mistakes := rules.Parse(text, known)
	Expect(mistakes).To(BeEmpty())
	return ts.run(state.Command{ApplyRules: &state.ApplyRules{
		Base: base, Hash: "hash of " + text, Text: text, Author: author, At: noon, Rules: set,
	}})
}

func (ts *testState) step(s move.Step) *state.Result { return ts.run(state.Command{StepMove: &s}) }

func (ts *testState) orders(clock time.Duration, changes ...state.OrderChange) []state.OrderResult {
	return ts.run(state.Command{Clock: clock, Orders: &state.Orders{Changes: changes}}).Orders
}

// restoredCopy returns the state after a snapshot and a restore.
func (ts *testState) restoredCopy() *testState {
	GinkgoHelper()
	b, err := ts.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	restored := newTestState()
	Expect(restored.Restore(b)).To(Succeed())
	restored.index = ts.index
	again, err := restored.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	Expect(again).To(Equal(b))
	return restored
}

var _ = Describe("rules", func() {
	It("accepts one of two changes on the same base and answers resends", func() {
		ts := newTestState()
		first := ts.applyRules(0, "zone split-a out # Ana\n", "ana")
		Expect(first.Change.Revision).To(BeEquivalentTo(1))
		lost := ts.applyRules(0, "zone zadar-b out # Ivo\n", "ivo")
		Expect(lost.Refusal.Code).To(Equal(failure.Conflict))
		Expect(lost.Refusal.Message).To(ContainSubstring("revision 1 is already taken by ana"))
		ts.applyRules(1, "zone zadar-b out # Ivo\n", "ivo")
		Expect(ts.applyRules(0, "zone split-a out # Ana\n", "ana").Change).To(Equal(first.Change))
		Expect(ts.Newest().Revision).To(BeEquivalentTo(2))
		Expect(ts.applyRules(7, "# nothing\n", "ana").Refusal.Message).To(ContainSubstring("the newest is 2 by ivo"))
	})

	It("keeps a bounded history, newest first", func() {
		ts := newTestState()
		for i := range state.MaxHistory + 10 {
			ts.applyRules(model.Revision(i), fmt.Sprintf("limit caller c %d/s # Ana\n", i+1), "ana")
		}
		history := ts.restoredCopy().History(1000)
		Expect(history).To(HaveLen(state.MaxHistory))
		Expect(history[0].Revision).To(BeEquivalentTo(state.MaxHistory + 10))
		Expect(ts.History(2)).To(HaveLen(2))
	})
})

var _ = Describe("moves", func() {
	It("keeps the move of an unchanged rule, also if taken back, and starts that of a changed rule", func() {
		ts := newTestState()
		ts.applyRules(0, moveLine, "marko")
		step := move.Step{Collection: "shopfront", Revision: 1, Expect: 0, Phase: move.PhaseUnderWay, Share: 0.05, At: noon}
		Expect(ts.step(step).Refusal).To(BeNil())
		Expect(ts.step(step).Refusal).To(BeNil(), "a resend is the same step")
		other := step
		other.Share = 0.5
		Expect(ts.step(other).Refusal.Code).To(Equal(failure.Conflict))
		ts.applyRules(1, "limit caller c 5/s # Lotte\n"+moveLine, "lotte")
		Expect(ts.Moves()).To(ConsistOf(And(HaveField("Share", 0.05), HaveField("Revision", model.Revision(1)))))

		back := move.Step{Collection: "shopfront", Revision: 1, Expect: 1, Phase: move.PhaseRolledBack, Share: 0.05, At: noon}
		Expect(ts.step(back).Refusal).To(BeNil())
		ts.applyRules(2, moveLine, "marko")
		Expect(ts.restoredCopy().Moves()).To(ConsistOf(And(HaveField("Phase", move.PhaseRolledBack), HaveField("Share", 0.0))))
		again := move.Step{Collection: "shopfront", Revision: 1, Expect: 2, Phase: move.PhaseUnderWay, Share: 1, At: noon}
		Expect(ts.step(again).Refusal.Message).To(ContainSubstring("needs a new rule"))

		ts.applyRules(3, "move shopfront from 41 to 42 by 2026-12-06T05:00Z # Marko\n", "marko")
		Expect(ts.Moves()).To(ConsistOf(And(HaveField("Phase", move.PhaseUnderWay), HaveField("Revision", model.Revision(4)))))
		ts.applyRules(4, "# nothing\n", "marko")
		Expect(ts.Moves()).To(BeEmpty())
	})
})

var _ = Describe("quarantine", func() {
	crash := func(target, boot string, suspects ...model.Fingerprint) state.TargetCrash {
		return state.TargetCrash{Target: model.TargetID(target), Boot: model.BootID(boot), Suspects: suspects}
	}
	trial := func(target, boot string, suspect model.Fingerprint) state.TargetCrash {
		return state.TargetCrash{Target: model.TargetID(target), Boot: model.BootID(boot), Suspects: []model.Fingerprint{suspect}, Trial: true}
	}
	report := func(ts *testState, clock time.Duration, crashes ...state.TargetCrash) []model.Fingerprint {
		return ts.run(state.Command{Clock: clock, TargetCrashes: &state.TargetCrashes{Crashes: crashes, At: noon}}).Quarantined
	}

	It("quarantines after two distinct crashes, one of them on trial", func() {
		ts := newTestState()
		Expect(report(ts, 0, crash("t1", "b1", 7, 8))).To(BeEmpty())
		Expect(report(ts, 0, crash("t1", "b1", 7, 8))).To(BeEmpty(), "the same crash again")
		Expect(report(ts.restoredCopy(), 0, trial("t2", "b1", 7))).To(ConsistOf(model.Fingerprint(7)))
		Expect(report(ts, 0, trial("t1", "b2", 7))).To(ConsistOf(model.Fingerprint(7)))
		Expect(ts.Quarantined()).To(ConsistOf(HaveField("Deaths", ConsistOf(model.TargetID("t1"), model.TargetID("t1")))))
		Expect(ts.run(state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7, Author: "ivo"}}).Refusal).To(BeNil())
		Expect(ts.Quarantined()).To(BeEmpty())
		Expect(ts.run(state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7}}).Refusal.Code).To(Equal(failure.NotFound))
	})

	It("is not lifted by a call that was made for an earlier quarantine of the request", func() {
		ts := newTestState()
		report(ts, 0, crash("t1", "b1", 7), trial("t2", "b1", 7))
		lift := state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7, Author: "ivo", Began: ts.Quarantined()[0].At.Unix()}}
		Expect(ts.run(lift).Refusal).To(BeNil())
		ts.run(state.Command{TargetCrashes: &state.TargetCrashes{
			Crashes: []state.TargetCrash{crash("t1", "b2", 7), trial("t2", "b2", 7)}, At: noon.Add(time.Second),
		}})
		Expect(ts.run(lift).Refusal.Code).To(Equal(failure.Conflict))
		Expect(ts.restoredCopy().Quarantined()).To(HaveLen(1))
	})

	It("quarantines a request that no target has answered after three crashes spread over time", func() {
		unanswered := func(target string) state.TargetCrash {
			d := crash(target, "b", 7)
			d.NeverAnswered = true
			return d
		}
		ts := newTestState()
		Expect(report(ts, 0, unanswered("t1"), unanswered("t2"))).To(BeEmpty())
		Expect(report(ts, 5*time.Second, unanswered("t2"))).To(BeEmpty(), "the same crash again")
		Expect(report(ts.restoredCopy(), 5*time.Second, unanswered("t3"))).To(ConsistOf(model.Fingerprint(7)))
		Expect(report(ts, 5*time.Second, crash("t4", "b", 7))).To(BeEmpty(), "the reporter knows of an answer")
		Expect(report(ts, 5*time.Second, unanswered("t3"))).To(ConsistOf(model.Fingerprint(7)))
		Expect(ts.HasExpiredQuarantine(5 * time.Minute)).To(BeFalse())
		Expect(ts.HasExpiredQuarantine(11 * time.Minute)).To(BeTrue())
		Expect(report(ts, 11*time.Minute)).To(BeEmpty())
		Expect(ts.Quarantined()).To(BeEmpty())
	})

	It("quarantines no request for simultaneous crashes", func() {
		ts := newTestState()
		for i := range 60 {
			d := crash(fmt.Sprint("t", i), "b", 1)
			d.NeverAnswered = true
			Expect(report(ts, 10*time.Millisecond*time.Duration(i), d)).To(BeEmpty())
		}
	})

	It("quarantines nothing when many targets crash with the same requests in flight", func() {
		ts := newTestState()
		for i := range 60 {
			Expect(report(ts, 0, crash(fmt.Sprint("t", i), "b", 1, 2, 3))).To(BeEmpty())
		}
	})

	It("quarantines no popular request when many targets crash that ran nothing else", func() {
		ts := newTestState()
		for i := range 60 {
			Expect(report(ts, 0, crash(fmt.Sprint("t", i), "b", 1))).To(BeEmpty())
		}
	})

	It("expires a single crash and limits the number of suspects", func() {
		ts := newTestState()
		report(ts, 0, crash("t1", "b1", 7))
		Expect(report(ts, 11*time.Minute, crash("t2", "b1", 7))).To(BeEmpty())
		for i := range state.MaxSuspects + 50 {
			report(ts, 11*time.Minute, crash("t3", "b", model.Fingerprint(100+i)))
		}
		Expect(report(ts, 11*time.Minute, crash("t4", "b", 7))).To(BeEmpty(), "the oldest suspect was dropped")
	})
})

var _ = Describe("order claims", func() {
	key := state.OrderKey{Collection: "shopfront", IdempotencyKey: "k"}
	claim := func(id, body string) state.OrderChange {
		return state.OrderChange{Claim: &state.Claim{Key: key, ContentHash: body, Claimer: "e1", ID: state.ClaimID(id), Retention: time.Hour}}
	}
	outcome := func(id string, phase state.Phase) state.OrderChange {
		return state.OrderChange{Outcome: &state.ClaimOutcome{Key: key, ID: state.ClaimID(id), Phase: phase, Confirmation: "c"}}
	}

	It("grants one claim at a time and answers resends", func() {
		ts := newTestState()
		results := ts.orders(0, claim("a", "x"), claim("b", "x"), claim("a", "x"), claim("c", "y"))
		Expect(results[0].Applied).To(BeTrue())
		Expect(results[1].Applied).To(BeFalse())
		Expect(results[1].Record.ID).To(BeEquivalentTo("a"))
		Expect(results[2].Applied).To(BeTrue(), "the same claim again")
		Expect(results[3].Refusal.Code).To(Equal(failure.KeyReused))
	})

	It("records one outcome and never grants the order again", func() {
		ts := newTestState()
		results := ts.orders(0, claim("a", "x"), outcome("b", state.PhaseUndispatched), outcome("a", state.PhaseRan), outcome("a", state.PhaseUndispatched), claim("a", "x"), claim("b", "x"))
		Expect(results[1].Applied).To(BeFalse())
		Expect(results[2].Applied).To(BeTrue())
		Expect(results[3].Record.Phase).To(Equal(state.PhaseRan))
		Expect(results[4].Applied).To(BeFalse())
		Expect(results[5].Record).To(And(HaveField("Phase", state.PhaseRan), HaveField("Confirmation", "c")))
	})

	It("grants an order again only if its claim was not dispatched", func() {
		ts := newTestState()
		ts.orders(0, claim("a", "x"), outcome("a", state.PhaseUnknown))
		Expect(ts.orders(0, claim("b", "x"))[0].Applied).To(BeFalse())

		ts = newTestState()
		ts.orders(0, claim("a", "x"), outcome("a", state.PhaseUndispatched))
		Expect(ts.orders(0, claim("a", "x"))[0].Applied).To(BeFalse(), "the claim whose outcome is undispatched")
		Expect(ts.orders(0, claim("b", "x"))[0].Applied).To(BeTrue())

		ts = newTestState()
		ts.orders(0, claim("a", "x"))
		proved := claim("b", "x")
		proved.Claim.UndispatchedClaim = "a"
		Expect(ts.orders(0, proved)[0].Applied).To(BeTrue())
		Expect(ts.orders(0, outcome("a", state.PhaseRan))[0].Applied).To(BeFalse())
	})

	It("expires claims by the age of the group, the same after a restore", func() {
		ts := newTestState()
		ts.orders(0, claim("a", "x"))
		ts.run(state.Command{ApplyRules: &state.ApplyRules{At: noon.AddDate(1, 0, 0), Hash: "h"}})
		restored := ts.restoredCopy()
		for _, m := range []*testState{ts, restored} {
			Expect(m.orders(59*time.Minute, claim("b", "x"))[0].Applied).To(BeFalse())
			Expect(m.orders(61*time.Minute, claim("b", "x"))[0].Applied).To(BeTrue())
			Expect(m.orders(90*time.Minute, claim("c", "x"))[0].Applied).To(BeFalse(), "the second claim has its own expiry")
		}
		Expect(ts.restoredCopy().Snapshot()).To(Equal(must(restored.Snapshot())))
	})

	It("refuses new orders over the limit instead of dropping claims", func() {
		ts := newTestState()
		changes := make([]state.OrderChange, 0, state.MaxClaims)
		for i := range state.MaxClaims {
			c := claim("a", "x")
			c.Claim.Key.IdempotencyKey = fmt.Sprint(i)
			changes = append(changes, c)
		}
		ts.orders(0, changes...)
		Expect(ts.orders(0, claim("b", "x"))[0].Refusal.Code).To(Equal(failure.Overloaded))
		Expect(ts.orders(2*time.Hour, claim("b", "x"))[0].Applied).To(BeTrue())
	})
})

func must[T any](v T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return v
}

var _ = Describe("deltas", func() {
	put := func(ts *testState, id model.InstanceID) {
		ts.run(state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: id}}})
	}

	It("carry only the changes", func() {
		ts := newTestState()
		put(ts, "e1")
		ts.applyRules(0, "zone split-a out # Ana\nlimit caller c 5/s # Ana\n", "ana")
		d := ts.Delta(0)
		Expect(d.IsFull()).To(BeTrue())
		Expect(d.Instances).To(HaveLen(1))
		Expect(ts.Delta(d.To)).To(BeNil())
		ts.applyRules(1, "limit caller c 5/s # Ana\ndrain target shopfront/s/leaf-1/slot-1 # Ivo\n", "ivo")
		put(ts, "e2")
		ts.run(state.Command{RemoveInstances: &state.RemoveInstances{Instances: []model.InstanceID{"e1", "e9"}}})
		next := ts.Delta(d.To)
		Expect(next.From).To(Equal(d.To))
		Expect(next.ZonesIn).To(ConsistOf(model.AvailabilityZoneID("split-a")))
		Expect(next.Drained).To(HaveLen(1))
		Expect(next.Limits).To(BeEmpty())
		Expect(next.Instances).To(HaveLen(1))
		Expect(next.InstancesRemoved).To(ConsistOf(model.InstanceID("e1")))
		Expect(next.InstancesVersion).To(BeNumerically(">", d.InstancesVersion))
	})

	It("include a revision that changes nothing else", func() {
		ts := newTestState()
		ts.applyRules(0, "zone split-a out # Ana\n", "ana")
		d := ts.Delta(0)
		ts.applyRules(1, "zone split-a out # Ana, until noon\n", "ana")
		Expect(ts.Delta(d.To)).To(And(HaveField("Revision", model.Revision(2)), HaveField("ZonesOut", BeEmpty())))
	})

	It("fall back to a full delta for versions that are too old or unknown", func() {
		ts := newTestState()
		put(ts, "e1")
		version := ts.Version()
		Expect(ts.restoredCopy().Delta(version)).To(BeNil())
		Expect(ts.Delta(version + 5).IsFull()).To(BeTrue())
		for i := range 20_000 {
			put(ts, "e1")
			ts.run(state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: "e2", Leaving: i%2 == 0}}})
		}
		Expect(ts.Delta(version).IsFull()).To(BeTrue())
		Expect(ts.Delta(ts.Version() - 10).IsFull()).To(BeFalse())
	})
})

var _ = Describe("Machine", func() {
	It("refuses malformed commands without a change", func() {
		m := state.NewMachine()
		result, err := state.DecodeResult(m.Apply(1, []byte{0xff}))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Refusal.Code).To(Equal(failure.Internal))
	})

	It("decodes commands and encodes results", func() {
		m := state.NewMachine()
		b, err := (&state.Command{ApplyRules: &state.ApplyRules{Hash: "h", Author: "ana", At: noon}}).Encode()
		Expect(err).NotTo(HaveOccurred())
		result, err := state.DecodeResult(m.Apply(1, b))
		Expect(err).NotTo(HaveOccurred())
		Expect(*result.Change).To(HaveField("Author", "ana"))
		Expect(m.Newest()).To(HaveField("Revision", model.Revision(1)))
		var quarantined []control.Quarantine
		m.Read(func(s *state.State) { quarantined = s.Quarantined() })
		Expect(quarantined).To(BeEmpty())
	})
})

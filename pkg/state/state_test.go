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
	known = rules.Known{
		AvailabilityZones: []model.AvailabilityZoneID{"split-a", "zadar-b"},
		Collections:       []rules.Shape{{ID: "shopfront", Leaves: 2, Slots: 3}},
	}
	noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
)

const moveLine = "move shopfront from 41 to 42 by 2026-12-05T05:00Z # Marko\n"

// log applies commands with growing indexes.
type log struct {
	*state.State
	index uint64
}

func newLog() *log { return &log{State: state.New()} }

func (l *log) do(c state.Command) *state.Result {
	l.index++
	return l.Apply(l.index, &c)
}

func (l *log) apply(base model.Revision, text, author string) *state.Result {
	GinkgoHelper()
	set, mistakes := rules.Parse(text, known)
	Expect(mistakes).To(BeEmpty())
	return l.do(state.Command{ApplyRules: &state.ApplyRules{
		Base: base, Hash: "hash of " + text, Text: text, Author: author, At: noon, Rules: set,
	}})
}

func (l *log) step(s move.Step) *state.Result { return l.do(state.Command{StepMove: &s}) }

func (l *log) orders(clock time.Duration, changes ...state.OrderChange) []state.OrderResult {
	return l.do(state.Command{Clock: clock, Orders: &state.Orders{Changes: changes}}).Orders
}

// copied returns the state after a snapshot and a restore.
func (l *log) copied() *log {
	GinkgoHelper()
	b, err := l.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	restored := newLog()
	Expect(restored.Restore(b)).To(Succeed())
	restored.index = l.index
	again, err := restored.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	Expect(again).To(Equal(b))
	return restored
}

var _ = Describe("rules", func() {
	It("accepts one of two changes on the same base and answers resends", func() {
		l := newLog()
		first := l.apply(0, "zone split-a out # Ana\n", "ana")
		Expect(first.Change.Revision).To(BeEquivalentTo(1))
		lost := l.apply(0, "zone zadar-b out # Ivo\n", "ivo")
		Expect(lost.Refusal.Code).To(Equal(failure.Conflict))
		Expect(lost.Refusal.Message).To(ContainSubstring("revision 1 is already taken by ana"))
		l.apply(1, "zone zadar-b out # Ivo\n", "ivo")
		Expect(l.apply(0, "zone split-a out # Ana\n", "ana").Change).To(Equal(first.Change))
		Expect(l.Newest().Revision).To(BeEquivalentTo(2))
		Expect(l.apply(7, "# nothing\n", "ana").Refusal.Message).To(ContainSubstring("the newest is 2 by ivo"))
	})

	It("keeps a bounded history, newest first", func() {
		l := newLog()
		for i := range state.MaxHistory + 10 {
			l.apply(model.Revision(i), fmt.Sprintf("limit caller c %d/s # Ana\n", i+1), "ana")
		}
		history := l.copied().History(1000)
		Expect(history).To(HaveLen(state.MaxHistory))
		Expect(history[0].Revision).To(BeEquivalentTo(state.MaxHistory + 10))
		Expect(l.History(2)).To(HaveLen(2))
	})
})

var _ = Describe("moves", func() {
	It("continues a kept move, keeps a taken-back one, and starts a changed one", func() {
		l := newLog()
		l.apply(0, moveLine, "marko")
		step := move.Step{Collection: "shopfront", Revision: 1, Expect: 0, Phase: move.PhaseUnderWay, Share: 0.05, At: noon}
		Expect(l.step(step).Refusal).To(BeNil())
		Expect(l.step(step).Refusal).To(BeNil(), "a resend is the same step")
		other := step
		other.Share = 0.5
		Expect(l.step(other).Refusal.Code).To(Equal(failure.Conflict))
		l.apply(1, "limit caller c 5/s # Lotte\n"+moveLine, "lotte")
		Expect(l.Moves()).To(ConsistOf(And(HaveField("Share", 0.05), HaveField("Revision", model.Revision(1)))))

		back := move.Step{Collection: "shopfront", Revision: 1, Expect: 1, Phase: move.PhaseRolledBack, Share: 0.05, At: noon}
		Expect(l.step(back).Refusal).To(BeNil())
		l.apply(2, moveLine, "marko")
		Expect(l.copied().Moves()).To(ConsistOf(And(HaveField("Phase", move.PhaseRolledBack), HaveField("Share", 0.0))))
		again := move.Step{Collection: "shopfront", Revision: 1, Expect: 2, Phase: move.PhaseUnderWay, Share: 1, At: noon}
		Expect(l.step(again).Refusal.Message).To(ContainSubstring("needs a new rule"))

		l.apply(3, "move shopfront from 41 to 42 by 2026-12-06T05:00Z # Marko\n", "marko")
		Expect(l.Moves()).To(ConsistOf(And(HaveField("Phase", move.PhaseUnderWay), HaveField("Revision", model.Revision(4)))))
		l.apply(4, "# nothing\n", "marko")
		Expect(l.Moves()).To(BeEmpty())
	})
})

var _ = Describe("quarantine", func() {
	death := func(target, boot string, suspects ...model.Fingerprint) state.Death {
		return state.Death{Target: model.TargetID(target), Boot: model.BootID(boot), Suspects: suspects}
	}
	trial := func(target, boot string, suspect model.Fingerprint) state.Death {
		return state.Death{Target: model.TargetID(target), Boot: model.BootID(boot), Suspects: []model.Fingerprint{suspect}, Trial: true}
	}
	report := func(l *log, clock time.Duration, deaths ...state.Death) []model.Fingerprint {
		return l.do(state.Command{Clock: clock, Deaths: &state.Deaths{Deaths: deaths, At: noon}}).Condemned
	}

	It("condemns after two distinct deaths, one of them on trial", func() {
		l := newLog()
		Expect(report(l, 0, death("t1", "b1", 7, 8))).To(BeEmpty())
		Expect(report(l, 0, death("t1", "b1", 7, 8))).To(BeEmpty(), "the same death again")
		Expect(report(l.copied(), 0, trial("t2", "b1", 7))).To(ConsistOf(model.Fingerprint(7)))
		Expect(report(l, 0, trial("t1", "b2", 7))).To(ConsistOf(model.Fingerprint(7)))
		Expect(l.Quarantined()).To(ConsistOf(HaveField("Deaths", ConsistOf(model.TargetID("t1"), model.TargetID("t1")))))
		Expect(l.do(state.Command{Lift: &state.Lift{Fingerprint: 7, Author: "ivo"}}).Refusal).To(BeNil())
		Expect(l.Quarantined()).To(BeEmpty())
		Expect(l.do(state.Command{Lift: &state.Lift{Fingerprint: 7}}).Refusal.Code).To(Equal(failure.NotFound))
	})

	It("condemns a request that nobody has answered after three deaths that came one after the other", func() {
		unanswered := func(target string) state.Death {
			d := death(target, "b", 7)
			d.NeverAnswered = true
			return d
		}
		l := newLog()
		Expect(report(l, 0, unanswered("t1"), unanswered("t2"))).To(BeEmpty())
		Expect(report(l, 5*time.Second, unanswered("t2"))).To(BeEmpty(), "the same death again")
		Expect(report(l.copied(), 5*time.Second, unanswered("t3"))).To(ConsistOf(model.Fingerprint(7)))
		Expect(report(l, 5*time.Second, death("t4", "b", 7))).To(BeEmpty(), "answered before, as its reporter knows")
		Expect(report(l, 5*time.Second, unanswered("t3"))).To(ConsistOf(model.Fingerprint(7)))
		Expect(l.QuarantineOverdue(5 * time.Minute)).To(BeFalse())
		Expect(l.QuarantineOverdue(11 * time.Minute)).To(BeTrue())
		Expect(report(l, 11*time.Minute)).To(BeEmpty())
		Expect(l.Quarantined()).To(BeEmpty())
	})

	It("condemns no request for deaths that came together", func() {
		l := newLog()
		for i := range 60 {
			d := death(fmt.Sprint("t", i), "b", 1)
			d.NeverAnswered = true
			Expect(report(l, 10*time.Millisecond*time.Duration(i), d)).To(BeEmpty())
		}
	})

	It("condemns nothing when many targets die with the same requests in flight", func() {
		l := newLog()
		for i := range 60 {
			Expect(report(l, 0, death(fmt.Sprint("t", i), "b", 1, 2, 3))).To(BeEmpty())
		}
	})

	It("condemns no popular request when many targets die that ran nothing else", func() {
		l := newLog()
		for i := range 60 {
			Expect(report(l, 0, death(fmt.Sprint("t", i), "b", 1))).To(BeEmpty())
		}
	})

	It("forgets a single death in time and keeps its bound", func() {
		l := newLog()
		report(l, 0, death("t1", "b1", 7))
		Expect(report(l, 11*time.Minute, death("t2", "b1", 7))).To(BeEmpty())
		for i := range state.MaxSuspects + 50 {
			report(l, 11*time.Minute, death("t3", "b", model.Fingerprint(100+i)))
		}
		Expect(report(l, 11*time.Minute, death("t4", "b", 7))).To(BeEmpty(), "the oldest suspect was dropped")
	})
})

var _ = Describe("order claims", func() {
	key := state.OrderKey{Collection: "shopfront", IdempotencyKey: "k"}
	claim := func(id, body string) state.OrderChange {
		return state.OrderChange{Claim: &state.Claim{Key: key, Body: body, Claimer: "e1", ID: state.ClaimID(id), Retention: time.Hour}}
	}
	settle := func(id string, phase state.Phase) state.OrderChange {
		return state.OrderChange{Settle: &state.Settle{Key: key, ID: state.ClaimID(id), Phase: phase, Confirmation: "c"}}
	}

	It("grants one claim at a time and answers resends", func() {
		l := newLog()
		results := l.orders(0, claim("a", "x"), claim("b", "x"), claim("a", "x"), claim("c", "y"))
		Expect(results[0].Granted).To(BeTrue())
		Expect(results[1].Granted).To(BeFalse())
		Expect(results[1].Record.ID).To(BeEquivalentTo("a"))
		Expect(results[2].Granted).To(BeTrue(), "the same claim again")
		Expect(results[3].Refusal.Code).To(Equal(failure.KeyReused))
	})

	It("records one outcome and never grants the order again", func() {
		l := newLog()
		results := l.orders(0, claim("a", "x"), settle("b", state.PhaseUndispatched), settle("a", state.PhaseRan), settle("a", state.PhaseUndispatched), claim("a", "x"), claim("b", "x"))
		Expect(results[1].Granted).To(BeFalse())
		Expect(results[2].Granted).To(BeTrue())
		Expect(results[3].Record.Phase).To(Equal(state.PhaseRan))
		Expect(results[4].Granted).To(BeFalse())
		Expect(results[5].Record).To(And(HaveField("Phase", state.PhaseRan), HaveField("Confirmation", "c")))
	})

	It("grants an order again only if its claim was not dispatched", func() {
		l := newLog()
		l.orders(0, claim("a", "x"), settle("a", state.PhaseUnknown))
		Expect(l.orders(0, claim("b", "x"))[0].Granted).To(BeFalse())

		l = newLog()
		l.orders(0, claim("a", "x"), settle("a", state.PhaseUndispatched))
		Expect(l.orders(0, claim("a", "x"))[0].Granted).To(BeFalse(), "the claim that was given up")
		Expect(l.orders(0, claim("b", "x"))[0].Granted).To(BeTrue())

		l = newLog()
		l.orders(0, claim("a", "x"))
		proved := claim("b", "x")
		proved.Claim.Undispatched = "a"
		Expect(l.orders(0, proved)[0].Granted).To(BeTrue())
		Expect(l.orders(0, settle("a", state.PhaseRan))[0].Granted).To(BeFalse())
	})

	It("expires claims by the age of the group, the same after a restore", func() {
		l := newLog()
		l.orders(0, claim("a", "x"))
		l.do(state.Command{ApplyRules: &state.ApplyRules{At: noon.AddDate(1, 0, 0), Hash: "h"}})
		restored := l.copied()
		for _, m := range []*log{l, restored} {
			Expect(m.orders(59*time.Minute, claim("b", "x"))[0].Granted).To(BeFalse())
			Expect(m.orders(61*time.Minute, claim("b", "x"))[0].Granted).To(BeTrue())
			Expect(m.orders(90*time.Minute, claim("c", "x"))[0].Granted).To(BeFalse(), "the second claim has its own time")
		}
		Expect(l.copied().Snapshot()).To(Equal(must(restored.Snapshot())))
	})

	It("refuses new orders over the bound instead of dropping claims", func() {
		l := newLog()
		changes := make([]state.OrderChange, 0, state.MaxClaims)
		for i := range state.MaxClaims {
			c := claim("a", "x")
			c.Claim.Key.IdempotencyKey = fmt.Sprint(i)
			changes = append(changes, c)
		}
		l.orders(0, changes...)
		Expect(l.orders(0, claim("b", "x"))[0].Refusal.Code).To(Equal(failure.Overloaded))
		Expect(l.orders(2*time.Hour, claim("b", "x"))[0].Granted).To(BeTrue())
	})
})

func must[T any](v T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return v
}

var _ = Describe("deltas", func() {
	put := func(l *log, id model.InstanceID) {
		l.do(state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: id}}})
	}

	It("carry only what changed", func() {
		l := newLog()
		put(l, "e1")
		l.apply(0, "zone split-a out # Ana\nlimit caller c 5/s # Ana\n", "ana")
		d := l.Delta(0)
		Expect(d.Whole()).To(BeTrue())
		Expect(d.Instances).To(HaveLen(1))
		Expect(l.Delta(d.To)).To(BeNil())
		l.apply(1, "limit caller c 5/s # Ana\ndrain target shopfront/s/leaf-1/slot-1 # Ivo\n", "ivo")
		put(l, "e2")
		l.do(state.Command{Forget: &state.Forget{Instances: []model.InstanceID{"e1", "e9"}}})
		next := l.Delta(d.To)
		Expect(next.From).To(Equal(d.To))
		Expect(next.ZonesIn).To(ConsistOf(model.AvailabilityZoneID("split-a")))
		Expect(next.Drained).To(HaveLen(1))
		Expect(next.Limits).To(BeEmpty())
		Expect(next.Instances).To(HaveLen(1))
		Expect(next.Gone).To(ConsistOf(model.InstanceID("e1")))
		Expect(next.Membership).To(BeNumerically(">", d.Membership))
	})

	It("tell of a revision that changes nothing else", func() {
		l := newLog()
		l.apply(0, "zone split-a out # Ana\n", "ana")
		d := l.Delta(0)
		l.apply(1, "zone split-a out # Ana, until noon\n", "ana")
		Expect(l.Delta(d.To)).To(And(HaveField("Revision", model.Revision(2)), HaveField("ZonesOut", BeEmpty())))
	})

	It("fall back to the whole for versions that are too old or unknown", func() {
		l := newLog()
		put(l, "e1")
		version := l.Version()
		Expect(l.copied().Delta(version)).To(BeNil())
		Expect(l.Delta(version + 5).Whole()).To(BeTrue())
		for i := range 20_000 {
			put(l, "e1")
			l.do(state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: "e2", Leaving: i%2 == 0}}})
		}
		Expect(l.Delta(version).Whole()).To(BeTrue())
		Expect(l.Delta(l.Version() - 10).Whole()).To(BeFalse())
	})
})

var _ = Describe("Machine", func() {
	It("answers damaged commands without a change", func() {
		m := state.NewMachine()
		result, err := state.DecodeResult(m.Apply(1, []byte{0xff}))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Refusal.Code).To(Equal(failure.Internal))
	})

	It("carries commands and results over the wire", func() {
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

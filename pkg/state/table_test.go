package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/state"
)

func put(s *state.State, index, version uint64) *state.Result {
	return s.Apply(index, &state.Command{PutTable: &state.PutTable{Table: routing.Table{Version: version, Source: []byte{byte(index)}}}})
}

var _ = Describe("Routing table", func() {
	It("takes the highest version and acknowledges others without a change", func() {
		s := state.New()
		Expect(put(s, 5, 7).TableVersion).To(BeEquivalentTo(7))
		Expect(put(s, 6, 3).TableVersion).To(BeEquivalentTo(7))
		Expect(put(s, 7, 7).TableVersion).To(BeEquivalentTo(7))
		Expect(s.Table().Source).To(Equal([]byte{5}))
		Expect(put(s, 8, 9).TableVersion).To(BeEquivalentTo(9))
	})

	It("reaches entries by deltas, without the document", func() {
		s := state.New()
		put(s, 5, 7)
		d := s.Delta(0)
		Expect(d.Table.Version).To(BeEquivalentTo(7))
		Expect(d.Table.Source).To(BeNil())
		Expect(s.Delta(5)).To(BeNil())
		put(s, 6, 8)
		Expect(s.Delta(5).Table.Version).To(BeEquivalentTo(8))
	})

	It("survives a snapshot, with evacuations and ordinals", func() {
		s := state.New()
		put(s, 5, 7)
		s.Apply(6, &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: "a"}})
		s.Apply(7, &state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: "x"}}})
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Table().Version).To(BeEquivalentTo(7))
		d := restored.Delta(0)
		Expect(d.Evacuated).To(Equal([]model.AvailabilityZoneID{"a"}))
		Expect(d.Instances[0].Ordinal).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Evacuation", func() {
	It("begins and ends, and repeating an order changes nothing", func() {
		s := state.New()
		begin := &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: "a"}}
		s.Apply(2, begin)
		version := s.Version()
		s.Apply(3, begin)
		Expect(s.Version()).To(Equal(version))
		s.Apply(4, &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: "a", End: true}})
		d := s.Delta(version)
		Expect(d.EvacuationChanged).To(BeTrue())
		Expect(d.Evacuated).To(BeEmpty())
	})
})

var _ = Describe("Ordinals", func() {
	It("stay with an instance that registers again with another address", func() {
		s := state.New()
		for i, id := range []model.InstanceID{"x", "y"} {
			s.Apply(uint64(i+2), &state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: id}}})
		}
		s.Apply(9, &state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: "x", AvailabilityZone: "b"}}})
		Expect(s.Instances()["x"].Ordinal).To(BeEquivalentTo(1))
		Expect(s.Instances()["y"].Ordinal).To(BeEquivalentTo(2))
		Expect(s.Knows(model.Instance{ID: "x", AvailabilityZone: "b"})).To(BeTrue())
	})
})

var _ = Describe("An ordered move", func() {
	start := func(s *state.State, index uint64, to model.VersionID) {
		order := &state.StartMove{Move: rules.Move{Collection: "s1", From: "v1", To: to}}
		s.Apply(index, &state.Command{StartMove: order})
	}

	It("begins once, however often the order comes, and also after it was taken back", func() {
		s := state.New()
		start(s, 2, "v2")
		start(s, 3, "v2")
		m, _ := s.Move("s1")
		Expect(m.Revision).To(BeEquivalentTo(2))
		step := &move.Step{Collection: "s1", Revision: 2, Phase: move.PhaseTakenBack}
		Expect(s.Apply(4, &state.Command{StepMove: step}).Refusal).To(BeNil())
		start(s, 5, "v2")
		m, _ = s.Move("s1")
		Expect(m.Phase).To(Equal(move.PhaseTakenBack))
		start(s, 6, "v3")
		m, _ = s.Move("s1")
		Expect(m.Phase).To(Equal(move.PhaseUnderWay))
	})

	It("outlives a change of the rules, reaches entries, and survives a snapshot", func() {
		s := state.New()
		start(s, 2, "v2")
		s.Apply(3, &state.Command{ApplyRules: &state.ApplyRules{}})
		Expect(s.Delta(0).Moves).To(HaveLen(1))
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		m, known := restored.Move("s1")
		Expect(known).To(BeTrue())
		Expect(m.Ordered).To(BeTrue())
	})
})

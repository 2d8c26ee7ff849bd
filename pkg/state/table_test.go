package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
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

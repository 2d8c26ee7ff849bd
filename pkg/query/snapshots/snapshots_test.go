package snapshots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/snapshots"
)

func leaf(n int) model.LeafID { return model.LeafID{Service: "svc", Leaf: n} }

func snapshot(id model.SnapshotID, sequence uint64, leaves int) model.Snapshot {
	s := model.Snapshot{ID: id, Sequence: sequence}
	for n := range leaves {
		s.Leaves = append(s.Leaves, model.LeafPart{Leaf: leaf(n), Documents: 1})
	}
	return s
}

var _ = Describe("the chosen snapshot", func() {
	It("is the newest complete one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 5).Draw(t, "snapshots")
			all := make([]model.Snapshot, count)
			held := make(map[model.SnapshotID][]snapshots.Holding)
			for i := range all {
				id := model.SnapshotID(rune('a' + i))
				leaves := rapid.IntRange(1, 4).Draw(t, "leaves")
				all[i] = snapshot(id, uint64(i+1), leaves)
				held[id] = rapid.SliceOfN(rapid.SampledFrom([]snapshots.Holding{snapshots.Held, snapshots.NotHeld}), leaves, leaves).Draw(t, "held")
			}
			chosen, ok := snapshots.Choose(all, func(l model.LeafID, id model.SnapshotID) snapshots.Holding { return held[id][l.Leaf] })
			best := uint64(0)
			for _, s := range all {
				complete := true
				for _, h := range held[s.ID] {
					complete = complete && h == snapshots.Held
				}
				if complete {
					best = max(best, s.Sequence)
				}
			}
			if best > 0 && (!ok || !chosen.NoLeafMissing || chosen.Snapshot.Sequence != best) {
				t.Fatalf("chose %v, newest complete one is %d", chosen, best)
			}
			if best == 0 && chosen.NoLeafMissing {
				t.Fatalf("%v is not complete", chosen)
			}
		})
	})

	It("is one that no leaf is known to lack if none is known to be complete", func() {
		all := []model.Snapshot{snapshot("old", 1, 2), snapshot("new", 2, 2)}
		chosen, ok := snapshots.Choose(all, func(l model.LeafID, id model.SnapshotID) snapshots.Holding {
			if id == "new" && l.Leaf == 1 {
				return snapshots.NotHeld
			}
			return snapshots.HoldingUnknown
		})
		Expect(ok).To(BeTrue())
		Expect(chosen.NoLeafMissing).To(BeTrue())
		Expect(chosen.Snapshot.ID).To(Equal(model.SnapshotID("old")))
	})

	It("is the one with the most documents held while none is complete, even if a leaf lacks it", func() {
		all := []model.Snapshot{snapshot("mostly unknown", 1, 4), snapshot("nearly complete", 2, 4)}
		chosen, ok := snapshots.Choose(all, func(l model.LeafID, id model.SnapshotID) snapshots.Holding {
			switch {
			case id == "mostly unknown" && l.Leaf > 0:
				return snapshots.HoldingUnknown
			case id == "nearly complete" && l.Leaf == 0:
				return snapshots.NotHeld
			}
			return snapshots.Held
		})
		Expect(ok).To(BeTrue())
		Expect(chosen.NoLeafMissing).To(BeFalse())
		Expect(chosen.Snapshot.ID).To(Equal(model.SnapshotID("nearly complete")))
	})

	It("is never one without leaves", func() {
		_, ok := snapshots.Choose([]model.Snapshot{{ID: "empty", Sequence: 3}}, nil)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("the record of a target and a snapshot", func() {
	It("prefers a refusal to a stale health listing until a later listing corrects it", func() {
		var r snapshots.Record
		r.ApplyHealth(true, 0)
		r.RecordRefusal(time.Second)
		r.ApplyHealth(true, 2*time.Second)
		Expect(r.Holding(2 * time.Second)).To(Equal(snapshots.NotHeld))
		r.ApplyHealth(true, 4*time.Second)
		Expect(r.Holding(4 * time.Second)).To(Equal(snapshots.Held))
	})

	It("ignores an old refusal that no health listing confirms", func() {
		var r snapshots.Record
		r.RecordRefusal(0)
		Expect(r.Holding(9 * time.Second)).To(Equal(snapshots.NotHeld))
		Expect(r.Holding(11 * time.Second)).To(Equal(snapshots.HoldingUnknown))
	})

	It("is updated by an answer at once", func() {
		var r snapshots.Record
		r.RecordRefusal(0)
		r.RecordAnswer()
		Expect(r.Holding(time.Millisecond)).To(Equal(snapshots.Held))
	})
})

package state_test

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/state"
)

// tableSource is the document that an operator sent.
func tableSource(index uint64) []byte { return fmt.Appendf(nil, "document %d", index) }

func restoredCopyOf(s *state.State) *state.State {
	snapshot, err := s.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	restored := state.New()
	Expect(restored.Restore(snapshot)).To(Succeed())
	return restored
}

// entryTable is the routing table of a simulated entry instance.
type entryTable struct {
	version uint64
	table   *routing.Table
}

func (e *entryTable) applyDelta(t *rapid.T, s *state.State) {
	d := s.Delta(e.version)
	if d == nil {
		return
	}
	e.version = d.To
	if d.Table == nil {
		return
	}
	next, ok := e.table.Apply(d.Table)
	if !ok {
		t.Fatalf("an entry with %v cannot apply %v", e.table, d.Table)
	}
	e.table = next
}

func drawTable(t *rapid.T, version uint64) routing.Table {
	table := routing.Table{Version: version, Limits: routing.Limits{HeaderBytes: rapid.IntRange(0, 2).Draw(t, "limit")}}
	for i := range 4 {
		if rapid.Bool().Draw(t, "route") {
			table.Routes = append(table.Routes, routing.Route{
				Host: "h", Prefix: fmt.Sprint(i), MaxAttempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
			})
		}
		if rapid.Bool().Draw(t, "service") {
			table.Services = append(table.Services, routing.Service{
				Name: model.ServiceID(fmt.Sprint(i)), Connections: rapid.IntRange(1, 2).Draw(t, "connections"),
			})
		}
	}
	for i := range 3 {
		if rapid.Bool().Draw(t, "caller") {
			key := routing.DigestKey(fmt.Sprint(i, rapid.IntRange(1, 2).Draw(t, "key")))
			table.Callers = append(table.Callers, routing.Caller{Name: model.CallerID(fmt.Sprint(i)), Keys: []routing.KeyDigest{key}})
		}
	}
	return table
}

// expectEqualTables compares tables apart from the order of their items.
func expectEqualTables(t *rapid.T, want, got *routing.Table) {
	if got == nil || got.Version != want.Version || got.Limits != want.Limits ||
		len(got.Routes) != len(want.Routes) || len(got.Services) != len(want.Services) || len(got.Callers) != len(want.Callers) {
		t.Fatalf("the table is %v, not %v", got, want)
	}
	if d := want.Diff(got); len(d.Routes)+len(d.Services)+len(d.Callers) > 0 {
		t.Fatalf("%v differ", d)
	}
}

func putTable(s *state.State, index, version uint64) *state.Result {
	return s.Apply(index, &state.Command{PutTable: &state.PutTable{Table: routing.Table{Version: version, Source: tableSource(index)}}})
}

var _ = Describe("Routing table", func() {
	It("accepts the highest version and acknowledges others without a change", func() {
		s := state.New()
		Expect(putTable(s, 5, 7).TableVersion).To(BeEquivalentTo(7))
		Expect(putTable(s, 6, 3).TableVersion).To(BeEquivalentTo(7))
		Expect(putTable(s, 7, 7).TableVersion).To(BeEquivalentTo(7))
		Expect(s.Table().Source).To(Equal(tableSource(5)))
		Expect(putTable(s, 8, 9).TableVersion).To(BeEquivalentTo(9))
	})

	It("reaches entry instances in deltas, without the source document", func() {
		s := state.New()
		putTable(s, 5, 7)
		d := s.Delta(0)
		Expect(d.Table.To).To(BeEquivalentTo(7))
		encoded, err := cbor.Marshal(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Contains(encoded, []byte("document"))).To(BeFalse())
		Expect(s.Delta(5)).To(BeNil())
		putTable(s, 6, 8)
		Expect(s.Delta(5).Table.To).To(BeEquivalentTo(8))
	})

	It("brings entry instances to the newest table, however far behind they are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := state.New()
			entries := make([]entryTable, 3)
			var index, version uint64
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				index++
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					s = restoredCopyOf(s)
				}
				if rapid.Bool().Draw(t, "another change") {
					s.Apply(index, &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: "a", End: rapid.Bool().Draw(t, "end")}})
				} else {
					version += rapid.Uint64Range(1, 3).Draw(t, "version")
					s.Apply(index, &state.Command{PutTable: &state.PutTable{Table: drawTable(t, version)}})
				}
				entries[rapid.IntRange(0, 2).Draw(t, "entry")].applyDelta(t, s)
			}
			for i := range entries {
				entries[i].applyDelta(t, s)
				if want := s.Table(); want != nil {
					expectEqualTables(t, want, entries[i].table)
				}
			}
		})
	})

	It("sends only the changes of a large table", func() {
		s := state.New()
		large := routing.Table{Version: 1}
		for i := range 1000 {
			large.Services = append(large.Services, routing.Service{Name: model.ServiceID(fmt.Sprint("s", i))})
			large.Routes = append(large.Routes, routing.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i)})
		}
		s.Apply(1, &state.Command{PutTable: &state.PutTable{Table: large}})
		next := large
		next.Version = 2
		next.Routes = slices.Clone(large.Routes)
		next.Routes[3].Timeout = time.Second
		s.Apply(2, &state.Command{PutTable: &state.PutTable{Table: next}})
		d := s.Delta(1).Table
		Expect(d.Routes).To(HaveLen(1))
		Expect(d.RemovedRoutes).To(BeEmpty())
		Expect(d.Services).To(BeEmpty())
	})

	It("survives a snapshot, with evacuations and ordinals", func() {
		s := state.New()
		putTable(s, 5, 7)
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
	It("starts and ends, and a repeated command changes nothing", func() {
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

// zoneCall is a call on the zone "a" as an operator's instance sends it.
type zoneCall struct {
	command  *state.Command
	accepted bool
}

func newZoneCall(s *state.State, id string, end bool) *zoneCall {
	return &zoneCall{command: &state.Command{Evacuate: &state.Evacuate{
		AvailabilityZone: "a", End: end, Call: control.CallID(id), Expected: s.EvacuationIndex("a"),
	}}}
}

func isEvacuated(s *state.State) bool { return len(s.Delta(0).Evacuated) == 1 }

var _ = Describe("Calls on an availability zone", func() {
	It("are refused after a newer call, even one that left the zone as it was", func() {
		s := state.New()
		start := newZoneCall(s, "start", false)
		Expect(s.Apply(1, start.command).Refusal).To(BeNil())
		late := newZoneCall(s, "late end", true)
		again := newZoneCall(s, "start again", false)
		Expect(s.Apply(2, again.command).Refusal).To(BeNil())
		Expect(s.Apply(3, late.command).Refusal.Code).To(Equal(failure.Conflict))
		Expect(isEvacuated(s)).To(BeTrue())
		Expect(s.Apply(4, again.command).Refusal).To(BeNil())
		Expect(s.EvacuationIndex("a")).To(BeEquivalentTo(2))
	})

	It("leave the zone as the newest accepted call says, whatever copies arrive later", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := state.New()
			var calls []*zoneCall
			want := false
			for index := uint64(1); index < 40; index++ {
				if len(calls) == 0 || rapid.Bool().Draw(t, "new call") {
					calls = append(calls, newZoneCall(s, fmt.Sprint(index), rapid.Bool().Draw(t, "end")))
				}
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					s = restoredCopyOf(s)
				}
				arriving := calls[rapid.IntRange(0, len(calls)-1).Draw(t, "arriving")]
				before := s.EvacuationIndex("a")
				accepted := s.Apply(index, arriving.command).Refusal == nil
				if accepted && !arriving.accepted {
					arriving.accepted = true
					want = !arriving.command.Evacuate.End
				}
				if arriving.command.Evacuate.Expected != before && accepted {
					Expect(s.EvacuationIndex("a")).To(Equal(before))
				}
				Expect(isEvacuated(s)).To(Equal(want))
			}
		})
	})

	It("of earlier builds are applied in the order of the log", func() {
		s := state.New()
		s.Apply(1, newZoneCall(s, "start", false).command)
		s.Apply(2, &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: "a", End: true}})
		Expect(isEvacuated(s)).To(BeFalse())
	})

	It("are recorded for a bounded number of zones, and accepted for any", func() {
		s := state.New()
		zone := func(i int) model.AvailabilityZoneID { return model.AvailabilityZoneID(fmt.Sprint("z", i)) }
		for i := range state.MaxZones + 10 {
			Expect(s.Apply(uint64(i+1), &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: zone(i), Call: "c"}}).Refusal).To(BeNil())
		}
		Expect(s.EvacuationIndex(zone(9))).To(BeZero())
		Expect(s.EvacuationIndex(zone(10))).To(BeEquivalentTo(11))
	})
})

var _ = Describe("Requested moves", func() {
	It("are refused after a newer move", func() {
		s := state.New()
		move := func(call, to string, expected model.Revision) *state.Command {
			return &state.Command{StartMove: &state.StartMove{
				Move: rules.Move{Collection: "s", To: model.VersionID(to)}, Call: control.CallID(call), Expected: expected,
			}}
		}
		Expect(s.Apply(1, move("first", "v2", 0)).Refusal).To(BeNil())
		late := move("late", "v4", 1)
		Expect(s.Apply(2, move("second", "v3", 1)).Refusal).To(BeNil())
		Expect(s.Apply(3, late).Refusal.Code).To(Equal(failure.Conflict))
		m, _ := s.Move("s")
		Expect(m.Rule.To).To(BeEquivalentTo("v3"))
	})
})

var _ = Describe("Ordinals", func() {
	It("stay with an instance that registers again with other fields", func() {
		s := state.New()
		for i, id := range []model.InstanceID{"x", "y"} {
			s.Apply(uint64(i+2), &state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: id}}})
		}
		s.Apply(9, &state.Command{PutInstance: &state.PutInstance{Instance: model.Instance{ID: "x", AvailabilityZone: "b"}}})
		Expect(s.Instances()["x"].Ordinal).To(BeEquivalentTo(1))
		Expect(s.Instances()["y"].Ordinal).To(BeEquivalentTo(2))
		Expect(s.HasInstance(model.Instance{ID: "x", AvailabilityZone: "b"})).To(BeTrue())
	})
})

var _ = Describe("A requested move", func() {
	start := func(s *state.State, index uint64, to model.VersionID) {
		request := &state.StartMove{Move: rules.Move{Collection: "s1", From: "v1", To: to}}
		s.Apply(index, &state.Command{StartMove: request})
	}

	It("starts once, however often it is requested, and not again after it was taken back", func() {
		s := state.New()
		start(s, 2, "v2")
		start(s, 3, "v2")
		m, _ := s.Move("s1")
		Expect(m.Revision).To(BeEquivalentTo(2))
		step := &move.Step{Collection: "s1", Revision: 2, Phase: move.PhaseRolledBack}
		Expect(s.Apply(4, &state.Command{StepMove: step}).Refusal).To(BeNil())
		start(s, 5, "v2")
		m, _ = s.Move("s1")
		Expect(m.Phase).To(Equal(move.PhaseRolledBack))
		start(s, 6, "v3")
		m, _ = s.Move("s1")
		Expect(m.Phase).To(Equal(move.PhaseUnderWay))
	})

	It("survives a change of the rules and a snapshot, and reaches entry instances", func() {
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
		Expect(m.Requested).To(BeTrue())
	})
})

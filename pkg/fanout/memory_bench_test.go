package fanout_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

// staticSource is a platform list and a view that never change.
type staticSource struct {
	list *platform.List
	view *view.View
}

func (s *staticSource) List() *platform.List     { return s.list }
func (s *staticSource) View() *view.View         { return s.view }
func (s *staticSource) Lease() view.LeaseState   { return view.LeaseHeld }
func (s *staticSource) LeaseLeft() time.Duration { return time.Second }
func (s *staticSource) Report(view.Evidence)     {}

// newStaticSource lists leaves with three targets each. Nothing listens at the
// addresses of the targets.
func newStaticSource(leaves int) *staticSource {
	s := &staticSource{list: &platform.List{}, view: &view.View{Grants: make(map[model.TargetID]view.Grant)}}
	snapshot := model.Snapshot{Collection: "shopfront", ID: "s1", Sequence: 1}
	for i := range leaves {
		leaf := model.LeafID{Service: "svc", Leaf: i}
		snapshot.Leaves = append(snapshot.Leaves, model.LeafPart{Leaf: leaf, Documents: 1000})
		for slot := range 3 {
			id := model.NewTargetID("shopfront", leaf, slot)
			s.list.Targets = append(s.list.Targets, model.Target{
				ID: id, Collection: "shopfront", Leaf: leaf, Slot: slot,
				Address: netip.MustParseAddrPort("127.0.0.1:1"), AvailabilityZone: "split-a", Version: "41",
			})
			s.view.Grants[id] = view.Grant{Connections: 3}
		}
	}
	s.list.Snapshots = []model.Snapshot{snapshot}
	return s
}

// BenchmarkTargets reports the memory that an instance uses per target, and the
// cost of one refresh of the targets, at 40, 400 and 2000 leaves and at the largest
// size to be supported, 8900 leaves.
func BenchmarkTargets(b *testing.B) {
	for _, leaves := range []int{40, 400, 2000, 8900} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) { benchmarkTargets(b, leaves) })
	}
}

func benchmarkTargets(b *testing.B, leaves int) {
	origin := time.Now()
	source := newStaticSource(leaves)
	before := liveHeapBytes()
	s := fanout.NewService(fanout.Config{
		Settings: &settings.Settings{
			Instance: settings.Instance{ID: "e1", MaxInFlight: 64},
			Collections: []settings.Collection{{
				ID: "shopfront", Services: 1, Leaves: leaves, Slots: 3, Connections: 30, ColdLoad: 2,
				Deadline: settings.Duration(time.Second), HedgeBudget: 0.05,
			}},
		},
		Platform: source, View: source, Reporter: source,
		Now: func() time.Duration { return time.Since(origin) },
	})
	s.Refresh()
	perTarget := float64(liveHeapBytes()-before) / float64(3*leaves)
	for b.Loop() {
		s.Refresh()
	}
	b.ReportMetric(perTarget, "B/target")
	runtime.KeepAlive(s)
}

func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

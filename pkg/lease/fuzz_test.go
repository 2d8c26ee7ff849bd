package lease

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// FuzzApplyReply applies replies of a leader with any content. A holder must not panic,
// and no target that it takes may be one that cannot be used.
func FuzzApplyReply(f *testing.F) {
	table := &routing.Table{
		Version: 1, Services: []routing.Service{{Name: "s", Connections: 1}},
		Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Split: []routing.Weighted{{Service: "s", Weight: 1}}}},
	}
	good := model.Target{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	odd := model.Target{ID: "i\r\n2", Concurrency: -5}
	for _, r := range []wire.RenewalReply{
		{Sequence: 1, Leader: "a"},
		{Sequence: 1, Catalog: &catalog.Delta{Full: true, Changed: []model.Target{good, odd}, Removed: []model.TargetID{"x"}, ReplacedBuckets: []int{-1, 1 << 40}}},
		{Sequence: 1, CostHints: &catalog.HintDelta{Expensive: []catalog.Hint{{Target: "i-1", Cost: 3}}, Cleared: []model.TargetID{"i-1"}}},
		{Sequence: 1, Delta: &state.Delta{To: 1, Table: table.FullDelta()}},
		{Sequence: 1, Session: 5, Grants: &grant.Delta{Sequence: 1, Changes: []grant.Entry{{Target: "i-1", Grant: view.Grant{Connections: -1}}}}},
	} {
		encoded, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var reply wire.RenewalReply
		if cbor.Unmarshal(encoded, &reply) != nil {
			return
		}
		h := newHolder(model.Instance{ID: "e"}, "boot", time.Second, time.Second)
		for n := range 2 {
			h.nextRenewal(0)
			reply.Sequence = uint64(n + 1)
			h.applyReply(time.Millisecond, 0, &reply)
		}
		if h.view.Catalog == nil {
			return
		}
		for _, target := range h.view.Catalog.Targets {
			if err := target.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

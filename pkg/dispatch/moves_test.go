package dispatch

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

var _ = Describe("A service whose traffic moves to a new version", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.add("s", "a", nil)
		f.add("s", "a", nil)
		for id, version := range map[model.TargetID]model.VersionID{"i-0": "v1", "i-1": "v2"} {
			t := f.targets[id]
			t.Version = version
			f.targets[id] = t
		}
	})

	// sendDuringMove sends requests during a move and returns how many each version
	// received.
	sendDuringMove := func(m view.Move) (old, next int) {
		m.From, m.To = "v1", "v2"
		f.publish(func(v *view.View) { v.Moves = map[model.CollectionID]view.Move{"s": m} })
		for i := range 100 {
			Expect(f.do(singleRoute(true), fmt.Sprint(i)).Reply).NotTo(BeNil())
		}
		return len(f.servers["i-0"].Requests()), len(f.servers["i-1"].Requests())
	}

	It("sends the new version its share of requests", func() {
		_, next := sendDuringMove(view.Move{Share: 0.2})
		Expect(next).To(BeNumerically("~", 20, 12))
	})

	It("sends no requests to a version that was rolled back", func() {
		_, next := sendDuringMove(view.Move{Reverted: true})
		Expect(next).To(Equal(0))
	})

	It("sends no requests to the old version once the move is complete", func() {
		old, _ := sendDuringMove(view.Move{Share: 1})
		Expect(old).To(Equal(0))
	})

	It("reports outcomes by version, and sends retries to the old version", func() {
		reports := &evidenceRecorder{}
		f.engine.opts.Reporter = reports
		fake := f.servers["i-1"]
		fake.Stop()
		bad := f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		t := f.targets["i-2"]
		t.Version = "v2"
		f.targets["i-2"] = t
		old, _ := sendDuringMove(view.Move{Share: 0.2})
		Expect(old).To(Equal(100))
		Expect(bad.Requests()).NotTo(BeEmpty())
		Eventually(func() uint64 {
			f.engine.refreshMoves()
			return reports.failures("v2")
		}, 3*time.Second).Should(BeEquivalentTo(len(bad.Requests())))
	})
})

// evidenceRecorder records the evidence that an engine reports.
type evidenceRecorder struct {
	mu       sync.Mutex
	evidence []view.Evidence
}

func (r *evidenceRecorder) Report(e view.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence = append(r.evidence, e)
}

// failures counts the reported failures of a version.
func (r *evidenceRecorder) failures(v model.VersionID) (n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.evidence {
		for _, o := range e.Outcomes {
			if o.Version == v {
				n += o.Failed
			}
		}
	}
	return n
}

func queryRoute(shards ...model.ServiceID) *routing.Route {
	return &routing.Route{
		Name: "query", Host: "h", Prefix: "/q/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Idempotent: true,
		Fanout: &routing.Fanout{Shards: shards, MaxRecords: 2, MinShardShare: 0.6},
	}
}

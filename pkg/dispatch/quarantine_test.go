package dispatch

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// crashRecorder records the target crashes that an engine reports.
type crashRecorder struct {
	mu      sync.Mutex
	crashes []view.TargetCrash
}

func (r *crashRecorder) Report(e view.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, e.Crashes...)
}

func (r *crashRecorder) reported() []view.TargetCrash {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]view.TargetCrash(nil), r.crashes...)
}

var _ = Describe("A request that crashes the targets that run it", func() {
	var f *fixture
	var reports *crashRecorder
	crash := always(exchangetest.Behaviour{Crash: true})

	BeforeEach(func() {
		f = newFixture()
		reports = &crashRecorder{}
		f.engine.opts.Reporter = reports
	})

	shardRoute := func(n int) *routing.Route {
		r := &routing.Route{
			Name: "query", Host: "h", Prefix: "/", Timeout: time.Second, Objective: 150 * time.Millisecond,
			MaxAttempts: 2, Idempotent: true, Fanout: &routing.Fanout{MaxRecords: 5, MinShardShare: 0.5},
		}
		for i := range n {
			r.Fanout.Shards = append(r.Fanout.Shards, model.ServiceID(fmt.Sprint("s", i)))
		}
		return r
	}

	It("is reported with each target that it crashed", func() {
		f.add("s", "a", crash)
		f.add("s", "b", crash)
		f.publish(nil)
		f.do(singleRoute(true), "r1")
		same := HaveField("Suspects", Equal([]model.Fingerprint{fingerprintOf(&exchange.Request{Method: "GET"})}))
		Eventually(reports.reported).Should(ConsistOf(
			And(HaveField("Target", model.TargetID("i-0")), HaveField("NeverAnswered", true), same),
			And(HaveField("Target", model.TargetID("i-1")), HaveField("NeverAnswered", true), same)))
	})

	// The first requests to 20 shards crash one target each. Retries would crash as
	// many more.
	It("is not retried while every connection ends without a reply", func() {
		for i := range 20 {
			f.add(model.ServiceID(fmt.Sprint("s", i)), "a", crash)
			f.add(model.ServiceID(fmt.Sprint("s", i)), "b", crash)
		}
		f.publish(nil)
		Expect(f.do(shardRoute(20), "r1").Err).NotTo(BeNil())
		Expect(f.requests()).To(BeNumerically("<=", 20+maxDisconnects))
	})

	It("is refused as not run once it is quarantined", func() {
		f.add("s", "a", nil)
		f.publish(func(v *view.View) {
			v.Quarantined = map[model.Fingerprint]bool{fingerprintOf(&exchange.Request{Method: "GET"}): true}
		})
		out := f.do(singleRoute(true), "r1")
		Expect(out.Err.Code).To(Equal(failure.Quarantined))
		Expect(out.NotRun()).To(BeTrue())
		Expect(f.requests()).To(BeZero())
	})

	It("is not reported if some target has answered it", func() {
		f.add("s0", "a", nil)
		f.add("s1", "a", crash)
		f.add("s2", "a", crash)
		f.publish(nil)
		f.do(shardRoute(3), "r1")
		Consistently(reports.reported, 200*time.Millisecond).Should(BeEmpty())
	})

	It("is not reported if it was answered earlier", func() {
		f.add("s", "a", func(n int) exchangetest.Behaviour { return exchangetest.Behaviour{Crash: n > 0} })
		f.publish(nil)
		Expect(f.do(singleRoute(true), "r1").Reply).NotTo(BeNil())
		f.do(singleRoute(true), "r2")
		Consistently(reports.reported, 200*time.Millisecond).Should(BeEmpty())
	})

	It("is not reported if its replies are cut off but the target is alive", func() {
		f.add("s", "a", always(exchangetest.Behaviour{TruncateReply: true}))
		f.publish(nil)
		f.do(singleRoute(false), "r1")
		Consistently(reports.reported, 200*time.Millisecond).Should(BeEmpty())
	})
})

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

// deathReports takes the deaths that an engine reports.
type deathReports struct {
	mu     sync.Mutex
	deaths []view.TargetCrash
}

func (r *deathReports) Report(e view.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaths = append(r.deaths, e.Crashes...)
}

func (r *deathReports) reported() []view.TargetCrash {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]view.TargetCrash(nil), r.deaths...)
}

var _ = Describe("A request that ends the targets which run it", func() {
	var f *fleet
	var reports *deathReports
	crash := always(exchangetest.Behaviour{Crash: true})

	BeforeEach(func() {
		f = newFleet()
		reports = &deathReports{}
		f.engine.opts.Reporter = reports
	})

	shards := func(n int) *routing.Route {
		r := &routing.Route{
			Name: "query", Host: "h", Prefix: "/", Timeout: time.Second, Objective: 150 * time.Millisecond,
			MaxAttempts: 2, Idempotent: true, Fanout: &routing.Fanout{Limit: 5, MinCoverage: 0.5},
		}
		for i := range n {
			r.Fanout.Shards = append(r.Fanout.Shards, model.ServiceID(fmt.Sprint("s", i)))
		}
		return r
	}

	It("is reported with each target that it ended", func() {
		f.add("s", "a", crash)
		f.add("s", "b", crash)
		f.publish(nil)
		f.do(orderRoute(true), "r1")
		same := HaveField("Suspects", Equal([]model.Fingerprint{fingerprintOf(&exchange.Request{Method: "GET"})}))
		Eventually(reports.reported).Should(ConsistOf(
			And(HaveField("Target", model.TargetID("i-0")), HaveField("NeverAnswered", true), same),
			And(HaveField("Target", model.TargetID("i-1")), HaveField("NeverAnswered", true), same)))
	})

	// The first requests to twenty shards end a target each; repeats would end as
	// many more.
	It("is not repeated while every target breaks off", func() {
		for i := range 20 {
			f.add(model.ServiceID(fmt.Sprint("s", i)), "a", crash)
			f.add(model.ServiceID(fmt.Sprint("s", i)), "b", crash)
		}
		f.publish(nil)
		Expect(f.do(shards(20), "r1").Err).NotTo(BeNil())
		Expect(f.requests()).To(BeNumerically("<=", 20+brokenBeforeHold))
	})

	It("is refused as not run once it is condemned", func() {
		f.add("s", "a", nil)
		f.publish(func(v *view.View) {
			v.Quarantined = map[model.Fingerprint]bool{fingerprintOf(&exchange.Request{Method: "GET"}): true}
		})
		out := f.do(orderRoute(true), "r1")
		Expect(out.Err.Code).To(Equal(failure.Quarantined))
		Expect(out.NotRun()).To(BeTrue())
		Expect(f.requests()).To(BeZero())
	})

	It("is not taken for one that some target has answered", func() {
		f.add("s0", "a", nil)
		f.add("s1", "a", crash)
		f.add("s2", "a", crash)
		f.publish(nil)
		f.do(shards(3), "r1")
		Consistently(reports.reported, 200*time.Millisecond).Should(BeEmpty())
	})

	It("is not taken for one that was answered earlier", func() {
		f.add("s", "a", func(n int) exchangetest.Behaviour { return exchangetest.Behaviour{Crash: n > 0} })
		f.publish(nil)
		Expect(f.do(orderRoute(true), "r1").Reply).NotTo(BeNil())
		f.do(orderRoute(true), "r2")
		Consistently(reports.reported, 200*time.Millisecond).Should(BeEmpty())
	})

	It("is not taken for one whose answers are lost by targets that live", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Cut: true}))
		f.publish(nil)
		f.do(orderRoute(false), "r1")
		Consistently(reports.reported, 200*time.Millisecond).Should(BeEmpty())
	})
})

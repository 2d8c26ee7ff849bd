package dispatch

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

var _ = Describe("Forward", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("forwards a target's reply", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Body: []byte("x")}))
		f.publish(nil)
		out := f.do(singleRoute(true), "r1")
		Expect(out.Reply).NotTo(BeNil())
		Expect(string(out.Reply.Body)).To(Equal("x"))
	})

	It("forwards a failure reply of the target with its signature", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		out := f.do(singleRoute(false), "r1")
		Expect(out.Reply.Status).To(Equal(500))
		Expect(out.Reply.Signature).NotTo(BeEmpty())
	})

	It("retries a failed idempotent request on another target", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.add("s", "b", nil)
		f.publish(nil)
		for i := range 5 {
			Expect(f.do(singleRoute(true), fmt.Sprint(i)).Reply.Status).To(Equal(http.StatusOK))
		}
	})

	DescribeTable("never sends a non-idempotent request a second time once it may have run",
		func(b exchangetest.Behaviour) {
			f.add("s", "a", always(b))
			f.add("s", "b", always(b))
			f.publish(nil)
			out := f.do(singleRoute(false), "r1")
			Expect(f.requests()).To(Equal(1))
			if out.Err != nil {
				Expect(out.Err.Ran).NotTo(Equal(failure.NotRun))
			}
		},
		Entry("the reply is cut off", exchangetest.Behaviour{TruncateReply: true}),
		Entry("the target fails", exchangetest.Behaviour{Status: 500}),
		Entry("the target is silent", exchangetest.Behaviour{NoReply: true}),
	)

	It("retries a non-idempotent request when the target says that it did not run", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		Expect(f.do(singleRoute(false), "r1").Reply.Status).To(Equal(http.StatusOK))
	})

	It("returns not-run with a Retry-After time when every target refuses", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		f.publish(nil)
		out := f.do(singleRoute(false), "r1")
		Expect(out.Err.Ran).To(Equal(failure.NotRun))
		Expect(out.Err.RetryAfter).To(BeNumerically(">", 0))
	})

	It("counts a request as extra once any earlier one has arrived", func() {
		// 1.2 times budgetSafety leaves one extra request. i-2 is slow, so it is asked
		// last.
		f.engine.opts.RetryBudget = retry.Bound{Window: 10 * time.Second, Slack: 1.2}
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		unreachable := f.add("s", "b", nil)
		last := f.add("s", "c", nil)
		f.publish(nil)
		unreachable.Stop()
		for _, t := range f.engine.registry.stateOf(f.views.View).services["s"].own {
			if t.ID == "i-2" {
				t.health.slowness = 20
			}
		}
		f.do(singleRoute(true), "r1")
		Expect(last.Requests()).To(BeEmpty())
	})

	It("records the result of each target request in its trace", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		f.add("s", "b", always(exchangetest.Behaviour{TruncateReply: true}))
		f.publish(nil)
		out := f.do(singleRoute(false), "r1")
		Expect(out.Err).NotTo(BeNil())
		Expect(out.Trace.Unanswered).To(HaveLen(1))
		Expect(out.Trace.Unanswered[0]).To(MatchRegexp(`^s=i-0@\d+:shed\+i-1@\d+:broken$`))
		Expect(out.Trace.LeaseLeft).To(Equal(time.Second))
	})

	It("refuses at once when no target is known", func() {
		f.publish(nil)
		began := time.Now()
		Expect(f.do(singleRoute(true), "r1").Err.Ran).To(Equal(failure.NotRun))
		Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("stops using a process that says it is not the target", func() {
		fake := f.add("s", "a", nil)
		other := f.targets["i-0"]
		other.ID = "i-gone"
		f.targets = map[model.TargetID]model.Target{"i-gone": other}
		f.publish(nil)
		Expect(f.do(singleRoute(true), "r1").Err.Ran).To(Equal(failure.NotRun))
		Expect(f.do(singleRoute(true), "r2").Err.Ran).To(Equal(failure.NotRun))
		Expect(fake.Requests()).To(HaveLen(1))
	})

	It("hedges an idempotent request whose target stalls", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		out := f.do(singleRoute(true), "r1")
		Expect(out.Reply).NotTo(BeNil())
		Expect(out.Trace.Hedged).To(Equal(1))
	})

	It("sends nothing to targets that are leaving or in an evacuated availability zone", func() {
		leaving := f.add("s", "a", nil)
		t := f.targets["i-0"]
		t.Leaving = true
		f.targets["i-0"] = t
		evacuated := f.add("s", "b", nil)
		f.add("s", "c", nil)
		f.publish(func(v *view.View) { v.Evacuated = map[model.AvailabilityZoneID]bool{"b": true} })
		for i := range 10 {
			Expect(f.do(singleRoute(true), fmt.Sprint(i)).Reply).NotTo(BeNil())
		}
		Expect(leaving.Requests()).To(BeEmpty())
		Expect(evacuated.Requests()).To(BeEmpty())
	})

	It("reports in its status why targets get no requests", func() {
		f.add("s", "a", nil)
		f.add("s", "b", nil)
		f.add("s", "c", nil).Stop()
		leaving := f.targets["i-0"]
		leaving.Leaving = true
		f.targets["i-0"] = leaving
		f.publish(func(v *view.View) { v.Evacuated = map[model.AvailabilityZoneID]bool{"b": true} })
		Expect(f.do(singleRoute(true), "r1").Err).NotTo(BeNil())
		s := f.engine.Status()
		Expect(s.TableVersion).To(BeEquivalentTo(1))
		Expect(s.Targets).To(HaveExactElements(
			HaveField("Unused", "leaving"), HaveField("Unused", "evacuated"), HaveField("Unused", "unreachable")))
		Expect(s.Budgets).To(HaveKey(model.ServiceID("s")))
	})

	It("divides requests by weight", func() {
		f.add("s", "a", nil)
		f.add("t", "a", nil)
		f.publish(nil)
		route := singleRoute(true)
		route.Split = []routing.Weighted{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}
		for i := range 40 {
			f.do(route, fmt.Sprint(i))
		}
		Expect(f.servers["i-0"].Requests()).To(HaveLen(30))
		Expect(f.servers["i-1"].Requests()).To(HaveLen(10))
	})
})

var _ = Describe("A call", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("that cannot be answered before its caller gives up is refused before anything is sent", func() {
		f.add("s", "a", nil)
		f.publish(nil)
		for _, route := range []*routing.Route{singleRoute(true), queryRoute("s")} {
			Expect(f.doWithin(3*time.Millisecond, route, "q").Err.Ran).To(Equal(failure.NotRun))
		}
		Expect(f.requests()).To(BeZero())
	})

	// A target that falls silent does not reset its connections. Its route allows one
	// attempt, which no longer counts once the target has ended.
	It("is sent to another target once the first one is no longer listed", func() {
		silent := f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.publish(nil)
		route := singleRoute(true)
		route.MaxAttempts = 1
		time.AfterFunc(100*time.Millisecond, func() {
			defer GinkgoRecover()
			delete(f.targets, silent.ID)
			other, err := exchangetest.Start("other", nil)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(other.Stop)
			f.list(other, "s", "a")
			f.publish(nil)
		})
		Expect(f.do(route, "q").Reply).NotTo(BeNil())
	})

	It("that may run once is not sent again though its target is no longer listed", func() {
		silent := f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
		other := f.add("s", "a", nil)
		listed := f.targets[other.ID]
		delete(f.targets, other.ID)
		f.publish(nil)
		time.AfterFunc(100*time.Millisecond, func() {
			delete(f.targets, silent.ID)
			f.targets = map[model.TargetID]model.Target{other.ID: listed}
			f.publish(nil)
		})
		Expect(f.do(singleRoute(false), "q").Err.Ran).To(Equal(failure.Unknown))
		Expect(other.Requests()).To(BeEmpty())
	})
})

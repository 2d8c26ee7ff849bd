package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

var _ = Describe("A call", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("that cannot be answered before its caller gives up is refused before anything is sent", func() {
		f.add("s", "a", nil)
		f.publish(nil)
		for _, route := range []*routing.Route{singleRoute(true), queryRoute("s")} {
			c := &Call{Request: &exchange.Request{ID: "q", Method: "GET"}, Route: route, Arrived: time.Now(), Timeout: 3 * time.Millisecond}
			serve := f.engine.Forward
			if route.Fanout != nil {
				serve = f.engine.Query
			}
			out := serve(context.Background(), c)
			Expect(out.Err.Ran).To(Equal(failure.NotRun))
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

package dispatch

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/pool"
)

var _ = Describe("notice", func() {
	reply := func(r exchange.Reply) pool.Result { return pool.Result{Reply: &r} }

	It("allows no request to a process that is leaving, until it has ended or long after", func() {
		var n notice
		n.record(time.Second, reply(exchange.Reply{Status: 200, Leaving: true}))
		Expect(n.allows(time.Second)).To(BeFalse())
		// A reply that was sent before may arrive later.
		n.record(2*time.Second, reply(exchange.Reply{Status: 200}))
		Expect(n.allows(5 * time.Minute)).To(BeFalse())
		Expect(n.allows(time.Second + maxLeaving)).To(BeTrue())
		n.record(3*time.Second, pool.Result{Err: fmt.Errorf("connect: %w: %w", pool.ErrNotSent, syscall.ECONNREFUSED)})
		Expect(n.allows(3 * time.Second)).To(BeTrue())
	})

	It("allows no request until the longest pause that was asked for has passed", func() {
		var n notice
		n.record(0, reply(exchange.Reply{Status: 503, RetryAfter: 5 * time.Second}))
		n.record(time.Second, reply(exchange.Reply{Status: 503, RetryAfter: time.Second}))
		Expect(n.allows(5*time.Second - 1)).To(BeFalse())
		Expect(n.pauseLeft(time.Second)).To(Equal(4 * time.Second))
		Expect(n.allows(5 * time.Second)).To(BeTrue())
	})

	It("bounds a pause", func() {
		var n notice
		n.record(0, reply(exchange.Reply{Status: 503, RetryAfter: 24 * time.Hour}))
		Expect(n.allows(maxPause - 1)).To(BeFalse())
		Expect(n.allows(maxPause)).To(BeTrue())
	})
})

var _ = Describe("A target that states what it wants", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("gets no request after it has stated that it is leaving", func() {
		leaving := f.add("s", "a", always(exchangetest.Behaviour{Leaving: true}))
		other := f.add("s", "a", nil)
		f.publish(nil)
		for i := range 30 {
			Expect(f.do(singleRoute(true), fmt.Sprint(i)).Reply).NotTo(BeNil())
		}
		Expect(len(leaving.Requests())).To(BeNumerically("<=", 1))
		Expect(len(other.Requests())).To(BeNumerically(">=", 29))
	})

	It("gets requests again as another process, though the address is the same", func() {
		t := f.add("s", "a", func(n int) exchangetest.Behaviour { return exchangetest.Behaviour{Leaving: n == 0} })
		f.publish(nil)
		Expect(f.do(singleRoute(true), "q1").Reply).NotTo(BeNil())
		Expect(f.do(singleRoute(true), "q2").Err).NotTo(BeNil())
		listed := f.targets[t.ID]
		listed.Born = 1
		f.targets[t.ID] = listed
		f.publish(nil)
		Expect(f.do(singleRoute(true), "q3").Reply).NotTo(BeNil())
	})

	It("gets no request during the pause that it has asked for, not even hedges and retries", func() {
		paused := f.add("s", "a", always(exchangetest.Behaviour{NotRun: true, RetryAfter: 5 * time.Second}))
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		for i := range 20 {
			f.do(singleRoute(true), fmt.Sprint(i))
		}
		Expect(len(paused.Requests())).To(BeNumerically("<=", 1))
	})

	It("makes a call return once the first pause has passed if all targets are paused", func() {
		for _, pause := range []time.Duration{9 * time.Second, 4 * time.Second} {
			f.add("s", "a", always(exchangetest.Behaviour{NotRun: true, RetryAfter: pause}))
		}
		f.publish(nil)
		f.do(singleRoute(true), "q1")
		out := f.do(singleRoute(true), "q2")
		Expect(out.Err.Ran).To(Equal(failure.NotRun))
		Expect(out.Err.RetryAfter).To(BeNumerically("~", 4*time.Second, time.Second))
	})

	It("is left out of a query that needs no part of it, or else the query is refused at once", func() {
		f.add("x", "a", nil)
		f.add("y", "a", nil)
		paused := f.add("z", "a", always(exchangetest.Behaviour{NotRun: true, RetryAfter: 5 * time.Second}))
		f.publish(nil)
		route := queryRoute("x", "y", "z")
		route.Fanout.MinShardShare = 0.6
		for i := range 5 {
			Expect(f.do(route, fmt.Sprint(i)).Answer.Missing).To(Equal(1))
		}
		Expect(paused.Requests()).To(HaveLen(1))
		route.Fanout.MinShardShare = 1
		out := f.do(route, "all")
		Expect(out.Err.Ran).To(Equal(failure.NotRun))
		Expect(out.Err.RetryAfter).To(BeNumerically("~", 5*time.Second, time.Second))
	})
})

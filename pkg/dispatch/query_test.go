package dispatch

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
)

var _ = Describe("Query", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	record := func(c byte) []byte {
		b := make([]byte, 16)
		b[0] = c
		return b
	}

	// The query's time may be up before its first request is sent.
	It("says not-run when it ends before any target was asked", func() {
		f.add("x", "a", nil)
		f.publish(nil)
		call := &Call{
			Request: &exchange.Request{ID: "q1", Method: "GET"}, Route: queryRoute("x"),
			Arrived: time.Now(), Timeout: deadlineMargin + 50*time.Millisecond,
		}
		f.engine.registry.stateOf(f.views.View).services["x"].own[0].pool.Close()
		Expect(f.engine.Query(context.Background(), call).Err.Ran).To(Equal(failure.NotRun))
	})

	// When targets crash, the first request to each fails since its machine refuses
	// the connection. Sending it to another target must not use the retry budget.
	It("asks another target without using the retry budget when one cannot be reached", func() {
		f.engine.opts.RetryBudget = retry.Bound{Window: 10 * time.Second}
		f.add("x", "a", nil).Stop()
		f.add("x", "b", always(exchangetest.Behaviour{Body: record(1)}))
		f.publish(nil)
		Expect(f.do(queryRoute("x"), "q1").Err).To(BeNil())
	})

	It("counts only targets that may have run a request against its attempts", func() {
		f.add("x", "a", nil).Stop()
		for range 2 {
			f.add("x", "b", always(exchangetest.Behaviour{Status: 500}))
		}
		f.publish(nil)
		f.do(queryRoute("x"), "q1")
		Expect(f.servers["i-1"].Requests()).NotTo(BeEmpty())
		Expect(f.servers["i-2"].Requests()).NotTo(BeEmpty())
	})

	It("merges one part of each shard", func() {
		for i, s := range []model.ServiceID{"x", "y", "z"} {
			f.add(s, "a", always(exchangetest.Behaviour{Body: record(byte(i + 1))}))
		}
		f.publish(nil)
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Err).To(BeNil())
		Expect(out.Answer.Signatures).To(HaveLen(3))
		Expect(out.Answer.Missing).To(Equal(0))
		Expect(out.Answer.Records).To(Equal(append(record(3), record(2)...)))
	})

	It("hedges a shard whose target stalls", func() {
		f.add("x", "a", nil)
		f.add("x", "b", nil)
		f.add("y", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.add("y", "b", nil)
		f.publish(nil)
		out := f.do(queryRoute("x", "y"), "q1")
		Expect(out.Answer.Missing).To(Equal(0))
		Expect(out.Trace.Hedged).To(BeNumerically(">=", 1))
	})

	It("does not count a signed failure as a part", func() {
		f.add("x", "a", nil)
		f.add("y", "a", nil)
		f.add("z", "a", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Answer.Missing).To(Equal(1))
	})

	It("refuses at once with not-run when too few shards have a target", func() {
		fake := f.add("x", "a", nil)
		f.publish(nil)
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Err.Ran).To(Equal(failure.NotRun))
		Expect(out.Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(fake.Requests()).To(BeEmpty())
	})

	It("stays within the retry budget when every target fails", func() {
		f.engine.opts.RetryBudget = retry.Bound{Window: 10 * time.Second, Ratio: 0, Slack: 4}
		f.add("x", "a", always(exchangetest.Behaviour{Status: 500}))
		f.add("x", "b", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		route := queryRoute("x")
		route.Timeout = 300 * time.Millisecond
		for i := range 6 {
			f.do(route, fmt.Sprint(i))
		}
		Expect(f.requests()).To(BeNumerically("<=", 6+4))
	})

	It("does not let one slow target set the usual latency", func() {
		s := newRouteStats(time.Second)
		for i := range statsWindow {
			latency := 10 * time.Millisecond
			if i%4 == 0 {
				latency = 500 * time.Millisecond
			}
			s.add(latency)
		}
		Expect(s.usual()).To(Equal(10 * time.Millisecond))
	})
})

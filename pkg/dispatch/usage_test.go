package dispatch

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/model"
)

// usageCounts is a usage.Recorder that counts the requests of each caller.
type usageCounts struct {
	mu   sync.Mutex
	runs map[model.CallerID]int
}

func (u *usageCounts) RecordRun(caller model.CallerID, _ time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[caller]++
}

func (u *usageCounts) of(caller model.CallerID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[caller]
}

// Guards against counts that differ from what the targets ran.
var _ = Describe("usage of a caller", func() {
	var (
		f       *fixture
		counted *usageCounts
	)
	BeforeEach(func() {
		f = newFixture()
		counted = &usageCounts{runs: make(map[model.CallerID]int)}
		f.engine.opts.Usage = counted
	})
	forward := func(caller model.CallerID) {
		c := &Call{Request: &exchange.Request{ID: "r", Method: "GET"}, Route: singleRoute(true), Arrived: time.Now(), Timeout: time.Second, Caller: caller}
		f.engine.Forward(GinkgoT().Context(), c)
	}

	DescribeTable("counts each call that a target may have run once",
		func(b exchangetest.Behaviour, runs int) {
			f.add("s", "a", always(b))
			f.add("s", "b", always(b))
			f.publish(nil)
			forward("ana")
			Eventually(func() int { return counted.of("ana") }).Should(Equal(runs))
			forward("")
			Consistently(func() int { return counted.of("") }, "50ms").Should(BeZero())
		},
		Entry("answered", exchangetest.Behaviour{}, 1),
		Entry("failed, and repeated", exchangetest.Behaviour{Status: 500}, 1),
		Entry("cut off, and repeated", exchangetest.Behaviour{TruncateReply: true}, 1),
		Entry("not run", exchangetest.Behaviour{Status: 503, NotRun: true}, 0),
		Entry("sent to another target", exchangetest.Behaviour{Status: 421, WrongTarget: true}, 0),
	)

	It("counts none that was not sent", func() {
		f.add("s", "a", nil).Stop()
		f.publish(nil)
		forward("ana")
		Consistently(func() int { return counted.of("ana") }, "50ms").Should(BeZero())
	})
})

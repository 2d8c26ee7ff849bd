package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/routing"
)

// logBuffer collects the log of all specs and copies it to GinkgoWriter, which
// prints it for specs that fail.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// specLog is shared by all specs, since targets and calls of earlier specs may still
// write to the log.
var specLog logBuffer

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text.Write(p)
	return GinkgoWriter.Write(p)
}

// linesOf returns the fields of a request's log lines for an event, in order.
func (b *logBuffer) linesOf(id string, event events.Number) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for line := range strings.Lines(b.text.String()) {
		var l struct{ Fields map[string]any }
		Expect(json.Unmarshal([]byte(line), &l)).To(Succeed(), line)
		if l.Fields["event"] == event.String() && l.Fields["request"] == id {
			found = append(found, l.Fields)
		}
	}
	return found
}

var _ = Describe("The log of a call", func() {
	var f *fixture
	shardRoute := func() *routing.Route {
		return &routing.Route{
			Name: "query", Host: "h", Prefix: "/", Timeout: time.Second, Objective: 150 * time.Millisecond,
			MaxAttempts: 2, Idempotent: true,
			Fanout: &routing.Fanout{Shards: []model.ServiceID{"x", "y"}, MaxRecords: 5, MinShardShare: 0.5},
		}
	}

	BeforeEach(func() { f = newFixture() })

	It("reports a request when it is admitted", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.publish(nil)
		go f.do(singleRoute(false), "admitted")
		Eventually(func() []map[string]any { return specLog.linesOf("admitted", events.CallAdmitted) }).Should(ContainElement(And(
			HaveKeyWithValue("request", "admitted"), HaveKeyWithValue("tableVersion", 1.0), HaveKeyWithValue("leaseMilliseconds", 1000.0))))
		Eventually(func() []map[string]any { return specLog.linesOf("admitted", events.CallFailed) }).Should(BeEmpty())
	})

	It("reports a hedge with the reason for it", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		f.do(singleRoute(true), "hedged")
		Expect(specLog.linesOf("hedged", events.ExtraRequestSent)).To(ContainElement(And(
			HaveKeyWithValue("reason", "hedge"), HaveKeyWithValue("target", "i-1"),
			HaveKeyWithValue("earlier", MatchRegexp(`^s=i-0@\d+:pending$`)), HaveKey("budget"), HaveKey("cost"))))
	})

	It("reports a retry that the retry budget denies", func() {
		f.engine.opts.RetryBudget = retry.Bound{Window: 10 * time.Second, Slack: 0}
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.add("s", "b", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		f.do(singleRoute(true), "denied")
		Expect(specLog.linesOf("denied", events.ExtraRequestDenied)).To(ContainElement(And(
			HaveKeyWithValue("reason", "repeat"), HaveKeyWithValue("budget", BeNumerically("<", 1)))))
	})

	It("reports the pending requests of a partial answer", func() {
		f.add("x", "a", nil)
		f.add("y", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.publish(nil)
		out := f.do(shardRoute(), "partial")
		Expect(out.Answer.Missing).To(Equal(1))
		Expect(specLog.linesOf("partial", events.RequestSent)).To(ContainElement(And(
			HaveKeyWithValue("service", "y"), HaveKeyWithValue("target", "i-1"), HaveKeyWithValue("result", resultPending))))
	})

	It("reports that the objective has passed while coverage is too low", func() {
		f.add("x", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.add("y", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.publish(nil)
		f.do(shardRoute(), "late")
		Expect(specLog.linesOf("late", events.CallLate)).To(HaveLen(1))
		Expect(specLog.linesOf("late", events.CallLate)[0]).To(HaveKeyWithValue("waiting", 2.0))
	})
})

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

// logBuffer takes the log of a spec.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// fieldsOf returns the fields of the lines with an event, in order.
func (b *logBuffer) fieldsOf(event events.Number) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for line := range strings.Lines(b.text.String()) {
		var l struct{ Fields map[string]any }
		Expect(json.Unmarshal([]byte(line), &l)).To(Succeed(), line)
		if l.Fields["event"] == event.String() {
			found = append(found, l.Fields)
		}
	}
	return found
}

func captureLog() *logBuffer {
	b := &logBuffer{}
	Expect(events.Setup(b, "json", "info")).To(Succeed())
	DeferCleanup(func() { Expect(events.Setup(GinkgoWriter, "text", "info")).To(Succeed()) })
	return b
}

var _ = Describe("The log of decisions", func() {
	var f *fleet
	var log *logBuffer
	shards := func() *routing.Route {
		return &routing.Route{
			Name: "query", Host: "h", Prefix: "/", Timeout: time.Second, Objective: 150 * time.Millisecond,
			MaxAttempts: 2, Idempotent: true,
			Fanout: &routing.Fanout{Shards: []model.ServiceID{"x", "y"}, Limit: 5, MinCoverage: 0.5},
		}
	}

	BeforeEach(func() {
		f = newFleet()
		log = captureLog()
	})

	It("tells of a request when work on it begins", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Silent: true}))
		f.publish(nil)
		go f.do(orderRoute(false), "r1")
		Eventually(func() []map[string]any { return log.fieldsOf(events.CallAdmitted) }).Should(ContainElement(And(
			HaveKeyWithValue("request", "r1"), HaveKeyWithValue("tableVersion", 1.0), HaveKeyWithValue("leaseMilliseconds", 1000.0))))
		Eventually(func() []map[string]any { return log.fieldsOf(events.CallFailed) }).Should(BeEmpty())
	})

	It("tells of a hedge with what decided it", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Silent: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		f.do(orderRoute(true), "r1")
		Expect(log.fieldsOf(events.ExtraSent)).To(ContainElement(And(
			HaveKeyWithValue("reason", "hedge"), HaveKeyWithValue("target", "i-1"),
			HaveKeyWithValue("earlier", MatchRegexp(`^s=i-0@\d+:pending$`)), HaveKey("budget"), HaveKey("cost"))))
	})

	It("tells of a repeat that the retry budget denies", func() {
		f.engine.opts.Extra = retry.Bound{Window: 10 * time.Second, Slack: 0}
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.add("s", "b", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		f.do(orderRoute(true), "r1")
		Expect(log.fieldsOf(events.ExtraDenied)).To(ContainElement(And(
			HaveKeyWithValue("reason", "repeat"), HaveKeyWithValue("budget", BeNumerically("<", 1)))))
	})

	It("tells of the requests of a partial answer", func() {
		f.add("x", "a", nil)
		f.add("y", "a", always(exchangetest.Behaviour{Silent: true}))
		f.publish(nil)
		out := f.do(shards(), "r1")
		Expect(out.Answer.Missing).To(Equal(1))
		Expect(log.fieldsOf(events.RequestSent)).To(ContainElement(And(
			HaveKeyWithValue("service", "y"), HaveKeyWithValue("target", "i-1"), HaveKeyWithValue("result", fatePending))))
	})

	It("tells that the objective has passed while too little is there", func() {
		f.add("x", "a", always(exchangetest.Behaviour{Silent: true}))
		f.add("y", "a", always(exchangetest.Behaviour{Silent: true}))
		f.publish(nil)
		f.do(shards(), "r1")
		Expect(log.fieldsOf(events.CallLate)).To(HaveLen(1))
		Expect(log.fieldsOf(events.CallLate)[0]).To(HaveKeyWithValue("waiting", 2.0))
	})
})

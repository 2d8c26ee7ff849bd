package replica_test

import (
	"bytes"
	"encoding/json"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
)

// eventLog collects the log lines of a spec.
type eventLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// collectEvents writes events to the returned log until the spec ends.
func collectEvents() *eventLog {
	l := &eventLog{}
	Expect(events.Setup(l, "json", "info")).To(Succeed())
	DeferCleanup(func() { Expect(events.Setup(GinkgoWriter, "json", "info")).To(Succeed()) })
	return l
}

func (l *eventLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// with returns the fields of the lines with event n.
func (l *eventLog) with(n events.Number) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for line := range bytes.Lines(l.text.Bytes()) {
		var entry struct{ Fields map[string]any }
		Expect(json.Unmarshal(line, &entry)).To(Succeed())
		if entry.Fields["event"] == n.String() {
			found = append(found, entry.Fields)
		}
	}
	return found
}

var _ = Describe("A member without a leader", Serial, func() {
	// Guards against a group without a leader whose logs don't say who refuses whom.
	It("logs what the voters answered", func() {
		log := collectEvents()
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		a, b, c := g.members["a"].Status().Self, g.members["b"].Status().Self, g.members["c"].Status().Self
		g.stop("b")
		g.stop("c")
		var fields map[string]any
		Eventually(func() bool {
			for _, f := range log.with(events.NoLeader) {
				if f["self"] == a.String() {
					fields = f
				}
			}
			return fields != nil
		}, waitTimeout, heartbeat).Should(BeTrue())
		Expect(fields["canCampaign"]).To(BeTrue())
		Expect(fields["voters"]).To(ConsistOf(a.String(), b.String(), c.String()))
		Expect(fields["answers"]).To(ConsistOf(
			HavePrefix(b.String()+": "), HavePrefix(c.String()+": "),
		))
		Expect(fields["answers"]).To(HaveEach(ContainSubstring("no answer to")))
	})
})

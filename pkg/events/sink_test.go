package events_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
)

// buffer is a writer that is safe for concurrent reads.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSuffix(b.text.String(), "\n"), "\n")
}

var _ = Describe("Sink", Ordered, func() {
	AfterAll(func() { Expect(events.Setup(GinkgoWriter, "json", "info")).To(Succeed()) })

	It("writes events in order, with the time at which they were emitted", func() {
		var out buffer
		sink := events.NewSink(&out)
		Expect(events.Setup(sink, "json", "info")).To(Succeed())
		began := time.Now()
		for revision := range 3 {
			events.Emit(events.RulesInForce, revision)
		}
		emitted := time.Now()
		time.Sleep(20 * time.Millisecond)
		sink.Flush()
		lines := out.lines()
		Expect(lines).To(HaveLen(3))
		for i, line := range lines {
			var l struct {
				Fields    map[string]any
				Timestamp time.Time
			}
			Expect(json.Unmarshal([]byte(line), &l)).To(Succeed())
			Expect(l.Fields).To(HaveKeyWithValue("revision", float64(i)))
			Expect(l.Timestamp).To(And(BeTemporally(">=", began), BeTemporally("<=", emitted)))
		}
	})

	// A pipe without a reader buffers 64 KiB and then blocks its writer.
	It("never blocks on a full pipe, and reports the number of dropped lines", func() {
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reader.Close)
		Expect(events.Setup(events.NewSink(writer), "json", "info")).To(Succeed())
		began := time.Now()
		for range 20 {
			for range 1000 {
				events.Emit(events.RulesInForce, 1)
			}
			time.Sleep(10 * time.Millisecond)
		}
		Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))

		var out buffer
		go func() {
			text := make([]byte, 1<<16)
			for {
				n, err := reader.Read(text)
				_, _ = out.Write(text[:n])
				if err != nil {
					return
				}
			}
		}()
		Eventually(out.lines, 5*time.Second).Should(ContainElement(ContainSubstring(`"event":"RT1104"`)))
		Expect(writer.Close()).To(Succeed())
	})

	It("bounds the bytes written per second", func() {
		var out buffer
		sink := events.NewSink(&out)
		Expect(events.Setup(sink, "json", "info")).To(Succeed())
		for range 20 {
			for range 1000 {
				events.Emit(events.RulesInForce, 1)
			}
			sink.Flush()
		}
		out.mu.Lock()
		defer out.mu.Unlock()
		Expect(out.text.Len()).To(BeNumerically("<", 1<<20))
	})
})

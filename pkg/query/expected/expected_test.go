package expected_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/query/expected"
)

func TestExpected(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "expected")
}

const ms = time.Millisecond

// replies records replies 4 s apart, as one instance of a large fleet gets them, of a
// target whose work takes base and, in 15 of 100 cases, 2.5 times as long. It returns the
// time of the last one.
func replies(e *expected.Estimate, base float64, count int) time.Duration {
	random := rand.New(rand.NewPCG(7, 11))
	now := time.Duration(0)
	for range count {
		now += 4 * time.Second
		pace := base
		if random.Float64() < 0.15 {
			pace *= 2.5
		}
		e.ReportPace(now, pace)
		e.RecordLatency(now, now-8*ms, pace)
	}
	return now
}

var _ = Describe("Estimate", func() {
	// Guards against an old report of a slow period being held against a target.
	It("uses a report for as long as a slow period lasts", func() {
		var e expected.Estimate
		now := replies(&e, 1, 20) + 4*time.Second
		e.ReportPace(now, 2.5)
		Expect(e.Pace(now)).To(BeNumerically("~", 2.5, 0.01))
		Expect(e.Pace(now + 100*ms)).To(And(BeNumerically(">", 2), BeNumerically("<", 2.4)))
		Expect(e.Pace(now + 600*ms)).To(BeNumerically("~", 1, 0.15))
	})

	// Guards against slow periods hiding which target is the fastest one.
	It("learns fixed differences between targets from few replies", func() {
		var fast, usual, slow expected.Estimate
		now := max(replies(&fast, 0.8, 12), replies(&usual, 1, 12), replies(&slow, 1.3, 12)) + 4*time.Second
		Expect(fast.Slowness(now)).To(BeNumerically("<", usual.Slowness(now)-0.1))
		Expect(usual.Slowness(now)).To(BeNumerically("<", slow.Slowness(now)-0.1))
	})

	// A target that has just paused works for seconds; avoiding it overloads the others.
	It("does not expect a pause to repeat", func() {
		var e expected.Estimate
		now := replies(&e, 1, 12)
		before := e.Slowness(now + time.Second)
		paused := now + 4*time.Second
		for i := range 3 {
			end := paused + 200*ms + time.Duration(i)*ms
			e.ReportPace(end, 1)
			e.RecordLatency(end, paused+time.Duration(i)*ms, 25)
		}
		Expect(e.Slowness(paused + time.Second)).To(BeNumerically("~", before, 0.2))
	})

	It("raises the estimate of a target whose replies are late again and again, and forgets it", func() {
		var e expected.Estimate
		now := replies(&e, 1, 12)
		for range 4 {
			now += 4 * time.Second
			e.ReportPace(now, 1)
			e.RecordLatency(now, now-80*ms, 10)
		}
		Expect(e.Slowness(now)).To(BeNumerically(">", 4))
		Expect(e.Slowness(now + time.Minute)).To(BeNumerically("<", 2))
	})

	It("knows nothing of a target that no longer reports a pace", func() {
		var e expected.Estimate
		replies(&e, 1.3, 12)
		Expect(e.Known()).To(BeTrue())
		e.ReportPace(time.Minute, 0)
		Expect(e).To(Equal(expected.Estimate{}))
	})
})

package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The estimate of a path", func() {
	const (
		interval = 175 * time.Millisecond
		latency  = interval
	)
	// Guards against an estimate that swings between messages that are too large and ones
	// that are needlessly small.
	ginkgo.DescribeTable("settles at a window that takes a half to two of its intervals", func(pathRate int) {
		e := newPathEstimate(DefaultMaxTransferRate, interval)
		for round := range 100 {
			took := time.Duration(float64(e.window) / float64(pathRate) * float64(time.Second))
			if took > latency+e.transferTime(e.window) {
				e.lower()
			} else {
				e.recordArrival(e.window, took, latency)
			}
			if round > 50 {
				Expect(took).To(And(BeNumerically(">=", interval/2), BeNumerically("<=", 2*interval)))
			}
		}
	},
		ginkgo.Entry("at 20 kB/s", 20_000),
		ginkgo.Entry("at 100 kB/s", 100_000),
		ginkgo.Entry("at 500 kB/s", 500_000),
	)

	// Guards against an estimate that only falls while commands are smaller than the window.
	ginkgo.It("recovers by small messages that arrive at once", func() {
		e := newPathEstimate(DefaultMaxTransferRate, interval)
		for range 3 {
			e.lower()
		}
		Expect(e.rate).To(Equal(DefaultMaxTransferRate / 8))
		for range 3 {
			e.recordArrival(e.window/10, time.Millisecond, latency)
		}
		Expect(e.rate).To(Equal(DefaultMaxTransferRate))
	})

	ginkgo.It("does not fall to nothing", func() {
		e := newPathEstimate(DefaultMaxTransferRate, interval)
		for range 50 {
			e.lower()
		}
		Expect(e.rate).To(BeNumerically(">=", minTransferRate/2))
		Expect(e.window).To(BeNumerically(">", 0))
	})
})

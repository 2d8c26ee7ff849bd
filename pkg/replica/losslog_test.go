package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The log of tolerated losses", func() {
	// Guards against a line for each short change, and against lines that repeat.
	It("has one entry when the figure has stood below the usual, and one when it is usual again", func() {
		var l lossLog
		var logged []bool
		see := func(from, to time.Duration, losses int) {
			for now := from; now < to; now += 100 * time.Millisecond {
				if due, low := l.observe(now, tolerance{voters: 5, losses: losses, usual: 2}); due {
					logged = append(logged, low)
				}
			}
		}
		see(0, 5*time.Second, 2)
		see(5*time.Second, 5500*time.Millisecond, 1)
		see(5500*time.Millisecond, 10*time.Second, 2)
		Expect(logged).To(BeEmpty())
		see(10*time.Second, 20*time.Second, 1)
		Expect(logged).To(Equal([]bool{true}))
		see(20*time.Second, 30*time.Second, 0)
		see(30*time.Second, 40*time.Second, 2)
		Expect(logged).To(Equal([]bool{true, true, false}))
	})

	It("takes a group of two for short of voters, and one of one not", func() {
		Expect(tolerance{voters: 2, losses: 0, usual: 0}.isLow()).To(BeTrue())
		Expect(tolerance{voters: 1, losses: 0, usual: 0}.isLow()).To(BeFalse())
	})
})

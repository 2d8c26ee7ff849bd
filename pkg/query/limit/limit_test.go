package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/query/limit"
)

const usual = 10 * time.Millisecond

var _ = Describe("the limit of a target", func() {
	It("stays within the granted connections, and above zero if there are any", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var s limit.State
			now := time.Duration(0)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0:
					s.SetMax(rapid.IntRange(0, 30).Draw(t, "max"))
				case 1:
					s.RecordShed(now)
				case 2:
					s.RecordAnswer(rapid.IntRange(1, 30).Draw(t, "inFlight"), 8*usual, usual, now)
				case 3:
					s.RecordAnswer(rapid.IntRange(1, 30).Draw(t, "inFlight"), usual, usual, now)
				}
				if v := s.Value(); v > s.Max() || (s.Max() > 0 && v < 1) {
					t.Fatalf("limit %d of %d", v, s.Max())
				}
			}
		})
	})

	It("decreases and backs off when the target sheds load, and recovers", func() {
		var s limit.State
		s.SetMax(10)
		s.RecordShed(time.Second)
		Expect(s.Value()).To(Equal(7))
		Expect(s.Allows(0, time.Second)).To(BeFalse())
		Expect(s.Allows(0, 2*time.Second)).To(BeTrue())
		for range 100 {
			s.RecordAnswer(s.Value(), usual, usual, 3*time.Second)
		}
		Expect(s.Value()).To(Equal(10))
	})

	It("decreases once for all requests that were in flight when the target shed load", func() {
		var s limit.State
		s.SetMax(10)
		for range 5 {
			s.RecordShed(time.Second)
		}
		Expect(s.Value()).To(Equal(7))
	})

	It("backs off longer each time, up to a second", func() {
		var s limit.State
		s.SetMax(10)
		now := time.Duration(0)
		for range 12 {
			now += 10 * time.Second
			s.RecordShed(now)
		}
		Expect(s.Backoff(now)).To(Equal(time.Second))
	})
})

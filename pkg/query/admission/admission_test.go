package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/admission"
)

// fill admits queries of a caller until one is refused.
func fill(s *admission.State, caller model.CallerID, priority int) int {
	n := 0
	for s.Admit(caller, priority) == admission.Admitted {
		n++
	}
	return n
}

var _ = Describe("admission", func() {
	It("never has more in flight than the bound", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			bound := rapid.IntRange(1, 40).Draw(t, "bound")
			s := admission.New(bound)
			var open []model.CallerID
			now := time.Duration(0)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
				caller := model.CallerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"))
				if len(open) > 0 && rapid.Bool().Draw(t, "ends") {
					s.Done(open[0], time.Duration(rapid.IntRange(0, 20).Draw(t, "waited"))*time.Millisecond, now)
					open = open[1:]
				} else if s.Admit(caller, rapid.IntRange(0, 9).Draw(t, "priority")) == admission.Admitted {
					open = append(open, caller)
				}
				if s.InFlight() != len(open) || s.InFlight() > bound {
					t.Fatalf("%d in flight, %d open, bound %d", s.InFlight(), len(open), bound)
				}
			}
		})
	})

	It("admits one query whatever the priority when idle", func() {
		Expect(admission.New(1).Admit("a", 9)).To(Equal(admission.Admitted))
	})

	It("prevents a flood of one caller from starving another", func() {
		s := admission.New(40)
		flood := fill(s, "flood", 0)
		Expect(flood).To(BeNumerically("<=", 32))
		Expect(fill(s, "quiet", 0)).To(BeNumerically(">=", 8))
		Expect(s.Admit("flood", 0)).NotTo(Equal(admission.Admitted))
	})

	It("refuses low priorities first", func() {
		s := admission.New(40)
		for _, caller := range []model.CallerID{"a", "b", "c", "d", "e", "f"} {
			fill(s, caller, 5)
		}
		Expect(s.Admit("urgent", 0)).To(Equal(admission.Admitted))
	})

	It("decreases the limit while every query waits, and recovers", func() {
		s := admission.New(100)
		now := time.Duration(0)
		for range 50 {
			now += 150 * time.Millisecond
			s.Admit("a", 0)
			s.Done("a", 50*time.Millisecond, now)
		}
		Expect(s.Limit()).To(Equal(4))
		for range 100 {
			now += 150 * time.Millisecond
			for range fill(s, "a", 0) {
				s.Done("a", 0, now)
			}
		}
		Expect(s.Limit()).To(BeNumerically(">", 50))
	})
})

var _ = Describe("the limit of a caller", func() {
	It("admits the rate and a burst of one second", func() {
		l := admission.NewCallerLimits()
		admitted := 0
		for ms := range 10_000 {
			if _, ok := l.Allow("clinic-7", 5, time.Duration(ms)*time.Millisecond); ok {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically("~", 55, 1))
	})

	It("applies a changed share", func() {
		l := admission.NewCallerLimits()
		for range 100 {
			l.Allow("a", 1, 0)
		}
		wait, ok := l.Allow("a", 10, time.Millisecond)
		Expect(ok).To(BeFalse())
		Expect(wait).To(Equal(100 * time.Millisecond))
	})
})

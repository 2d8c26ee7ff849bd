package eject_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/query/eject"
)

func fail(s *eject.State, times int, now time.Duration) (ejected bool) {
	for range times {
		ejected = s.RecordFailure(now)
	}
	return ejected
}

var _ = Describe("a failing target", func() {
	It("is ejected by the third consecutive failure", func() {
		var s eject.State
		Expect(fail(&s, 2, 0)).To(BeFalse())
		s.RecordSuccess()
		Expect(fail(&s, 2, 0)).To(BeFalse())
		Expect(s.RecordFailure(0)).To(BeTrue())
		Expect(s.Ejected(0, time.Millisecond)).To(BeTrue())
	})

	It("gets one request at a time after the ejection", func() {
		var s eject.State
		fail(&s, 3, 0)
		Expect(s.Ejected(0, time.Second)).To(BeFalse())
		Expect(s.Ejected(1, time.Second)).To(BeTrue())
	})

	It("is ejected for longer each time, up to a maximum", func() {
		var s eject.State
		fail(&s, 3, 0)
		now := time.Duration(0)
		for range 20 {
			now += time.Minute
			s.RecordFailure(now)
		}
		Expect(s.Ejected(0, now+15*time.Second)).To(BeTrue())
		Expect(s.Ejected(0, now+17*time.Second)).To(BeFalse())
	})

	It("is readmitted after one success", func() {
		var s eject.State
		fail(&s, 3, 0)
		Expect(s.RecordSuccess()).To(BeTrue())
		Expect(s.Ejected(3, time.Millisecond)).To(BeFalse())
	})
})

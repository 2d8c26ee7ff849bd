package events_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
)

var _ = Describe("Recurrence", func() {
	// Guards against a condition that fills the log, or that is never logged.
	It("is due after a second, and then ever more rarely, up to each 10 s", func() {
		var r events.Recurrence
		var due []time.Duration
		for now := time.Minute; now < time.Minute+40*time.Second; now += 100 * time.Millisecond {
			if r.Due(now, true) {
				due = append(due, r.Lasted(now)/time.Second)
			}
		}
		Expect(due).To(Equal([]time.Duration{1, 2, 4, 8, 16, 26, 36}))
	})

	It("begins anew once the condition has ended", func() {
		var r events.Recurrence
		Expect(r.Due(0, true)).To(BeFalse())
		Expect(r.Due(time.Second, false)).To(BeFalse())
		Expect(r.Lasted(time.Second)).To(BeZero())
		Expect(r.Due(time.Second, true)).To(BeFalse())
		Expect(r.Due(2*time.Second, true)).To(BeTrue())
	})
})

package poison_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/poison"
)

var _ = Describe("a request that was in flight during a crash", func() {
	It("is a suspect, and quarantined by a crash in isolation", func() {
		s := poison.New()
		s.RecordCrash([]model.Fingerprint{1, 2}, false, 0)
		Expect(s.Status(1, 0)).To(Equal(poison.Suspect))
		s.RecordCrash([]model.Fingerprint{1}, true, time.Second)
		Expect(s.Status(1, time.Second)).To(Equal(poison.Quarantined))
		Expect(s.Status(2, time.Second)).To(Equal(poison.Suspect))
	})

	It("is never quarantined by crashes that other requests share, however many", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := poison.New()
			for range rapid.IntRange(1, 20).Draw(t, "deaths") {
				s.RecordCrash([]model.Fingerprint{1, model.Fingerprint(rapid.Uint64Range(2, 9).Draw(t, "other"))}, false, 0)
			}
			if s.Status(1, 0) != poison.Suspect {
				t.Fatal("a request that never ran in isolation was quarantined")
			}
		})
	})

	It("that targets have answered recently is quarantined by its second crash in isolation", func() {
		s := poison.New()
		s.RecordCrash([]model.Fingerprint{1, 2}, false, 0)
		Expect(s.RecordTrialCrash(1, true, 0)).To(BeFalse())
		Expect(s.Status(1, 0)).To(Equal(poison.Suspect))
		Expect(s.RecordTrialCrash(1, true, 0)).To(BeTrue())
		Expect(s.Status(1, 0)).To(Equal(poison.Quarantined))
		Expect(s.RecordTrialCrash(2, false, 0)).To(BeTrue())
		Expect(s.Status(2, 0)).To(Equal(poison.Quarantined))
	})

	It("has one trial at a time", func() {
		s := poison.New()
		s.RecordCrash([]model.Fingerprint{1}, false, 0)
		Expect(s.BeginTrial(1, 0)).To(BeTrue())
		Expect(s.BeginTrial(1, 0)).To(BeFalse())
		s.EndTrial(1)
		Expect(s.BeginTrial(1, 0)).To(BeTrue())
	})

	It("is cleared by a successful trial, or once the suspicion expires", func() {
		s := poison.New()
		s.RecordCrash([]model.Fingerprint{1, 2}, false, 0)
		s.RecordTrialSuccess(1)
		Expect(s.Status(1, 0)).To(Equal(poison.Clear))
		s.Expire(time.Hour)
		Expect(s.Len()).To(BeZero())
	})

	It("uses bounded memory", func() {
		s := poison.New()
		for f := range 10_000 {
			s.RecordCrash([]model.Fingerprint{model.Fingerprint(f)}, false, time.Duration(f))
		}
		Expect(s.Len()).To(BeNumerically("<=", 4096))
		Expect(s.Status(9_999, 10_000)).To(Equal(poison.Suspect))
	})
})

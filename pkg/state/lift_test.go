package state_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
)

// quarantining reports two crashes that put the request 7 into quarantine.
func quarantining() *state.Command {
	suspects := []model.Fingerprint{7}
	return &state.Command{TargetCrashes: &state.TargetCrashes{At: time.Unix(1, 0), Crashes: []state.TargetCrash{
		{Target: "t1", Boot: "b1", Suspects: suspects}, {Target: "t2", Boot: "b1", Suspects: suspects, Trial: true},
	}}}
}

// Guards against a quarantine that an operator lifted and that comes back without a new
// crash: evidence is sent again until a reply arrives, and by each instance that saw the
// crash.
var _ = Describe("A quarantine that was lifted", func() {
	It("is not begun again by the crashes that it was lifted for", func() {
		s := state.New()
		Expect(s.Apply(1, quarantining()).Quarantined).To(HaveLen(1))
		Expect(s.Apply(2, &state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7}}).Refusal).To(BeNil())
		Expect(s.Apply(3, quarantining()).Quarantined).To(BeEmpty())
	})

	It("is not begun again by a crash that was reported between its start and the lift", func() {
		s := state.New()
		s.Apply(1, quarantining())
		s.Apply(2, crashOf("t3", "b1"))
		s.Apply(3, &state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7}})
		Expect(s.Apply(4, quarantining()).Quarantined).To(BeEmpty())
		Expect(s.Apply(5, crashOf("t3", "b1")).Quarantined).To(BeEmpty())
	})

	It("is begun again by crashes of later processes of the targets", func() {
		s := state.New()
		s.Apply(1, quarantining())
		s.Apply(2, &state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7}})
		s.Apply(3, crashOf("t1", "b2"))
		Expect(s.Apply(4, crashOf("t2", "b2")).Quarantined).To(HaveLen(1))
	})

	It("stays lifted on a member that restores its state", func() {
		s := state.New()
		s.Apply(1, quarantining())
		s.Apply(2, &state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7}})
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Apply(3, quarantining()).Quarantined).To(BeEmpty())
	})

	It("leaves no record once its crashes no longer count", func() {
		s := state.New()
		s.Apply(1, quarantining())
		s.Apply(2, &state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7}})
		late := quarantining()
		late.Clock = time.Hour
		Expect(s.Apply(3, late).Quarantined).To(HaveLen(1))
	})
})

// crashOf reports a crash with the request 7 on trial.
func crashOf(target model.TargetID, boot model.BootID) *state.Command {
	return &state.Command{TargetCrashes: &state.TargetCrashes{At: time.Unix(2, 0), Crashes: []state.TargetCrash{
		{Target: target, Boot: boot, Suspects: []model.Fingerprint{7}, Trial: true},
	}}}
}

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
})

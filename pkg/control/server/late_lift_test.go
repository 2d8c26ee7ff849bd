package server_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
)

// propose applies a command as the leader does.
func propose(g *WithT, fl *fleet, c *state.Command) {
	b, err := c.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fl.group.members[0].Propose(context.Background(), b)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a request that crashed targets and is served again, since a call that
// found it in no quarantine lifted a later one.
func TestACallThatFoundNoQuarantineLiftsNoLaterOne(t *testing.T) {
	const f = model.Fingerprint(7)
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		release := fl.network.hold(fl.instances[5].id, wire.KindLift, wire.KindRelay)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(fl.instances[5].server.Lift(ctx, waitingCall(), f, "ivo")).NotTo(Succeed())
		suspects := []model.Fingerprint{f}
		propose(g, fl, &state.Command{TargetCrashes: &state.TargetCrashes{At: time.Now(), Crashes: []state.TargetCrash{
			{Target: "t1", Boot: "b1", Suspects: suspects}, {Target: "t2", Boot: "b1", Suspects: suspects, Trial: true},
		}}})
		g.Expect(fl.instances[4].server.Quarantined(t.Context())).To(HaveLen(1))
		release()
		time.Sleep(settleTime)
		g.Expect(fl.instances[4].server.Quarantined(t.Context())).To(HaveLen(1))
	})
}

package server_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/wire"
)

// servingTime is how long an instance works on a call; it is longer than its operator
// waits.
const servingTime = 1500 * time.Millisecond

// waitingCall returns a call whose operator never closes.
func waitingCall() control.Call { return control.NewCall(func() bool { return true }) }

// evacuateInBackground lets an instance work on a call for servingTime and returns the
// result later.
func evacuateInBackground(fl *fleet, instance int, waits func() bool, end bool) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), servingTime)
		defer cancel()
		result <- fl.instances[instance].server.Evacuate(ctx, control.NewCall(waits), "a", end)
	}()
	return result
}

// Guards against a call that is carried out after its operator has closed, while the
// instance that serves it does not know yet that the call is to end.
func TestACallWhoseOperatorHasClosedIsNotSent(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		closed := func() bool { return false }
		g.Expect(<-evacuateInBackground(fl, 5, closed, false)).NotTo(Succeed())
		request := control.MoveRequest{Service: "s", To: "v2", Duration: time.Second}
		g.Expect(fl.instances[5].server.StartMove(t.Context(), control.NewCall(closed), request)).NotTo(Succeed())
		time.Sleep(settleTime)
		g.Expect(evacuated(fl, 3, "a")).To(BeFalse())
		g.Expect(fl.instances[5].server.Moves(t.Context())).To(BeEmpty())
	})
}

// Guards against a check of the operator that comes before the state is read that the
// change builds on.
func TestACallWhoseOperatorClosesDuringItsQuestionIsNotSent(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		var closed atomic.Bool
		release := fl.network.hold(fl.instances[5].id, wire.KindEvacuation, wire.KindRelay)
		older := evacuateInBackground(fl, 5, func() bool { return !closed.Load() }, true)
		time.Sleep(time.Second)
		closed.Store(true)
		g.Expect(evacuate(fl, 4, "a", false)).To(Succeed())
		release()
		g.Expect(<-older).NotTo(Succeed())
		time.Sleep(settleTime)
		g.Expect(evacuated(fl, 3, "a")).To(BeTrue())
	})
}

// Guards against operators who get no reply in time since calls of others on the zone
// come first.
func TestCallsOnOneZoneAtOnceAreAllAcknowledged(t *testing.T) {
	const (
		callsAtOnce  = 8
		commandDelay = 50 * time.Millisecond
	)
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		fl.group.injectFaults(nil, commandDelay)
		results := make(chan error, callsAtOnce)
		started := time.Now()
		for i := range callsAtOnce {
			go func() { results <- evacuate(fl, i%instanceCount, "a", i%2 == 0) }()
		}
		for range callsAtOnce {
			g.Expect(<-results).To(Succeed())
		}
		t.Logf("%d calls at once took %v", callsAtOnce, time.Since(started))
	})
}

// Guards against an instance that can't have a zone evacuated since it reaches the leader
// only through others.
func TestACallThroughARelayIsAcknowledged(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		g.Expect(evacuate(fl, 4, "a", false)).To(Succeed())
		fl.partition("entry-5", "entry-0")
		g.Expect(evacuate(fl, 5, "a", true)).To(Succeed())
		time.Sleep(settleTime)
		g.Expect(evacuated(fl, 3, "a")).To(BeFalse())
		fl.heal()
	})
}

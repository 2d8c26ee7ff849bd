package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

// send sends a message to the leader from an instance.
func send(fl *fleet, instance int, kind mesh.Kind, message any) error {
	b, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fl.instances[instance].server.Router().Call(context.Background(), kind, b)
	return err
}

// renewUntilGranted renews for a new process of an instance until it has a lease: it may
// get none while the process before is being removed.
func renewUntilGranted(g *WithT, fl *fleet, i model.Instance) {
	for sequence := uint64(1); sequence < 20; sequence++ {
		if send(fl, 5, wire.KindRenew, wire.Renewal{Instance: i, Boot: "later", Sequence: sequence}) == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect("lease").To(Equal("granted"))
}

// Guards against a lease that the next leader does not know of: the process before
// released its own, and the leader removed the instance only after the next process had
// come.
func TestAReleaseInProgressRemovesNoLaterProcess(t *testing.T) {
	const slow = 100 * time.Millisecond
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		next := model.Instance{ID: "entry-9", AvailabilityZone: "zadar-b"}
		g.Expect(send(fl, 4, wire.KindRenew, wire.Renewal{Instance: next, Boot: "earlier", Sequence: 1})).To(Succeed())
		fl.group.injectFaults(nil, slow)
		released := make(chan error, 1)
		go func() {
			released <- send(fl, 4, wire.KindRelease, wire.Release{Instance: next.ID, Boot: "earlier"})
		}()
		time.Sleep(slow / 2)
		renewUntilGranted(g, fl, next)
		holders, err := fl.instances[4].server.Instances(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(holders).To(ContainElement(HaveField("Instance.ID", Equal(next.ID))))
		g.Expect(<-released).To(Succeed())
	})
}

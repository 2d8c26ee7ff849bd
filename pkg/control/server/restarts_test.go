package server_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/model"
)

// Guards against a fleet that does not learn that a process has ended without closing its
// connections, and against one that takes a planned restart for that.
func TestFleetLearnsOfAProcessThatEndedUncleanly(t *testing.T) {
	for name, planned := range map[string]bool{"unclean": false, "planned": true} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, fl *fleet) {
				g, next := NewWithT(t), model.Instance{ID: "entry-9", AvailabilityZone: "zadar-b"}
				time.Sleep(settleTime)
				g.Expect(send(fl, 4, wire.KindRenew, wire.Renewal{Instance: next, Boot: "earlier", Sequence: 1})).To(Succeed())
				if planned {
					g.Expect(send(fl, 4, wire.KindRelease, wire.Release{Instance: next.ID, Boot: "earlier"})).To(Succeed())
				}
				b, err := cbor.Marshal(wire.Renewal{Instance: next, Boot: "later", Sequence: 1})
				g.Expect(err).NotTo(HaveOccurred())
				raw, err := fl.instances[5].server.Router().Call(t.Context(), wire.KindRenew, b)
				g.Expect(err).NotTo(HaveOccurred())
				var reply wire.RenewalReply
				g.Expect(cbor.Unmarshal(raw, &reply)).To(Succeed())
				time.Sleep(time.Second)
				restarts := fl.instances[0].lease.View().Restarts
				if planned {
					g.Expect(reply.Restarts).To(BeNil())
					g.Expect(restarts).To(BeZero())
					return
				}
				g.Expect(reply.Restarts.Share).To(BeNumerically("~", 1.0/float64(len(fl.instances)+1), 0.001))
				g.Expect(restarts.Share).To(Equal(reply.Restarts.Share))
				g.Expect(restarts.Until).To(BeTemporally(">", time.Now()))
			})
		})
	}
}

package server_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/model"
)

// evacuate calls an instance as an operator who gives up after a second does.
func evacuate(fl *fleet, instance int, zone model.AvailabilityZoneID, end bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return fl.instances[instance].server.Evacuate(ctx, control.NewCall(func() bool { return ctx.Err() == nil }), zone, end)
}

// evacuated reports whether a zone is evacuated at an instance.
func evacuated(fl *fleet, instance int, zone model.AvailabilityZoneID) bool {
	return fl.instances[instance].lease.View().Evacuated[zone]
}

// Guards against requests to a zone whose evacuation was acknowledged, which an older
// call had ended meanwhile.
func TestACallThatArrivesAfterANewerOneChangesNothing(t *testing.T) {
	for _, sender := range []struct {
		name     string
		instance int
	}{{"through a relay that stands still", 5}, {"at a leader that stands still", 0}} {
		t.Run(sender.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, fl *fleet) {
				g := NewWithT(t)
				time.Sleep(settleTime)
				g.Expect(evacuate(fl, 4, "a", false)).To(Succeed())

				release := fl.network.hold(fl.instances[sender.instance].id, wire.KindEvacuate, wire.KindRelay)
				g.Expect(evacuate(fl, sender.instance, "a", true)).NotTo(Succeed())
				g.Expect(evacuate(fl, 4, "a", false)).To(Succeed())
				release()
				time.Sleep(settleTime)
				g.Expect(evacuated(fl, 3, "a")).To(BeTrue())
			})
		})
	}
}

// checkEvacuated fails the test, but lets it go on, if an instance uses the zone although
// it is evacuated, or the other way round.
func checkEvacuated(t *testing.T, fl *fleet, seed uint64, want bool) {
	t.Helper()
	if got := evacuated(fl, 3, "a"); got != want {
		t.Errorf("seed %d: evacuated is %t after %t was acknowledged", seed, got, want)
	}
}

// Guards against the same with any order of calls, delays and leaders.
func TestEvacuationStaysAsTheNewestAcknowledgedCallLeftIt(t *testing.T) {
	for seed := range uint64(20) {
		withFleet(t, func(t *testing.T, fl *fleet) {
			rng := rand.New(rand.NewPCG(seed, 5))
			time.Sleep(settleTime)
			var releases []func()
			for range 30 {
				end := rng.IntN(2) == 0
				if rng.IntN(2) == 0 {
					held := fl.instances[rng.IntN(instanceCount)].id
					releases = append(releases, fl.network.hold(held, wire.KindEvacuate, wire.KindRelay))
				}
				if rng.IntN(5) == 0 {
					fl.group.elect(instanceID(rng.IntN(memberCount)))
					time.Sleep(time.Second)
				}
				acknowledged := evacuate(fl, rng.IntN(instanceCount), "a", end) == nil
				if len(releases) > 0 && rng.IntN(2) == 0 {
					releases[0]()
					releases = releases[1:]
				}
				time.Sleep(settleTime)
				if acknowledged {
					checkEvacuated(t, fl, seed, !end)
				}
			}
			for _, release := range releases {
				release()
			}
		})
	}
}

// Guards against a process whose lease the next leader does not know of, since a release
// of the process before it came late.
func TestALateReleaseOfAnEarlierProcessEndsNoLease(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		release, err := cbor.Marshal(wire.Release{Instance: "entry-5", Boot: "the process before"})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fl.instances[5].server.Router().Call(t.Context(), wire.KindRelease, release)
		g.Expect(err).NotTo(HaveOccurred())
		holders, err := fl.instances[0].server.Instances(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(holders).To(ContainElement(HaveField("Instance.ID", Equal(model.InstanceID("entry-5")))))
	})
}

package server_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/state"
)

// memberWithDisk is a member that knows its own disk.
type memberWithDisk struct{ *fakeMember }

func (m memberWithDisk) Status() replica.Status {
	status := m.fakeMember.Status()
	status.Self = replica.Member{Instance: m.id, Disk: "disk"}
	return status
}

// offerRecorder records the offers that reach the leader.
type offerRecorder struct {
	mu     sync.Mutex
	offers []wire.Offer
}

func (r *offerRecorder) serve(_ context.Context, _ model.InstanceID, o *wire.Offer) (*wire.OfferReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offers = append(r.offers, *o)
	return &wire.OfferReply{}, nil
}

func (r *offerRecorder) newest() wire.Offer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offers[len(r.offers)-1]
}

// Guards against a member that the leader takes for one that stays, since an offer that
// was made before or during its planned stop arrives after it has said that it leaves.
func TestAnInstanceThatLeavesOffersItselfNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := &fakeNetwork{meshes: make(map[model.InstanceID]*fakeMesh), blocked: make(map[[2]model.InstanceID]bool), held: make(map[heldMessages]chan struct{})}
		own := &fakeMesh{network: network, id: instanceID(0), handlers: make(map[mesh.Kind]mesh.Handler)}
		network.meshes[own.id] = own
		settings := fleetSettings(0)
		settings.Control.Voters, settings.DataFolder = memberCount, "folder"
		settings.Control.Members = []model.InstanceID{own.id}
		member := memberWithDisk{&fakeMember{group: &fakeGroup{}, id: own.id, machine: state.NewMachine()}}
		s := server.New(settings, own, staticList{&platform.List{}}, member.machine, member)
		recorder := new(offerRecorder)
		mesh.Handle(own, wire.KindOffer, recorder.serve)

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(settleTime)
		g.Expect(recorder.newest().Leaving).To(BeFalse())
		g.Expect(s.Drain(ctx)).To(Succeed())
		// The other modules drain before the process ends.
		time.Sleep(settleTime)
		g.Expect(recorder.newest().Leaving).To(BeTrue())
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

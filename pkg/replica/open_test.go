package replica_test

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

// eagerMesh simulates a peer that sends a request of each kind as soon as its
// handler is registered.
type eagerMesh struct {
	*fakeMesh
	served int
}

func (m *eagerMesh) Handle(kind mesh.Kind, handler mesh.Handler) {
	m.setHandler(kind, handler)
	empty, err := cbor.Marshal(struct{}{})
	Expect(err).NotTo(HaveOccurred())
	if _, err := handler(context.Background(), "peer", empty); err == nil {
		m.served++
	}
}

var _ = Describe("Open", func() {
	It("serves peers as soon as it has registered its handlers with the mesh", func() {
		m := &eagerMesh{fakeMesh: &fakeMesh{self: "a", handlers: make(map[mesh.Kind]mesh.Handler)}}
		n, err := replica.Open(replica.Options{
			Mesh: m, StateMachine: &listMachine{}, Journal: journal.Options{Folder: GinkgoT().TempDir()},
			InitialMembers: []model.InstanceID{"a"}, ElectionTimeout: 100 * time.Millisecond, Heartbeat: 20 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(m.served).To(BeNumerically(">=", 2))
		Expect(n.Close()).To(Succeed())
	})
})

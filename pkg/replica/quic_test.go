package replica_test

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

// startMeshes opens a QUIC mesh on loopback for each name and makes them peers of
// each other.
func startMeshes(folder string, names []model.InstanceID) []*mesh.QUIC {
	GinkgoHelper()
	Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
	authority, err := keys.LoadAuthority(folder)
	Expect(err).NotTo(HaveOccurred())
	var meshes []*mesh.QUIC
	for _, name := range names {
		Expect(authority.Issue(folder, string(name), keys.RoleInstance, time.Hour)).To(Succeed())
		credentials, err := keys.Load(keys.Files{
			Authority:   filepath.Join(folder, keys.AuthorityCertificateFile),
			Certificate: filepath.Join(folder, string(name)+".pem"),
			Key:         filepath.Join(folder, string(name)+".key"),
		})
		Expect(err).NotTo(HaveOccurred())
		m, err := mesh.Listen(netip.MustParseAddrPort("127.0.0.1:0"), credentials, false)
		Expect(err).NotTo(HaveOccurred())
		meshes = append(meshes, m)
	}
	for _, m := range meshes {
		for _, other := range meshes {
			m.SetPeer(other.Self(), other.Address())
		}
	}
	return meshes
}

var _ = Describe("A group over QUIC with real folders", func() {
	It("replicates", func() {
		names := []model.InstanceID{"a", "b", "c"}
		folder := GinkgoT().TempDir()
		g := newGroup(names...)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		for i, m := range startMeshes(folder, names) {
			DeferCleanup(m.Close)
			machine := &listMachine{}
			n, err := replica.Open(replica.Options{
				Mesh: m, StateMachine: machine, InitialMembers: names,
				Journal:         journal.Options{Folder: filepath.Join(folder, fmt.Sprint("data-", i))},
				ElectionTimeout: time.Second,
				Heartbeat:       100 * time.Millisecond,
			})
			Expect(err).NotTo(HaveOccurred())
			g.run(names[i], n, machine)
			go func() {
				defer GinkgoRecover()
				Expect(m.Run(ctx)).To(Succeed())
			}()
		}
		for _, c := range numbered(0, 20) {
			g.propose(c)
		}
		g.expectEverywhere(numbered(0, 20))
	})
})

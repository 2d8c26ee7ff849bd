package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

// lossyRelay forwards datagrams between its clients and a server, and drops a share of them
// in each direction.
type lossyRelay struct {
	front       *net.UDPConn
	server      *net.UDPAddr
	delay       time.Duration
	lossPercent int

	mu      sync.Mutex
	random  *rand.Rand
	clients map[netip.AddrPort]*net.UDPConn
}

const maxDatagramBytes = 64 << 10

func startLossyRelay(server netip.AddrPort, seed uint64, lossPercent int, delay time.Duration) *lossyRelay {
	GinkgoHelper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	r := &lossyRelay{
		front: front, server: net.UDPAddrFromAddrPort(server), delay: delay, lossPercent: lossPercent,
		random: rand.New(rand.NewPCG(seed, seed)), clients: make(map[netip.AddrPort]*net.UDPConn),
	}
	go r.forwardToServer()
	DeferCleanup(r.close)
	return r
}

func (r *lossyRelay) address() netip.AddrPort { return r.front.LocalAddr().(*net.UDPAddr).AddrPort() }

func (r *lossyRelay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		_ = c.Close()
	}
}

func (r *lossyRelay) drops() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(100) < r.lossPercent
}

func (r *lossyRelay) forwardToServer() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		back := r.backOf(from)
		if back == nil || r.drops() {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(r.delay, func() { _, _ = back.Write(datagram) })
	}
}

// backOf returns the socket that stands for a client at the server.
func (r *lossyRelay) backOf(client netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if back := r.clients[client]; back != nil {
		return back
	}
	back, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return nil
	}
	r.clients[client] = back
	go r.forwardToClient(back, client)
	return back
}

func (r *lossyRelay) forwardToClient(back *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			return
		}
		if r.drops() {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(r.delay, func() { _, _ = r.front.WriteToUDPAddrPort(datagram, client) })
	}
}

// Guards against a transfer over a lossy path that is given up although it moves, begins
// anew in full, and therefore never completes.
var _ = Describe("A learner behind a path over QUIC that loses a fifth of the packets", func() {
	const (
		seed         = 37
		lossPercent  = 20
		delay        = 2 * time.Millisecond
		commandBytes = 10_000
		// catchUpBound is the time within which the learner is promoted: replacing a member
		// is to take seconds.
		catchUpBound = 30 * time.Second
	)
	names := []model.InstanceID{"a", "b", "c", "d"}

	DescribeTable("catches up and is promoted", func(commands, snapshotEvery int) {
		folder := GinkgoT().TempDir()
		g := newGroup(names[:3]...)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		meshes := startMeshes(folder, names)
		learner := meshes[3]
		toLearner := startLossyRelay(learner.Address(), seed, lossPercent, delay)
		for i, m := range meshes[:3] {
			m.SetPeer(learner.Self(), toLearner.address())
			fromLearner := startLossyRelay(m.Address(), seed+1+uint64(i), lossPercent, delay)
			learner.SetPeer(m.Self(), fromLearner.address())
		}
		for i, m := range meshes {
			DeferCleanup(m.Close)
			machine := &listMachine{}
			n, err := replica.Open(replica.Options{
				Mesh: m, StateMachine: machine, InitialMembers: names[:3],
				Journal:         journal.Options{Folder: filepath.Join(folder, fmt.Sprint("data-", i))},
				ElectionTimeout: 350 * time.Millisecond,
				Heartbeat:       50 * time.Millisecond,
				SnapshotEvery:   snapshotEvery,
			})
			Expect(err).NotTo(HaveOccurred())
			g.run(names[i], n, machine)
			go func() {
				defer GinkgoRecover()
				Expect(m.Run(ctx)).To(Succeed())
			}()
		}
		for i := range commands {
			g.propose(fmt.Sprint(i, strings.Repeat("x", commandBytes)))
		}
		leader := g.leader()
		next, err := replica.FetchMember(ctx, meshOf(meshes, leader.Status().Self.Instance), learner.Self())
		Expect(err).NotTo(HaveOccurred())
		bounded, cancelBounded := context.WithTimeout(ctx, catchUpBound)
		defer cancelBounded()
		began := time.Now()
		Expect(leader.AddLearner(bounded, next)).To(Succeed())
		applied := func() string {
			return fmt.Sprintf("applied by the learner: %d of %d", g.members["d"].Status().Applied, leader.Status().Applied)
		}
		Eventually(func() error { return leader.Promote(bounded, next) }, catchUpBound, 50*time.Millisecond).Should(Succeed(), applied)
		AddReportEntry("time until the promotion", time.Since(began).String())
	},
		Entry("from an early snapshot and many entries", 300, 0),
		Entry("from a late snapshot", 200, 60),
	)
})

func meshOf(meshes []*mesh.QUIC, id model.InstanceID) *mesh.QUIC {
	for _, m := range meshes {
		if m.Self() == id {
			return m
		}
	}
	return nil
}

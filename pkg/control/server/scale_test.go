//go:build proofs

package server_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

const (
	scaleTargets = 390
	// holdersPerMesh stays below the streams that a peer may have in progress.
	holdersPerMesh = 100
	scaleChanges   = 20
	// startPace keeps the start of the holders from being the load.
	startPace  = 10 * time.Millisecond
	scaleBound = 4 * time.Second
	steadyTime = 10 * time.Second
)

// holderCount is 1,600 unless HOLDERS says otherwise.
func holderCount() int {
	if n, err := strconv.Atoi(os.Getenv("HOLDERS")); err == nil {
		return n
	}
	return 1600
}

func issueKeys(g *WithT, folder, name string) *keys.Credentials {
	a, err := keys.LoadAuthority(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Issue(folder, name, keys.RoleInstance, time.Hour)).To(Succeed())
	c, err := keys.Load(keys.Files{
		Authority:   folder + "/" + keys.AuthorityCertificateFile,
		Certificate: folder + "/" + name + ".pem", Key: folder + "/" + name + ".key",
	})
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

func listen(ctx context.Context, t *testing.T, g *WithT, folder, name string) *mesh.QUIC {
	m, err := mesh.Listen(netip.MustParseAddrPort("127.0.0.1:0"), issueKeys(g, folder, name), false)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = m.Close() })
	go func() { _ = m.Run(ctx) }()
	return m
}

// countingMesh counts the bytes of renewals and their replies.
type countingMesh struct {
	*mesh.QUIC
	renewals, sent, received int
}

func (c *countingMesh) Call(ctx context.Context, to model.InstanceID, kind mesh.Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	reply, err := c.QUIC.Call(ctx, to, kind, request)
	c.renewals++
	c.sent += len(request)
	c.received += len(reply)
	return reply, err
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestScale runs one leader and many holders of leases over QUIC in one
// process, and measures how long changes take and what steady renewals cost.
func TestScale(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	folder := t.TempDir()
	g.Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
	leaderMesh := listen(ctx, t, g, folder, string(instanceID(0)))
	list := &platform.List{Sequence: 1}
	for i := range scaleTargets {
		id := model.NewTargetID("shopfront", model.LeafID{Service: model.ServiceID(fmt.Sprint("svc-", i/6)), Leaf: i / 3 % 2}, i%3)
		list.Targets = append(list.Targets, model.Target{ID: id, Collection: "shopfront"})
	}
	leaderGroup := &group{leader: instanceID(0), term: 1}
	leader := &member{group: leaderGroup, id: instanceID(0), machine: state.NewMachine()}
	leaderGroup.members = []*member{leader}
	settings := fleetSettings(0)
	srv := server.New(settings, leaderMesh, staticList{list}, leader.machine, leader)
	go func() { _ = srv.Run(ctx) }()

	n := holderCount()
	var clients []*mesh.QUIC
	for i := range (n + holdersPerMesh - 1) / holdersPerMesh {
		c := listen(ctx, t, g, folder, fmt.Sprint("clients-", i))
		c.SetPeer(instanceID(0), leaderMesh.Address())
		clients = append(clients, c)
	}
	holders := make([]*lease.Module, n)
	counters := make([]*countingMesh, n)
	for i := range holders {
		counters[i] = &countingMesh{QUIC: clients[i/holdersPerMesh]}
		s := fleetSettings(i + 1)
		router := route.New(counters[i], func() []model.InstanceID { return []model.InstanceID{instanceID(0)} })
		holders[i] = lease.New(s, counters[i], router)
		go func() { _ = holders[i].Run(ctx) }()
		time.Sleep(startPace)
	}
	g.Eventually(func() int {
		return len(slices.DeleteFunc(slices.Clone(holders), func(m *lease.Module) bool { return m.Lease() == view.LeaseHeld }))
	}, time.Minute, 100*time.Millisecond).Should(BeZero())
	time.Sleep(steadyTime)

	before, started := processorTime(), time.Now()
	renewals, sent, received := totals(counters)
	time.Sleep(steadyTime)
	cpu, took := processorTime()-before, time.Since(started)
	renewals2, sent2, received2 := totals(counters)
	renewals, sent, received = renewals2-renewals, sent2-sent, received2-received
	t.Logf("%d holders steady: %.0f renewals/s, %.0f bytes up and %.0f down each, %.1f%% of a core for leader and holders together (%.0f us a renewal)",
		n, float64(renewals)/took.Seconds(), float64(sent)/float64(renewals), float64(received)/float64(renewals),
		100*cpu.Seconds()/took.Seconds(), float64(cpu.Microseconds())/float64(renewals))

	var times []time.Duration
	for i := range scaleChanges {
		started := time.Now()
		text := fmt.Sprintf("limit caller clinic-%d %d/s # proof\n", i%3, i+1)
		change, err := srv.ApplyRules(ctx, control.ApplyRequest{Base: model.Revision(i), Text: text, Author: "ana"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() []model.InstanceID {
			where, err := srv.InForce(ctx, change.Revision)
			g.Expect(err).NotTo(HaveOccurred())
			return where.Missing
		}, 2*scaleBound, 20*time.Millisecond).Should(BeEmpty())
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	t.Logf("%d changes in force at %d holders: p50 %s, slowest %s", scaleChanges, n, times[len(times)/2], times[len(times)-1])
	g.Expect(times[len(times)-1]).To(BeNumerically("<=", scaleBound))
}

func totals(counters []*countingMesh) (renewals, sent, received int) {
	for _, c := range counters {
		renewals += c.renewals
		sent += c.sent
		received += c.received
	}
	return renewals, sent, received
}

//go:build proofs

package server_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
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
	// holdersPerMesh stays below the limit of concurrent streams of a peer.
	holdersPerMesh = 100
	// currentEntries is the present number of entry instances; changesPerDay is the
	// number of changes a day that the design aims for.
	currentEntries = 9
	rulesPerFile   = 300
	changesPerDay  = 3000
	changeInterval = 5 * time.Millisecond
	scaleChanges   = 20
	// startInterval spreads the start of the holders, so that their start does not
	// dominate the load.
	startInterval = 10 * time.Millisecond
	scaleBound    = 4 * time.Second
	steadyTime    = 10 * time.Second
)

// holderCount returns the number of holders: HOLDERS, or 1,600 if that is not set.
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

// countingMesh counts renewals and the bytes of renewals and their replies.
type countingMesh struct {
	*mesh.QUIC
	renewals, sent, received atomic.Int64
}

func (c *countingMesh) Call(ctx context.Context, to model.InstanceID, kind mesh.Kind, request cbor.RawMessage) (cbor.RawMessage, error) {
	reply, err := c.QUIC.Call(ctx, to, kind, request)
	c.renewals.Add(1)
	c.sent.Add(int64(len(request)))
	c.received.Add(int64(len(reply)))
	return reply, err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// scaleFleet is one leader and many lease holders.
type scaleFleet struct {
	server   *server.Server
	holders  []*lease.Module
	counters []*countingMesh
}

func (s *scaleFleet) withoutLease() int {
	n := 0
	for _, h := range s.holders {
		if h.Lease() != view.LeaseHeld {
			n++
		}
	}
	return n
}

// currentTargets returns a made-up list of scaleTargets targets.
func currentTargets() *platform.List {
	list := &platform.List{Sequence: 1}
	for i := range scaleTargets {
		id := model.NewTargetID("shopfront", model.LeafID{Service: model.ServiceID(fmt.Sprint("svc-", i/6)), Leaf: i / 3 % 2}, i%3)
		list.Targets = append(list.Targets, model.Target{ID: id, Collection: "shopfront"})
	}
	return list
}

func startScale(ctx context.Context, t *testing.T, g *WithT, n int) *scaleFleet {
	folder := t.TempDir()
	g.Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
	leaderMesh := listen(ctx, t, g, folder, string(instanceID(0)))
	leaderGroup := &fakeGroup{leader: instanceID(0), term: 1}
	leader := &fakeMember{group: leaderGroup, id: instanceID(0), machine: state.NewMachine()}
	leaderGroup.members = []*fakeMember{leader}
	f := &scaleFleet{server: server.New(fleetSettings(0), leaderMesh, staticList{currentTargets()}, leader.machine, leader)}
	go func() { _ = f.server.Run(ctx) }()
	var clients *mesh.QUIC
	for i := range n {
		if i%holdersPerMesh == 0 {
			clients = listen(ctx, t, g, folder, fmt.Sprint("clients-", i))
			clients.SetPeer(instanceID(0), leaderMesh.Address())
		}
		f.addHolder(ctx, clients, i+1)
		time.Sleep(startInterval)
	}
	return f
}

func (s *scaleFleet) addHolder(ctx context.Context, clients *mesh.QUIC, i int) {
	counter := &countingMesh{QUIC: clients}
	router := route.New(counter, func() []model.InstanceID { return []model.InstanceID{instanceID(0)} })
	holder := lease.New(fleetSettings(i), counter, router)
	s.counters = append(s.counters, counter)
	s.holders = append(s.holders, holder)
	go func() { _ = holder.Run(ctx) }()
}

// TestScale runs one leader and many lease holders over QUIC in one process. It
// measures how long a change takes to be in force everywhere, and the CPU time and
// bytes of steady renewals.
func TestScale(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := holderCount()
	s := startScale(ctx, t, g, n)
	srv, counters := s.server, s.counters
	g.Eventually(s.withoutLease, time.Minute, 100*time.Millisecond).Should(BeZero())
	time.Sleep(steadyTime)

	before, started := cpuTime(), time.Now()
	renewals, sent, received := totals(counters)
	time.Sleep(steadyTime)
	cpu, took := cpuTime()-before, time.Since(started)
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

// manyRules returns a rules file that differs in one line from the file of n-1.
func manyRules(n int) string {
	var text strings.Builder
	for i := range rulesPerFile {
		fmt.Fprintf(&text, "limit caller clinic-%d %d/s # proof\n", i, 1+(n+rulesPerFile-i)/rulesPerFile)
	}
	return text.String()
}

// TestManyChanges applies the changes of one day at a fixed interval and measures
// the bytes for each holder and the CPU time for each change.
func TestManyChanges(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := startScale(ctx, t, g, currentEntries)
	g.Eventually(s.withoutLease, time.Minute, 100*time.Millisecond).Should(BeZero())
	time.Sleep(steadyTime)
	cpu, started := cpuTime(), time.Now()
	_, sent, received := totals(s.counters)
	for i := range changesPerDay {
		_, err := s.server.ApplyRules(ctx, control.ApplyRequest{Base: model.Revision(i), Text: manyRules(i), Author: "ana"})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(changeInterval)
	}
	g.Eventually(func() model.Revision { return s.holders[0].View().Revision }, scaleBound).Should(BeEquivalentTo(changesPerDay))
	_, sent2, received2 := totals(s.counters)
	t.Logf("%d changes in %s at %d holders: %.0f bytes for each holder and change, %.0f us of CPU time for each change, leader and holders together",
		changesPerDay, time.Since(started).Round(time.Second), currentEntries,
		float64(sent2-sent+received2-received)/float64(currentEntries*changesPerDay), float64((cpuTime()-cpu).Microseconds())/changesPerDay)
}

func totals(counters []*countingMesh) (renewals, sent, received int64) {
	for _, c := range counters {
		renewals += c.renewals.Load()
		sent += c.sent.Load()
		received += c.received.Load()
	}
	return renewals, sent, received
}

//go:build proofs

package proofs

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// capacityWindow is how long each fleet size is measured at idle.
	capacityWindow = 10 * time.Second
	// capacityChanges is the number of rule changes at each fleet size.
	capacityChanges     = 20
	clockTicksPerSecond = 100
	// holderStartInterval spaces the starts of the lease holders, so that the
	// starts themselves don't load the leader.
	holderStartInterval = 20 * time.Millisecond
	certificateLife     = time.Hour
)

// leaseHolder holds a lease as an instance does, without serving requests.
type leaseHolder struct {
	mesh  *mesh.QUIC
	lease *lease.Module
}

// startLeaseHolders adds count lease holders to the fleet; they run in this process.
func (f *fleet) startLeaseHolders(ctx context.Context, count int) []*leaseHolder {
	GinkgoHelper()
	authority, err := keys.LoadAuthority(f.folder + "/keys")
	Expect(err).NotTo(HaveOccurred())
	base, err := settings.Load(f.settings(instances))
	Expect(err).NotTo(HaveOccurred())
	holders := make([]*leaseHolder, count)
	for i := range holders {
		holders[i] = f.startLeaseHolder(ctx, authority, *base, i)
		time.Sleep(holderStartInterval)
	}
	return holders
}

func (f *fleet) startLeaseHolder(ctx context.Context, authority *keys.Authority, s settings.Settings, i int) *leaseHolder {
	GinkgoHelper()
	id := fmt.Sprintf("h%04d", i)
	Expect(authority.Issue(f.folder+"/keys", id, keys.RoleInstance, certificateLife)).To(Succeed())
	credentials, err := keys.Load(keys.Files{
		Authority:   f.folder + "/keys/" + keys.AuthorityCertificateFile,
		Certificate: f.folder + "/keys/" + id + ".pem",
		Key:         f.folder + "/keys/" + id + ".key",
	})
	Expect(err).NotTo(HaveOccurred())
	m, err := mesh.Listen(netip.MustParseAddrPort("127.0.0.1:0"), credentials, false)
	Expect(err).NotTo(HaveOccurred())
	for _, p := range s.Peers[:memberCount] {
		m.SetPeer(p.ID, p.MeshAddress)
	}
	s.Instance.ID = model.InstanceID(id)
	s.Instance.MeshListen = m.Address()
	h := &leaseHolder{mesh: m, lease: lease.New(&s, m, route.New(m, func() []model.InstanceID { return s.Control.Members }))}
	go func() { _ = m.Run(ctx) }()
	go func() { _ = h.lease.Run(ctx) }()
	return h
}

// usage is the CPU time, resident memory and mesh traffic of an instance.
type usage struct {
	cpu      time.Duration
	resident int64
	in, out  int64
}

// usage reads an instance's counters from /proc and its forwarder's byte counts.
func (f *fleet) usage(n int) usage {
	GinkgoHelper()
	folder := filepath.Join("/proc", strconv.Itoa(f.process(n).command.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	Expect(err).NotTo(HaveOccurred())
	// Fields are counted after the process name in parentheses: user and system
	// time are the 14th and 15th field of the line.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	Expect(err).NotTo(HaveOccurred())
	system, err := strconv.ParseInt(fields[12], 10, 64)
	Expect(err).NotTo(HaveOccurred())
	statm, err := os.ReadFile(filepath.Join(folder, "statm"))
	Expect(err).NotTo(HaveOccurred())
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	Expect(err).NotTo(HaveOccurred())
	u := usage{cpu: time.Duration(user+system) * time.Second / clockTicksPerSecond, resident: pages * int64(os.Getpagesize())}
	u.in, u.out = f.network.bytesOf(n)
	return u
}

func (f *fleet) leader() int {
	GinkgoHelper()
	return instanceNumber(string(f.controlStatus(allInstances()).Leader.Instance))
}

// capacityRow is one row of the reported table.
type capacityRow struct {
	holders                   int
	cpuPercent                float64
	residentMB                float64
	inKB, outKB               float64
	applyMedian, applySlowest time.Duration
	changeCPUMs, changeKB     float64
	joinSeconds               float64
	holderKBPerSecond         float64
}

// measureCapacity measures the fleet with the given number of lease holders in
// addition to its instances.
func (f *fleet) measureCapacity(ctx context.Context, added int) capacityRow {
	GinkgoHelper()
	c := capacityRow{holders: added + instances}
	started := time.Now()
	leaseHolders := f.startLeaseHolders(ctx, added)
	Eventually(func() bool {
		return !slices.ContainsFunc(leaseHolders, func(h *leaseHolder) bool { return h.lease.Lease() != view.LeaseHeld })
	}, 2*time.Minute, 100*time.Millisecond).Should(BeTrue())
	c.joinSeconds = time.Since(started).Seconds()
	time.Sleep(capacityWindow)
	leader := f.leader()
	before := f.usage(leader)
	time.Sleep(capacityWindow)
	after := f.usage(leader)
	c.cpuPercent = 100 * (after.cpu - before.cpu).Seconds() / capacityWindow.Seconds()
	c.residentMB = float64(after.resident) / (1 << 20)
	c.inKB = float64(after.in-before.in) / 1024 / capacityWindow.Seconds()
	c.outKB = float64(after.out-before.out) / 1024 / capacityWindow.Seconds()
	c.holderKBPerSecond = (c.inKB + c.outKB) / float64(c.holders)
	f.measureChanges(&c, leader)
	return c
}

// measureChanges applies rules one by one, waiting until each is in force everywhere.
func (f *fleet) measureChanges(c *capacityRow, leader int) {
	GinkgoHelper()
	before := f.usage(leader)
	started := time.Now()
	var times []time.Duration
	for i := range capacityChanges {
		at := time.Now()
		out, code := f.command("operator", []int{1 + i%memberCount}, "rules", "apply", f.limitRuleFile(c.holders*1000+i))
		Expect(code).To(Equal(exitOK), out)
		times = append(times, time.Since(at))
	}
	after := f.usage(leader)
	elapsed := time.Since(started).Seconds()
	slices.Sort(times)
	c.applyMedian, c.applySlowest = times[len(times)/2], times[len(times)-1]
	idleCPU := c.cpuPercent / 100 * elapsed
	c.changeCPUMs = 1000 * ((after.cpu - before.cpu).Seconds() - idleCPU) / capacityChanges
	sent := float64(after.in+after.out-before.in-before.out) / 1024
	c.changeKB = (sent - (c.inKB+c.outKB)*elapsed) / capacityChanges
}

var _ = Describe("Capacity of the control group", Label("capacity"), func() {
	It("keeps changes within the bound at each number of lease holders", func() {
		var lines []string
		var slowest time.Duration
		for _, holders := range []int{3, 100, 400, 1594} {
			f := newFleet(seed())
			ctx, cancel := context.WithCancel(context.Background())
			c := f.measureCapacity(ctx, holders)
			cancel()
			f.stopAll()
			lines = append(lines, fmt.Sprintf(
				"| %d | %.1f%% | %.0f MB | %.1f | %.1f | %.3f | %v | %v | %.1f ms | %.1f KB | %.1f s |",
				c.holders, c.cpuPercent, c.residentMB, c.inKB, c.outKB, c.holderKBPerSecond,
				c.applyMedian.Round(time.Millisecond), c.applySlowest.Round(time.Millisecond), c.changeCPUMs, c.changeKB, c.joinSeconds))
			slowest = max(slowest, c.applySlowest)
		}
		AddReportEntry("capacity", "\n| holders | leader CPU | leader RSS | in KB/s | out KB/s | KB/s for each holder | in force p50 | slowest | CPU a change | KB a change | join |\n"+
			strings.Join(lines, "\n"))
		Expect(slowest).To(BeNumerically("<=", inForceBound))
	})
})

package replica_test

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkOverQUIC measures the CPU time of a group of three over QUIC on
// loopback: per commit, and as a share of elapsed time per idle member.
func BenchmarkOverQUIC(b *testing.B) {
	gomega.RegisterTestingT(b)
	log.SetHandler(discard.New())
	names := []model.InstanceID{"a", "b", "c"}
	folder := b.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := &benchGroup{}
	for i, m := range startMeshes(folder, names) {
		n, err := replica.Open(replica.Options{
			Mesh: m, StateMachine: &countMachine{}, InitialMembers: names,
			Journal:         journal.Options{Folder: filepath.Join(folder, "data-"+string(names[i]))},
			ElectionTimeout: time.Second, Heartbeat: 200 * time.Millisecond,
		})
		if err != nil {
			b.Fatal(err)
		}
		g.nodes = append(g.nodes, n)
		go func(m *mesh.QUIC) { _ = m.Run(ctx) }(m)
		go func() { _ = n.Run(ctx) }()
	}
	leader := g.leader()
	b.Run("commit", func(b *testing.B) {
		before := cpuTime(b)
		proposeMany(b, leader, b.N, 1)
		b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/float64(time.Microsecond)/float64(len(names)), "cpu-us/commit/member")
	})
	b.Run("idle", func(b *testing.B) {
		const idle = 3 * time.Second
		for range b.N {
			before := cpuTime(b)
			time.Sleep(idle)
			share := float64(cpuTime(b)-before) / float64(idle) / float64(len(names))
			b.ReportMetric(100*share, "cpu-percent/member")
		}
	})
}

package replica_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

const (
	benchCommandBytes = 200
	benchChanges      = 10_000
	benchProposers    = 256
	// benchDelay is the one-way latency between availability zones.
	benchDelay = 1500 * time.Microsecond
)

// countMachine is a state machine that counts the commands applied.
type countMachine struct{ applied int }

func (c *countMachine) Apply(uint64, []byte) []byte { c.applied++; return nil }
func (c *countMachine) Snapshot() ([]byte, error) {
	return make([]byte, c.applied*benchCommandBytes), nil
}
func (c *countMachine) Restore([]byte) error { return nil }

type benchGroup struct {
	nodes []*replica.Node
	stop  func()
}

// startBenchGroup runs a group whose members use folders of the operating system.
func startBenchGroup(b *testing.B, folder string, members, maxBatch, snapshotEvery int, delay time.Duration) *benchGroup {
	b.Helper()
	log.SetHandler(discard.New())
	network := newNetwork()
	network.delay = delay
	var names []model.InstanceID
	for i := range members {
		names = append(names, model.InstanceID(fmt.Sprint("m", i)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	g := &benchGroup{stop: func() { cancel(); running.Wait() }}
	for _, name := range names {
		n, err := replica.Open(replica.Options{
			Mesh: network.join(name), StateMachine: &countMachine{}, InitialMembers: names,
			Journal:         journal.Options{Folder: filepath.Join(folder, string(name))},
			ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond,
			MaxBatch: maxBatch, SnapshotEvery: snapshotEvery,
		})
		if err != nil {
			b.Fatal(err)
		}
		g.nodes = append(g.nodes, n)
		running.Go(func() {
			if err := n.Run(ctx); err != nil {
				b.Error(err)
			}
			if err := n.Close(); err != nil {
				b.Error(err)
			}
		})
	}
	return g
}

func (g *benchGroup) leader() *replica.Node {
	for {
		for _, n := range g.nodes {
			if n.IsLeader() {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// proposeMany proposes count commands from the given number of goroutines.
func proposeMany(b *testing.B, n *replica.Node, count, proposers int) {
	b.Helper()
	command := make([]byte, benchCommandBytes)
	var wait sync.WaitGroup
	work := make(chan struct{}, count)
	for range count {
		work <- struct{}{}
	}
	close(work)
	for range proposers {
		wait.Go(func() {
			for range work {
				if _, err := n.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
}

// BenchmarkCommit compares one sync per entry with group commit.
func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, proposers := range []int{1, 16, 256} {
			for _, batch := range []int{1, 1024} {
				b.Run(fmt.Sprintf("members=%d/proposers=%d/batch=%d", members, proposers, batch), func(b *testing.B) {
					g := startBenchGroup(b, b.TempDir(), members, batch, 0, 0)
					defer g.stop()
					leader := g.leader()
					b.ResetTimer()
					proposeMany(b, leader, b.N, proposers)
					b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				})
			}
		}
	}
}

// BenchmarkCommitFar commits across availability zones with network latency.
func BenchmarkCommitFar(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("delay=%s/proposers=%d", benchDelay, proposers), func(b *testing.B) {
			g := startBenchGroup(b, b.TempDir(), 3, 0, 0, benchDelay)
			defer g.stop()
			leader := g.leader()
			b.ResetTimer()
			proposeMany(b, leader, b.N, proposers)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRestart opens a folder after many commands, with only a log and with
// snapshots.
func BenchmarkRestart(b *testing.B) {
	for _, snapshotEvery := range []int{1 << 30, 1000} {
		b.Run(fmt.Sprintf("snapshotEvery=%d", snapshotEvery), func(b *testing.B) {
			folder := b.TempDir()
			g := startBenchGroup(b, folder, 1, 0, snapshotEvery, 0)
			proposeMany(b, g.leader(), benchChanges, benchProposers)
			g.stop()
			b.ResetTimer()
			for b.Loop() {
				n, err := replica.Open(replica.Options{
					Mesh: newNetwork().join("m0"), StateMachine: &countMachine{},
					Journal:         journal.Options{Folder: filepath.Join(folder, "m0")},
					ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond,
				})
				if err != nil {
					b.Fatal(err)
				}
				// The commit index of the last batch becomes known only from the next leader.
				if applied := n.Status().Applied; applied < benchChanges-benchProposers {
					b.Fatalf("applied %d of %d", applied, benchChanges)
				}
				if err := n.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

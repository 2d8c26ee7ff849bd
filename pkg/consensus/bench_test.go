package consensus

import (
	"slices"
	"testing"
	"time"
)

// failover returns how long a group is without a leader that holds the leader lease
// after the leader fails, with a one-way network latency of 1 ms.
func failover(seed uint64, voters int) time.Duration {
	sim := newSimulation(seed, voters)
	sim.faults = false
	for sim.leaderWithLease() == nil {
		sim.tickAll()
	}
	for range 50 + seed%50 {
		sim.tickAll()
	}
	sim.leaderWithLease().raft = nil
	failed := sim.time
	for sim.leaderWithLease() == nil {
		sim.tickAll()
	}
	return sim.time - failed
}

// tickAll advances the time by a millisecond and delivers the messages sent in the
// previous one.
func (sim *simulation) tickAll() {
	sim.time += time.Millisecond
	for _, m := range sim.takePending() {
		sim.deliver(m)
	}
	for _, n := range sim.nodes {
		if n.raft != nil {
			n.raft.Tick(n.now(sim))
			sim.flush(n)
		}
	}
}

func (sim *simulation) leaderWithLease() *node {
	for _, n := range sim.nodes {
		if n.raft != nil && n.raft.LeaseUntil(n.now(sim)) > n.now(sim) {
			return n
		}
	}
	return nil
}

// BenchmarkFailover reports the time without a leader that holds the leader lease, as a
// fraction of the election timeout.
func BenchmarkFailover(b *testing.B) {
	const seeds = 2000
	for range b.N {
		var times []time.Duration
		for seed := range uint64(seeds) {
			times = append(times, failover(seed, 3))
		}
		slices.Sort(times)
		share := func(d time.Duration) float64 { return float64(d) / float64(testElectionTimeout) }
		b.ReportMetric(share(times[seeds/2]), "p50-timeouts")
		b.ReportMetric(share(times[seeds*99/100]), "p99-timeouts")
		b.ReportMetric(share(times[seeds-1]), "max-timeouts")
	}
}

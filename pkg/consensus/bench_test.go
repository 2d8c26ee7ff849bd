package consensus

import (
	"slices"
	"testing"
	"time"
)

// failover returns how long a group has no leader with a lease after the leader
// fails, at 1 ms one way.
func failover(seed uint64, voters int) time.Duration {
	w := newWorld(seed, voters)
	w.faults = false
	for w.leased() == nil {
		w.tickAll()
	}
	for range 50 + seed%50 {
		w.tickAll()
	}
	w.leased().raft = nil
	failed := w.time
	for w.leased() == nil {
		w.tickAll()
	}
	return w.time - failed
}

// tickAll lets a millisecond pass and delivers what was sent in the one before.
func (w *world) tickAll() {
	w.time += time.Millisecond
	for _, m := range w.takePending() {
		w.deliver(m)
	}
	for _, n := range w.nodes {
		if n.raft != nil {
			n.raft.Tick(n.now(w))
			w.flush(n)
		}
	}
}

func (w *world) leased() *node {
	for _, n := range w.nodes {
		if n.raft != nil && n.raft.LeaseUntil(n.now(w)) > n.now(w) {
			return n
		}
	}
	return nil
}

// BenchmarkFailover reports the time without a leader as a share of the
// election timeout.
func BenchmarkFailover(b *testing.B) {
	const seeds = 2000
	for range b.N {
		var times []time.Duration
		for seed := range uint64(seeds) {
			times = append(times, failover(seed, 3))
		}
		slices.Sort(times)
		share := func(d time.Duration) float64 { return float64(d) / float64(worldElectionTimeout) }
		b.ReportMetric(share(times[seeds/2]), "p50-timeouts")
		b.ReportMetric(share(times[seeds*99/100]), "p99-timeouts")
		b.ReportMetric(share(times[seeds-1]), "max-timeouts")
	}
}

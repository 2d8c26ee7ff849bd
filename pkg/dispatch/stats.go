package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// statsWindow is the number of latencies that the median is computed over.
	statsWindow = 64
	// statsRefresh is the number of new latencies after which it is recomputed.
	statsRefresh = 16
	// initialLatencyShare is the usual latency of a route before any was measured, as
	// a share of its objective.
	initialLatencyShare = 0.15
)

// routeStats tracks the usual latency of one route's requests to targets. It is the
// median, which a minority of slow targets does not affect.
type routeStats struct {
	mu      sync.Mutex
	latency medianWindow
	// work is what the requests take at targets that report their pace, at pace 1 and
	// without the delay to the availability zone.
	work medianWindow
}

func newRouteStats(objective time.Duration) *routeStats {
	initial := medianWindow{median: time.Duration(initialLatencyShare * float64(objective))}
	return &routeStats{latency: initial, work: initial}
}

func (s *routeStats) usual() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.median
}

func (s *routeStats) add(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.add(latency)
}

func (s *routeStats) usualWork() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work.median
}

func (s *routeStats) addWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.add(work)
}

// medianWindow is the median over the last statsWindow durations.
type medianWindow struct {
	recent [statsWindow]time.Duration
	count  int
	median time.Duration
}

func (w *medianWindow) add(d time.Duration) {
	w.recent[w.count%statsWindow] = d
	w.count++
	if w.count%statsRefresh != 0 {
		return
	}
	sorted := slices.Clone(w.recent[:min(w.count, statsWindow)])
	slices.Sort(sorted)
	w.median = sorted[len(sorted)/2]
}

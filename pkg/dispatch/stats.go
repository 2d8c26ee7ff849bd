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
	mu     sync.Mutex
	recent [statsWindow]time.Duration
	count  int
	median time.Duration
}

func newRouteStats(objective time.Duration) *routeStats {
	return &routeStats{median: time.Duration(initialLatencyShare * float64(objective))}
}

func (s *routeStats) usual() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.median
}

func (s *routeStats) add(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent[s.count%statsWindow] = latency
	s.count++
	if s.count%statsRefresh != 0 {
		return
	}
	sorted := slices.Clone(s.recent[:min(s.count, statsWindow)])
	slices.Sort(sorted)
	s.median = sorted[len(sorted)/2]
}

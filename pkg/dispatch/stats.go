package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// statsWindow is the number of latencies that the usual one is taken from.
	statsWindow = 64
	// statsRefresh is how many new latencies come before it is taken anew.
	statsRefresh = 16
	// assumedShare is the usual latency of a route before any was seen, as a
	// share of its objective.
	assumedShare = 0.15
)

// routeStats follows the usual latency of one route's requests to targets: the
// median, which a minority of slow targets does not move.
type routeStats struct {
	mu      sync.Mutex
	recent  [statsWindow]time.Duration
	count   int
	current time.Duration
}

func newRouteStats(objective time.Duration) *routeStats {
	return &routeStats{current: time.Duration(assumedShare * float64(objective))}
}

func (s *routeStats) usual() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
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
	s.current = sorted[len(sorted)/2]
}

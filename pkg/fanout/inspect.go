package fanout

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// TargetInfo is a target as this instance sees it.
type TargetInfo struct {
	ID               model.TargetID           `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Version          model.VersionID          `json:"version"`
	Boot             model.BootID             `json:"boot"`
	// Admitted is false for targets that operators or the platform took out of
	// service.
	Admitted bool `json:"admitted"`
	Draining bool `json:"draining"`
	Ejected  bool `json:"ejected"`
	Warm     bool `json:"warm"`
	// Connections and ColdLoad are the grant of this instance at the target.
	Connections int     `json:"connections"`
	ColdLoad    int     `json:"coldLoad"`
	InFlight    int     `json:"inFlight"`
	LatencyMs   float64 `json:"latencyMs"`
}

// Inspector lists the state of all targets.
type Inspector interface {
	// Targets returns all targets in order of ID.
	Targets() []TargetInfo
}

var _ Inspector = (*Service)(nil)

// Targets returns all targets in order of ID.
func (s *Service) Targets() []TargetInfo {
	now := s.now()
	var infos []TargetInfo
	for _, t := range s.allTargets() {
		infos = append(infos, t.info(now))
	}
	slices.SortFunc(infos, func(a, b TargetInfo) int { return cmp.Compare(a.ID, b.ID) })
	return infos
}

func (t *targetState) info(now time.Duration) TargetInfo {
	t.leaf.mu.Lock()
	defer t.leaf.mu.Unlock()
	return TargetInfo{
		ID:               t.target.ID,
		AvailabilityZone: t.target.AvailabilityZone,
		Version:          t.target.Version,
		Boot:             t.warmth.Boot(),
		Admitted:         t.inService,
		Draining:         t.draining || t.drainHinted,
		Ejected:          t.ejection.Ejected(t.inFlight, now),
		Warm:             t.warmth.Warm(),
		Connections:      t.grant.Connections,
		ColdLoad:         t.grant.ColdLoad,
		InFlight:         t.inFlight,
		LatencyMs:        float64(t.meanLatency.Value(now, t.leaf.medianLatency)) / float64(time.Millisecond),
	}
}

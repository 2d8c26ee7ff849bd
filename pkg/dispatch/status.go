package dispatch

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/model"
)

// Status is the state of an Engine.
type Status struct {
	// TableVersion is the version of the routing table in force; 0 if there is none.
	TableVersion uint64 `json:"tableVersion"`
	// Targets are the listed targets, sorted by service and ID.
	Targets []TargetStatus `json:"targets"`
	// Budgets are the extra requests that this instance may still send, by service.
	Budgets map[model.ServiceID]float64 `json:"budgets"`
}

// TargetStatus is the state of a target as an Engine sees it.
type TargetStatus struct {
	ID               model.TargetID           `json:"id"`
	Service          model.ServiceID          `json:"service"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	// Cost is the expected cost of a request, in usual latencies. FleetCost is the
	// cost that the fleet reports for an expensive target, 0 for any other.
	Cost      float64 `json:"cost"`
	FleetCost float64 `json:"dear,omitempty"`
	// Pace is how long work takes at the target, as a multiple of the usual time; 0 if the
	// target does not report it.
	Pace float64 `json:"pace,omitempty"`
	// Unused is why the target gets no requests now; empty if it gets requests.
	Unused string `json:"unused,omitempty"`
	Cold   bool   `json:"cold,omitempty"`
	// Own is set if the target is in the instance's own subset, to which it keeps
	// connections.
	Own         bool `json:"own,omitempty"`
	Connections int  `json:"connections,omitempty"`
	InFlight    int  `json:"inFlight,omitempty"`
}

// Status returns the current state of the engine.
func (e *Engine) Status() Status {
	state, now := e.registryState(), e.now()
	s := Status{TableVersion: state.view.Routing.Version(), Budgets: make(map[model.ServiceID]float64)}
	for id, t := range state.targets {
		status := TargetStatus{
			ID: id, Service: t.Service, AvailabilityZone: t.AvailabilityZone, Cold: t.Cold,
			FleetCost: rounded(state.view.ExpensiveTargets[id]), Own: slices.Contains(state.services[t.Service].own, t),
			Connections: t.pool.Connections(),
		}
		t.mu.Lock()
		status.Cost, status.InFlight = rounded(t.health.cost(now)), len(t.health.pending)
		if t.health.expected.Known() {
			status.Pace = rounded(t.health.expected.Pace(now))
		}
		switch {
		case t.Leaving || t.notice.leaving(now):
			status.Unused = "leaving"
		case state.view.Evacuated[t.AvailabilityZone]:
			status.Unused = "evacuated"
		case t.wrongTarget:
			status.Unused = "address of another target"
		case t.health.unreachable(now):
			status.Unused = "unreachable"
		case t.notice.paused(now):
			status.Unused = "paused"
		}
		t.mu.Unlock()
		s.Targets = append(s.Targets, status)
	}
	slices.SortFunc(s.Targets, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	bound := e.retryBound()
	for id, b := range e.budgets {
		s.Budgets[id] = rounded(b.Remaining(now, bound))
	}
	return s
}

// targetStates are the states of targets by their metric label values.
var targetStates = map[string]func(*TargetStatus) bool{
	"listed":      func(*TargetStatus) bool { return true },
	"own":         func(t *TargetStatus) bool { return t.Own },
	"unused":      func(t *TargetStatus) bool { return t.Unused != "" },
	"unreachable": func(t *TargetStatus) bool { return t.Unused == "unreachable" },
	"dear":        func(t *TargetStatus) bool { return t.FleetCost > 0 },
	"leaving":     func(t *TargetStatus) bool { return t.Unused == "leaving" },
	"paused":      func(t *TargetStatus) bool { return t.Unused == "paused" },
	"cold":        func(t *TargetStatus) bool { return t.Cold },
}

// registerGauges adds gauges of the status to the process metrics.
func (e *Engine) registerGauges() {
	metrics.RegisterMetricsWriter(func(w io.Writer) {
		s := e.Status()
		s.writeGauges(w)
	})
}

func (s *Status) writeGauges(w io.Writer) {
	connections := 0
	counts := make(map[string]uint64, len(targetStates))
	for i := range s.Targets {
		connections += s.Targets[i].Connections
		for state, matches := range targetStates {
			if matches(&s.Targets[i]) {
				counts[state]++
			}
		}
	}
	for _, state := range slices.Sorted(maps.Keys(targetStates)) {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("radishturn_targets{state=%q}", state), counts[state])
	}
	metrics.WriteGaugeUint64(w, "radishturn_target_connections", uint64(connections))
	metrics.WriteGaugeUint64(w, "radishturn_table_version", s.TableVersion)
	least := 0.0
	if len(s.Budgets) > 0 {
		least = slices.Min(slices.Collect(maps.Values(s.Budgets)))
	}
	metrics.WriteGaugeFloat64(w, "radishturn_retry_budget_least", least)
}

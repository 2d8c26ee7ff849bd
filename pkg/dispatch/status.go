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

// Status is what an Engine believes and holds.
type Status struct {
	// TableVersion is that of the routing table in force; 0 if there is none.
	TableVersion uint64 `json:"tableVersion"`
	// Targets are the listed targets in order of their services and IDs.
	Targets []TargetStatus `json:"targets"`
	// Budgets are the extra requests that each service may get from this instance.
	Budgets map[model.ServiceID]float64 `json:"budgets"`
}

// TargetStatus is what an Engine believes of a target.
type TargetStatus struct {
	ID               model.TargetID           `json:"id"`
	Service          model.ServiceID          `json:"service"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	// Cost is what a request is expected to cost, in usual latencies, and Dear
	// what the fleet says; 0 means not dear.
	Cost float64 `json:"cost"`
	Dear float64 `json:"dear,omitempty"`
	// Unused says why the target gets no requests now; empty if it gets some.
	Unused string `json:"unused,omitempty"`
	Cold   bool   `json:"cold,omitempty"`
	// Own is set if the instance keeps connections to the target.
	Own         bool `json:"own,omitempty"`
	Connections int  `json:"connections,omitempty"`
	InFlight    int  `json:"inFlight,omitempty"`
}

// Status returns what the engine believes now.
func (e *Engine) Status() Status {
	p, now := e.page(), e.now()
	s := Status{TableVersion: p.view.Routing.Version(), Budgets: make(map[model.ServiceID]float64)}
	for id, t := range p.targets {
		status := TargetStatus{
			ID: id, Service: t.Service, AvailabilityZone: t.AvailabilityZone, Cold: t.Cold,
			Dear: rounded(p.view.ExpensiveTargets[id]), Own: slices.Contains(p.services[t.Service].own, t),
			Connections: t.pool.Connections(),
		}
		t.mu.Lock()
		status.Cost, status.InFlight = rounded(t.health.cost(now)), len(t.health.pending)
		switch {
		case t.Leaving:
			status.Unused = "leaving"
		case p.view.Evacuated[t.AvailabilityZone]:
			status.Unused = "evacuated"
		case t.mistaken:
			status.Unused = "address of another target"
		case t.health.ejected(now):
			status.Unused = "unreachable"
		}
		t.mu.Unlock()
		s.Targets = append(s.Targets, status)
	}
	slices.SortFunc(s.Targets, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	bound := e.bound()
	for id, b := range e.budgets {
		s.Budgets[id] = rounded(b.Left(now, bound))
	}
	return s
}

// states of targets, as label values.
var targetStates = map[string]func(*TargetStatus) bool{
	"listed":      func(*TargetStatus) bool { return true },
	"own":         func(t *TargetStatus) bool { return t.Own },
	"unused":      func(t *TargetStatus) bool { return t.Unused != "" },
	"unreachable": func(t *TargetStatus) bool { return t.Unused == "unreachable" },
	"dear":        func(t *TargetStatus) bool { return t.Dear > 0 },
	"cold":        func(t *TargetStatus) bool { return t.Cold },
}

// serveGauges adds gauges of the status to the metrics of the process.
func (e *Engine) serveGauges() {
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
		for state, is := range targetStates {
			if is(&s.Targets[i]) {
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

package routing

import (
	"fmt"
	"math"

	"radishturn.example/radishturn/pkg/model"
)

// Check returns the first error that makes the table unusable.
func (t *Table) Check() error {
	known := make(map[model.ServiceID]bool, len(t.Services))
	for _, s := range t.Services {
		known[s.Name] = true
	}
	names := make(map[RouteKey]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(known); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		if other, taken := names[r.Key()]; taken {
			return fmt.Errorf("route %q: route %q has the same host and prefix", r.Name, other)
		}
		names[r.Key()] = r.Name
	}
	return checkCallers(t.Callers)
}

func (r *Route) check(known map[model.ServiceID]bool) error {
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout %s is not greater than zero", r.Timeout)
	}
	if r.Fanout != nil {
		return r.Fanout.check(known)
	}
	total := 0.0
	for _, w := range r.Split {
		if !known[w.Service] {
			return fmt.Errorf("unknown service %q", w.Service)
		}
		if w.Weight < 0 {
			return fmt.Errorf("service %q has the negative weight %g", w.Service, w.Weight)
		}
		total += w.Weight
	}
	if total <= 0 || math.IsInf(total, 0) {
		return fmt.Errorf("weights add up to %g; the sum must be finite and greater than zero", total)
	}
	return nil
}

func (f *Fanout) check(known map[model.ServiceID]bool) error {
	if len(f.Shards) == 0 {
		return fmt.Errorf("fan-out has no shards")
	}
	seen := make(map[model.ServiceID]bool, len(f.Shards))
	for _, s := range f.Shards {
		if !known[s] {
			return fmt.Errorf("unknown service %q", s)
		}
		if seen[s] {
			return fmt.Errorf("shard %q is listed twice", s)
		}
		seen[s] = true
	}
	return nil
}

package lease

import (
	"maps"
	"slices"
	"strings"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// merge returns the view after a delta; old is not modified. Unchanged parts are
// shared. Grants are not part of configuration deltas. merge returns old and false
// if the delta does not build on old.
func merge(old *view.View, d *state.Delta) (*view.View, bool) {
	table, ok := mergeTable(old.Routing, d.Table)
	if !ok {
		return old, false
	}
	if d.IsFull() {
		// Keep the table in use until a newer one arrives: its version must only grow.
		old = &view.View{Grants: old.Grants, Catalog: old.Catalog, Routing: old.Routing, ExpensiveTargets: old.ExpensiveTargets, CostPosition: old.CostPosition, Restarts: old.Restarts}
	}
	return &view.View{
		Revision:         d.Revision,
		Instances:        mergeInstances(old.Instances, d.Instances, d.InstancesRemoved),
		ZonesOut:         mergeSet(old.ZonesOut, d.ZonesOut, d.ZonesIn),
		Drained:          mergeSet(old.Drained, d.Drained, d.Undrained),
		CallerLimits:     mergeLimits(old.CallerLimits, d.Limits, d.LimitsRemoved),
		Moves:            mergeMoves(old.Moves, d.Moves, d.MovesEnded),
		Grants:           old.Grants,
		Quarantined:      mergeSet(old.Quarantined, d.Quarantined, d.Unquarantined),
		Routing:          table,
		Catalog:          old.Catalog,
		Evacuated:        mergeEvacuated(old.Evacuated, d),
		ExpensiveTargets: old.ExpensiveTargets,
		CostPosition:     old.CostPosition,
		Restarts:         old.Restarts,
	}, true
}

// mergeTable applies a table only if its version is higher. It returns false if
// the change builds on a table other than the one held.
func mergeTable(old *routing.Index, c *routing.TableDelta) (*routing.Index, bool) {
	if c == nil || old != nil && c.From == 0 && c.To <= old.Version() {
		return old, true
	}
	var held *routing.Table
	if old != nil {
		held = old.Table
	}
	t, ok := held.Apply(c)
	if !ok {
		return old, false
	}
	return routing.NewIndex(t), true
}

func mergeEvacuated(old map[model.AvailabilityZoneID]bool, d *state.Delta) map[model.AvailabilityZoneID]bool {
	if !d.EvacuationChanged {
		return old
	}
	return mergeSet(nil, d.Evacuated, nil)
}

// cloneAndEdit returns a copy of old after change was applied to it, or old itself
// if there are no changes.
func cloneAndEdit[K comparable, V any](old map[K]V, changes int, change func(map[K]V)) map[K]V {
	if changes == 0 && old != nil {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = make(map[K]V)
	}
	change(next)
	return next
}

func mergeSet[K comparable](old map[K]bool, in, out []K) map[K]bool {
	return cloneAndEdit(old, len(in)+len(out), func(next map[K]bool) {
		for _, k := range in {
			next[k] = true
		}
		for _, k := range out {
			delete(next, k)
		}
	})
}

func mergeLimits(old map[model.CallerID]float64, limits []rules.Limit, ended []model.CallerID) map[model.CallerID]float64 {
	return cloneAndEdit(old, len(limits)+len(ended), func(next map[model.CallerID]float64) {
		for _, l := range limits {
			next[l.Caller] = l.PerSecond
		}
		for _, c := range ended {
			delete(next, c)
		}
	})
}

func mergeMoves(old map[model.CollectionID]view.Move, moves []state.CollectionMove, ended []model.CollectionID) map[model.CollectionID]view.Move {
	return cloneAndEdit(old, len(moves)+len(ended), func(next map[model.CollectionID]view.Move) {
		for _, m := range moves {
			next[m.Collection] = m.Move
		}
		for _, c := range ended {
			delete(next, c)
		}
	})
}

func mergeInstances(old, changed []model.Instance, removed []model.InstanceID) []model.Instance {
	if len(changed)+len(removed) == 0 {
		return old
	}
	replaced := make(map[model.InstanceID]bool, len(changed)+len(removed))
	for _, i := range changed {
		replaced[i.ID] = true
	}
	for _, id := range removed {
		replaced[id] = true
	}
	next := make([]model.Instance, 0, len(old)+len(changed))
	for _, i := range old {
		if !replaced[i.ID] {
			next = append(next, i)
		}
	}
	next = append(next, changed...)
	slices.SortFunc(next, func(a, b model.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return next
}

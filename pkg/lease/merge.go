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

// merge returns the view after a delta; old stays as it is. Parts that did not
// change are shared. Grants are not part of deltas of the configuration. It
// reports false, and returns old, if the delta does not build on old.
func merge(old *view.View, d *state.Delta) (*view.View, bool) {
	table, ok := mergeTable(old.Routing, d.Table)
	if !ok {
		return old, false
	}
	if d.Whole() {
		// A table in use is kept until a newer one comes: its version only grows.
		old = &view.View{Grants: old.Grants, Catalog: old.Catalog, Routing: old.Routing, ExpensiveTargets: old.ExpensiveTargets, CostPosition: old.CostPosition}
	}
	return &view.View{
		Revision:         d.Revision,
		Instances:        mergeInstances(old.Instances, d.Instances, d.Gone),
		ZonesOut:         mergeSet(old.ZonesOut, d.ZonesOut, d.ZonesIn),
		Drained:          mergeSet(old.Drained, d.Drained, d.Undrained),
		CallerLimits:     mergeLimits(old.CallerLimits, d.Limits, d.Unlimited),
		Moves:            mergeMoves(old.Moves, d.Moves, d.MovesEnded),
		Grants:           old.Grants,
		Quarantined:      mergeSet(old.Quarantined, d.Quarantined, d.Lifted),
		Routing:          table,
		Catalog:          old.Catalog,
		Evacuated:        mergeEvacuated(old.Evacuated, d),
		ExpensiveTargets: old.ExpensiveTargets,
		CostPosition:     old.CostPosition,
	}, true
}

// mergeTable takes up a table only if its version is higher. It reports false if
// the change builds on another table than the one that is held.
func mergeTable(old *routing.Index, c *routing.Change) (*routing.Index, bool) {
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

// cloneAndEdit returns a copy of old that change has worked on, or old itself if
// nothing changes.
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

func mergeMoves(old map[model.CollectionID]view.Move, moves []state.MoveEntry, ended []model.CollectionID) map[model.CollectionID]view.Move {
	return cloneAndEdit(old, len(moves)+len(ended), func(next map[model.CollectionID]view.Move) {
		for _, m := range moves {
			next[m.Collection] = m.Move
		}
		for _, c := range ended {
			delete(next, c)
		}
	})
}

func mergeInstances(old, changed []model.Instance, gone []model.InstanceID) []model.Instance {
	if len(changed)+len(gone) == 0 {
		return old
	}
	replaced := make(map[model.InstanceID]bool, len(changed)+len(gone))
	for _, i := range changed {
		replaced[i.ID] = true
	}
	for _, id := range gone {
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

package server

import (
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// refreshLimits updates the catalog and the limits if the platform's list has
// changed.
func (n *leaderTerm) refreshLimits() {
	list := n.platform.List()
	n.termMu.Lock()
	defer n.termMu.Unlock()
	if list == nil || list == n.list {
		return
	}
	// A list that loses all its targets at once indicates a platform failure.
	if len(list.Targets) == 0 && n.list != nil {
		return
	}
	n.list = list
	_, refused := n.catalog.Update(list.Targets)
	n.refusedTargets.Add(refused...)
	n.setLimits()
}

// setLimits computes the limits of each target from settings and evidence.
func (n *leaderTerm) setLimits() {
	if n.list == nil {
		return
	}
	collections := make(map[model.CollectionID]settings.Collection, len(n.settings.Collections))
	for _, c := range n.settings.Collections {
		collections[c.ID] = c
	}
	limits := make(map[model.TargetID]grant.Limit, len(n.list.Targets))
	for _, t := range n.list.Targets {
		if c, ok := collections[t.Collection]; ok {
			limits[t.ID] = n.targetLimit(t.ID, c)
		}
	}
	n.warmth.Retain(func(id model.TargetID) bool { _, ok := limits[id]; return ok })
	n.granter.SetLimits(limits)
}

// targetLimit returns the limits of one target. Until the grants under earlier
// leaders are known, a target without evidence may keep its cold load, up to the
// ceiling.
func (n *leaderTerm) targetLimit(id model.TargetID, c settings.Collection) grant.Limit {
	ceiling := c.Connections
	if c.Concurrency > 0 {
		ceiling = min(ceiling, c.Concurrency)
	}
	if !n.grantsKnown && !n.warmth.IsTracked(id) {
		return grant.Limit{Connections: c.Connections, ColdLoad: ceiling}
	}
	return grant.Limit{Connections: c.Connections, ColdLoad: n.warmth.ColdLoad(id, c.ColdLoad, ceiling)}
}

// restoreColdLoads initializes the cold loads from the grants under earlier
// leaders, so that a new leader does not treat warm targets as cold. The caller
// holds n.termMu.
func (n *leaderTerm) restoreColdLoads() {
	n.grantsKnown = true
	if n.list == nil {
		return
	}
	start := make(map[model.CollectionID]int, len(n.settings.Collections))
	for _, c := range n.settings.Collections {
		start[c.ID] = c.ColdLoad
	}
	for _, t := range n.list.Targets {
		if !n.warmth.IsTracked(t.ID) {
			n.warmth.AssumeHeld(n.now(), t.ID, n.granter.MaxHeld(t.ID).ColdLoad, start[t.Collection])
		}
	}
	n.setLimits()
}

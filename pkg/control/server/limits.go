package server

import (
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

// refreshLimits follows the platform's list of targets.
func (n *session) refreshLimits() {
	list := n.platform.List()
	n.lock.Lock()
	defer n.lock.Unlock()
	if list == nil || list == n.list {
		return
	}
	n.list = list
	n.setLimits()
}

// setLimits works out what each target bears from settings and evidence.
func (n *session) setLimits() {
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
			limits[t.ID] = n.limitOf(t.ID, c)
		}
	}
	n.warmth.Keep(func(id model.TargetID) bool { _, ok := limits[id]; return ok })
	n.granter.SetLimits(limits)
}

func (n *session) limitOf(id model.TargetID, c settings.Collection) grant.Limit {
	ceiling := c.Connections
	if c.Concurrency > 0 {
		ceiling = min(ceiling, c.Concurrency)
	}
	return grant.Limit{Connections: c.Connections, ColdLoad: n.warmth.Load(id, c.ColdLoad, ceiling)}
}

// assumeWarmth keeps the cold load that an instance held under an earlier
// leader from shrinking.
func (n *session) assumeWarmth(held map[model.TargetID]view.Grant) {
	if n.list == nil {
		return
	}
	start := make(map[model.CollectionID]int, len(n.settings.Collections))
	for _, c := range n.settings.Collections {
		start[c.ID] = c.ColdLoad
	}
	for _, t := range n.list.Targets {
		if _, ok := held[t.ID]; ok {
			n.warmth.Assume(n.now(), t.ID, n.granter.Held(t.ID).ColdLoad, start[t.Collection])
		}
	}
	n.setLimits()
}

package server

import (
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// refreshLimits follows the platform's list of targets.
func (n *session) refreshLimits() {
	list := n.platform.List()
	n.lock.Lock()
	defer n.lock.Unlock()
	if list == nil || list == n.list {
		return
	}
	// A list that lost all its targets at once tells of a fault of the platform.
	if len(list.Targets) == 0 && n.list != nil {
		return
	}
	n.list = list
	n.catalog.Update(list.Targets)
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
	n.warmth.Retain(func(id model.TargetID) bool { _, ok := limits[id]; return ok })
	n.granter.SetLimits(limits)
}

// limitOf returns what one target bears. Until the holdings under earlier
// leaders are known, a target without evidence keeps the cold load it has.
func (n *session) limitOf(id model.TargetID, c settings.Collection) grant.Limit {
	ceiling := c.Connections
	if c.Concurrency > 0 {
		ceiling = min(ceiling, c.Concurrency)
	}
	if !n.settled && !n.warmth.HasEvidence(id) {
		return grant.Limit{Connections: c.Connections, ColdLoad: ceiling}
	}
	return grant.Limit{Connections: c.Connections, ColdLoad: n.warmth.ColdLoad(id, c.ColdLoad, ceiling)}
}

// settleWarmth starts from the cold load that instances hold under earlier
// leaders, so that a new leader does not cool warm targets down. The lock is held.
func (n *session) settleWarmth() {
	n.settled = true
	if n.list == nil {
		return
	}
	start := make(map[model.CollectionID]int, len(n.settings.Collections))
	for _, c := range n.settings.Collections {
		start[c.ID] = c.ColdLoad
	}
	for _, t := range n.list.Targets {
		if !n.warmth.HasEvidence(t.ID) {
			n.warmth.AssumeHeld(n.now(), t.ID, n.granter.MaxHeld(t.ID).ColdLoad, start[t.Collection])
		}
	}
	n.setLimits()
}

package fanout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/query/hedge"
	"radishturn.example/radishturn/pkg/query/snapshots"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/view"
)

// replanInterval is how often the snapshot is chosen again when neither the list
// nor the view has changed, because what is known of a snapshot can expire.
const replanInterval = time.Second

// plan is a snapshot with the leaves that serve it.
type plan struct {
	snapshot *model.Snapshot
	// complete is set if no leaf was known to lack the snapshot.
	complete bool
	// leaves has an entry for each leaf of the snapshot: nil for a leaf that has had
	// no listed target so far.
	leaves []*leaf
	// sortedLeaves holds the leaves in order of their ID. The key of an order is
	// mapped to one of them.
	sortedLeaves []*leaf
	documents    int
}

// collection holds the leaves of one collection and their shared state.
type collection struct {
	id          model.CollectionID
	settings    settings.Collection
	hedgePolicy hedge.Policy

	extraBudgetMu sync.Mutex
	// extraBudget limits hedges and retries.
	extraBudget hedge.Budget

	plan atomic.Pointer[plan]
	// replanNeeded is set when a target refused a snapshot, or a health hint
	// changed what is known of the snapshots, so that the plan may have to change
	// before the next refresh.
	replanNeeded atomic.Bool
	// turnedColdAt is when a target last turned cold without a restart; 0 means
	// never.
	turnedColdAt atomic.Int64
	// foundComplete is set once a complete snapshot was found.
	foundComplete atomic.Bool

	mu        sync.Mutex
	leaves    map[model.LeafID]*leaf
	targets   map[model.TargetID]*targetState
	snapshots []model.Snapshot
	// establishedVersion is the version used while no move is in progress.
	establishedVersion model.VersionID
	outcomes           outcomes
	// noCompleteSnapshot is set while no snapshot is complete.
	noCompleteSnapshot bool
	list               *platform.List
	view               *view.View
	replanAt           time.Duration
	// nextWarmReportsAt is when warm targets are next reported (see repeatWarmReports).
	nextWarmReportsAt time.Duration
	instances         []model.InstanceID
	// sameInstances is set if the last refresh found the same instances.
	sameInstances bool

	self model.InstanceID
	// memory bounds the replies that are read at a time, over all collections.
	memory *membudget.Budget
	// sharingInstances is a copy of instances that is read without mu.
	sharingInstances atomic.Pointer[[]model.InstanceID]
}

func newCollection(s settings.Collection, self model.InstanceID, memory *membudget.Budget) *collection {
	return &collection{
		id:          s.ID,
		self:        self,
		memory:      memory,
		settings:    s,
		hedgePolicy: hedgePolicy(s),
		extraBudget: hedge.NewBudget(s.HedgeBudget),
		leaves:      make(map[model.LeafID]*leaf),
		targets:     make(map[model.TargetID]*targetState),
	}
}

// refresh applies the platform's list and the view. Both are immutable once they
// are published, so the same pointers mean that nothing has changed.
func (c *collection) refresh(list *platform.List, v *view.View, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list == c.list && v == c.view {
		if c.replanNeeded.Load() || now >= c.replanAt {
			c.replan(now)
		}
		return
	}
	c.list, c.view = list, v
	c.snapshots = c.snapshots[:0]
	for _, s := range list.Snapshots {
		if s.Collection == c.id {
			c.snapshots = append(c.snapshots, s)
		}
	}
	c.updateInstances(v)
	c.refreshTargets(list, v)
	c.refreshVersions(v)
	c.replan(now)
}

func (c *collection) refreshTargets(list *platform.List, v *view.View) {
	listed := make(map[model.TargetID]bool, len(c.targets))
	for _, t := range list.Targets {
		if t.Collection != c.id {
			continue
		}
		listed[t.ID] = true
		c.refreshTarget(t, v)
	}
	for id, t := range c.targets {
		if !listed[id] {
			c.removeTarget(t)
		}
	}
}

func (c *collection) refreshTarget(t model.Target, v *view.View) {
	state := c.targets[t.ID]
	if state != nil && !sameProcess(state.target, t) {
		c.removeTarget(state)
		state = nil
	}
	if state == nil {
		state = c.addTarget(t)
	}
	granted := v.Grants[t.ID]
	state.client.SetGrant(granted.Connections)

	l := state.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	state.inService = !t.Leaving && !v.ZonesOut[t.AvailabilityZone] && !v.Drained[t.ID]
	state.updateGrant(granted, c.requestLimit(granted.Connections), c.sameInstances)
	// The grant may have added up to that many free requests.
	for range granted.Connections {
		l.wakeOne()
	}
}

// updateInstances tracks the instances that share the capacity of the targets.
func (c *collection) updateInstances(v *view.View) {
	ids := make([]model.InstanceID, len(v.Instances))
	for i, instance := range v.Instances {
		ids[i] = instance.ID
	}
	c.sameInstances = slices.Equal(ids, c.instances)
	if !c.sameInstances {
		c.instances = ids
		c.sharingInstances.Store(&ids)
	}
}

// initialColdLoad returns this instance's share of the load that a target is
// given right after its start.
func (c *collection) initialColdLoad(t model.TargetID) int {
	limit := grant.Limit{ColdLoad: c.settings.ColdLoad}
	ids := c.sharingInstances.Load()
	if ids == nil {
		return 0
	}
	return grant.Shares(t, limit, *ids)[c.self].ColdLoad
}

// sameProcess reports whether two entries of the list may refer to the same
// process.
func sameProcess(a, b model.Target) bool {
	a.Leaving = b.Leaving
	return a == b
}

// requestLimit returns how many requests this instance may have in flight at a
// target: its share of the target's concurrency, in proportion to its share of
// the connections.
func (c *collection) requestLimit(connections int) int {
	if c.settings.Concurrency == 0 || c.settings.Connections == 0 {
		return connections
	}
	share := c.settings.Concurrency * connections / c.settings.Connections
	return min(connections, max(share, min(connections, 1)))
}

func (c *collection) addTarget(t model.Target) *targetState {
	l := c.leaves[t.Leaf]
	if l == nil {
		l = &leaf{id: t.Leaf, collection: c}
		c.leaves[t.Leaf] = l
	}
	state := &targetState{
		target:    t,
		client:    target.NewClient(t, c.memory),
		leaf:      l,
		snapshots: make(map[model.SnapshotID]*snapshots.Record),
	}
	c.targets[t.ID] = state
	l.mu.Lock()
	l.targets = append(l.targets, state)
	l.mu.Unlock()
	return state
}

func (c *collection) removeTarget(t *targetState) {
	delete(c.targets, t.target.ID)
	l := t.leaf
	l.mu.Lock()
	l.targets = slices.DeleteFunc(l.targets, func(other *targetState) bool { return other == t })
	t.inService = false
	l.mu.Unlock()
	t.client.Close()
}

// refreshVersions tracks the version that is used when no move is in progress.
func (c *collection) refreshVersions(v *view.View) {
	if m, ok := v.Moves[c.id]; ok {
		c.establishedVersion = m.From
		if m.Share >= 1 && !m.Reverted {
			c.establishedVersion = m.To
		}
		return
	}
	counts := make(map[model.VersionID]int)
	for _, t := range c.targets {
		counts[t.target.Version]++
	}
	c.establishedVersion = versions.Established(c.establishedVersion, counts)
}

// replan chooses the snapshot for the queries that start from now on.
func (c *collection) replan(now time.Duration) {
	c.replanNeeded.Store(false)
	c.replanAt = now + replanInterval
	chosen, ok := snapshots.Choose(c.snapshots, func(id model.LeafID, s model.SnapshotID) snapshots.Holding {
		l := c.leaves[id]
		if l == nil {
			return snapshots.NotHeld
		}
		return l.bestHolding(s, now)
	})
	c.updateCompleteSnapshot(ok && chosen.NoLeafMissing)
	if !ok {
		return
	}
	old := c.plan.Load()
	same := old != nil && sameSnapshot(old.snapshot, chosen.Snapshot)
	if same && old.complete == chosen.NoLeafMissing {
		return
	}
	next := c.newPlan(chosen.Snapshot)
	next.complete = chosen.NoLeafMissing
	c.plan.Store(next)
	if !same {
		events.Emit(events.NewestSnapshotChanged, c.id, chosen.Snapshot.ID)
	}
}

// updateCompleteSnapshot emits one event when no snapshot is complete any longer.
// Queries then use the snapshot of which most documents are held, or keep the
// previous one; the coverage of their answers states what is missing.
func (c *collection) updateCompleteSnapshot(complete bool) {
	if !complete && !c.noCompleteSnapshot {
		events.Emit(events.SnapshotUnavailable, c.id)
	}
	c.noCompleteSnapshot = !complete
	if complete {
		c.foundComplete.Store(true)
	}
}

func sameSnapshot(a, b *model.Snapshot) bool {
	return a.ID == b.ID && slices.Equal(a.Leaves, b.Leaves)
}

func (c *collection) newPlan(s *model.Snapshot) *plan {
	pinned := *s
	pinned.Leaves = slices.Clone(s.Leaves)
	p := &plan{snapshot: &pinned, leaves: make([]*leaf, len(s.Leaves))}
	for i, part := range s.Leaves {
		p.leaves[i] = c.leaves[part.Leaf]
		p.documents += part.Documents
	}
	p.sortedLeaves = slices.DeleteFunc(slices.Clone(p.leaves), func(l *leaf) bool { return l == nil })
	slices.SortFunc(p.sortedLeaves, func(a, b *leaf) int { return a.id.Compare(b.id) })
	return p
}

// currentPlan returns the plan for a new query. It replans first if replanNeeded
// is set.
func (c *collection) currentPlan(now time.Duration) *plan {
	if c.replanNeeded.Load() {
		c.mu.Lock()
		if c.replanNeeded.Load() {
			c.replan(now)
		}
		c.mu.Unlock()
	}
	return c.plan.Load()
}

// chooseVersions returns the versions that a request of a caller may use at every
// leaf.
func (c *collection) chooseVersions(v *view.View, caller model.CallerID, request model.RequestID) versions.Choice {
	if m, ok := v.Moves[c.id]; ok {
		return versions.ForMove(m, versions.SplitPosition(m, c.id, caller, request), c.outcomes.isStopped)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return versions.WithoutMove(c.establishedVersion)
}

package grant

import (
	"maps"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Delta changes the grants of one instance. Deltas of one session are applied
// in order of Sequence, each once.
type Delta struct {
	Sequence uint64  `cbor:"1,keyasint"`
	Changes  []Entry `cbor:"2,keyasint"`
}

// Entry is the new grant for a target; an empty grant revokes it.
type Entry struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Grant  view.Grant     `cbor:"2,keyasint"`
}

// Ledger tracks an upper bound of what each instance holds.
type Ledger struct {
	targets map[model.TargetID]*target
	// sortedIDs lists the targets in order of ID; nil if it has to be recomputed.
	sortedIDs []model.TargetID
	// records hold what the leader knows about the grants of each instance.
	records map[model.InstanceID]*grantRecord
	// instances are those that the shares are computed for. Rebalance updates
	// them from records, so that many joins at once cost as much as one.
	instances      []model.InstanceID
	instancesStale bool
	// limitsKnown is set by the first SetLimits; until then no share changes.
	limitsKnown bool
	// generation grows with each change that may affect a share.
	generation uint64
	// unreported counts the instances that have not reported their holdings yet.
	unreported int
}

type target struct {
	limit Limit
	// reserved is the sum of the upper bounds of what instances hold.
	reserved view.Grant
	// shares is what each instance should hold; nil if it has to be recomputed.
	shares map[model.InstanceID]view.Grant
}

type grantRecord struct {
	reported bool
	// acknowledged is the last state that the instance acknowledged; it may have
	// applied pending since.
	acknowledged map[model.TargetID]view.Grant
	// pending was sent but not acknowledged; it is resent until it is.
	pending  *Delta
	sequence uint64
	// offeredGeneration is the generation for which changes were last computed.
	offeredGeneration uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		targets: make(map[model.TargetID]*target), records: make(map[model.InstanceID]*grantRecord), generation: 1,
	}
}

// SetLimits replaces the limits of all targets.
func (l *Ledger) SetLimits(limits map[model.TargetID]Limit) {
	if !l.limitsKnown {
		l.limitsKnown = true
		l.generation++
	}
	for id, limit := range limits {
		l.setLimit(id, limit)
	}
	for id := range l.targets {
		if _, ok := limits[id]; !ok {
			l.setLimit(id, Limit{})
		}
	}
}

func (l *Ledger) setLimit(id model.TargetID, limit Limit) {
	t := l.target(id)
	if t.limit != limit {
		t.limit = limit
		t.shares = nil
		l.generation++
	}
	l.dropUnused(id)
}

func (l *Ledger) target(id model.TargetID) *target {
	t, ok := l.targets[id]
	if !ok {
		t = &target{}
		l.targets[id] = t
		l.sortedIDs = nil
	}
	return t
}

// dropUnused removes a target that has no limit and no reserved grants.
func (l *Ledger) dropUnused(id model.TargetID) {
	if t := l.targets[id]; t.limit == (Limit{}) && t.reserved == (view.Grant{}) {
		delete(l.targets, id)
		l.sortedIDs = nil
	}
}

// AddUnreported adds an instance that may hold grants from an earlier leader. No
// share grows until the instance reports them with SetReported or is removed.
func (l *Ledger) AddUnreported(id model.InstanceID) {
	if _, ok := l.records[id]; ok {
		return
	}
	l.records[id] = &grantRecord{}
	l.unreported++
	l.instancesChanged()
}

// SetReported records the holdings that an unreported instance has reported.
func (l *Ledger) SetReported(id model.InstanceID, held map[model.TargetID]view.Grant) {
	h, ok := l.records[id]
	if !ok || h.reported {
		return
	}
	h.reported = true
	h.acknowledged = maps.Clone(held)
	if h.acknowledged == nil {
		h.acknowledged = make(map[model.TargetID]view.Grant)
	}
	for t, g := range held {
		l.addReserved(t, g, 1)
	}
	l.unreported--
	l.generation++
}

// Join adds an instance that holds nothing and replaces any with the same ID.
func (l *Ledger) Join(id model.InstanceID) {
	l.Remove(id)
	l.records[id] = &grantRecord{reported: true, acknowledged: make(map[model.TargetID]view.Grant)}
	l.instancesChanged()
}

// Remove removes an instance that certainly holds nothing any more.
func (l *Ledger) Remove(id model.InstanceID) {
	h, ok := l.records[id]
	if !ok {
		return
	}
	delete(l.records, id)
	if !h.reported {
		l.unreported--
	}
	for t, g := range h.upperBounds() {
		l.addReserved(t, g, -1)
	}
	l.instancesChanged()
}

func (l *Ledger) instancesChanged() {
	l.instancesStale = true
	l.generation++
}

// Rebalance has the shares recomputed if instances were added or removed.
func (l *Ledger) Rebalance() {
	if !l.instancesStale {
		return
	}
	l.instancesStale = false
	l.instances = slices.Sorted(maps.Keys(l.records))
	for _, t := range l.targets {
		t.shares = nil
	}
	l.generation++
}

// upperBounds returns the most that the holder may hold of each target.
func (h *grantRecord) upperBounds() map[model.TargetID]view.Grant {
	bounds := maps.Clone(h.acknowledged)
	if h.pending == nil {
		return bounds
	}
	for _, e := range h.pending.Changes {
		bounds[e.Target] = maxGrant(bounds[e.Target], e.Grant)
	}
	return bounds
}

func maxGrant(a, b view.Grant) view.Grant {
	return view.Grant{Connections: max(a.Connections, b.Connections), ColdLoad: max(a.ColdLoad, b.ColdLoad)}
}

// addReserved adds sign × g to the reserved amount of a target.
func (l *Ledger) addReserved(id model.TargetID, g view.Grant, sign int) {
	t := l.target(id)
	t.reserved.Connections += sign * g.Connections
	t.reserved.ColdLoad += sign * g.ColdLoad
	l.dropUnused(id)
}

// Acknowledge records that the instance has applied the delta with a sequence.
func (l *Ledger) Acknowledge(id model.InstanceID, sequence uint64) {
	h, ok := l.records[id]
	if !ok || h.pending == nil || h.pending.Sequence != sequence {
		return
	}
	for _, e := range h.pending.Changes {
		bound := maxGrant(h.acknowledged[e.Target], e.Grant)
		l.addReserved(e.Target, bound, -1)
		l.addReserved(e.Target, e.Grant, 1)
		if e.Grant == (view.Grant{}) {
			delete(h.acknowledged, e.Target)
		} else {
			h.acknowledged[e.Target] = e.Grant
		}
	}
	h.pending = nil
	l.generation++
}

// NextDelta returns the delta to send to the instance now, or nil.
func (l *Ledger) NextDelta(id model.InstanceID) *Delta {
	h, ok := l.records[id]
	if !ok || !h.reported {
		return nil
	}
	if h.pending != nil {
		return h.pending
	}
	if !l.limitsKnown || h.offeredGeneration == l.generation {
		return nil
	}
	h.offeredGeneration = l.generation
	changes := l.nextChanges(id, h)
	if len(changes) == 0 {
		return nil
	}
	h.sequence++
	h.pending = &Delta{Sequence: h.sequence, Changes: changes}
	return h.pending
}

// nextChanges computes the changes that move the instance towards its shares and
// reserves them.
func (l *Ledger) nextChanges(id model.InstanceID, h *grantRecord) []Entry {
	var changes []Entry
	for _, t := range l.sortedTargets() {
		held := h.acknowledged[t]
		next := l.nextGrant(t, held, l.share(t, id))
		if next == held {
			continue
		}
		changes = append(changes, Entry{Target: t, Grant: next})
		l.addReserved(t, held, -1)
		l.addReserved(t, maxGrant(held, next), 1)
	}
	return changes
}

func (l *Ledger) sortedTargets() []model.TargetID {
	if l.sortedIDs == nil {
		l.sortedIDs = slices.Sorted(maps.Keys(l.targets))
	}
	return l.sortedIDs
}

func (l *Ledger) share(id model.TargetID, instance model.InstanceID) view.Grant {
	t := l.targets[id]
	if t.shares == nil {
		t.shares = Shares(id, t.limit, l.instances)
	}
	return t.shares[instance]
}

// nextGrant returns the next grant on the way from held to want. A reduction
// applies at once, an increase only as far as the target has free capacity.
func (l *Ledger) nextGrant(id model.TargetID, held, want view.Grant) view.Grant {
	t := l.targets[id]
	return view.Grant{
		Connections: l.nextAmount(held.Connections, want.Connections, t.limit.Connections-t.reserved.Connections),
		ColdLoad:    l.nextAmount(held.ColdLoad, want.ColdLoad, t.limit.ColdLoad-t.reserved.ColdLoad),
	}
}

func (l *Ledger) nextAmount(held, want, available int) int {
	if want <= held {
		return want
	}
	if l.unreported > 0 || available <= 0 {
		return held
	}
	return held + min(want-held, available)
}

// MaxHeld returns the upper bound of what instances hold of a target.
func (l *Ledger) MaxHeld(id model.TargetID) view.Grant {
	if t, ok := l.targets[id]; ok {
		return t.reserved
	}
	return view.Grant{}
}

// AllReported reports whether the holdings of all instances are known.
func (l *Ledger) AllReported() bool { return l.unreported == 0 }

// Unreported reports whether the instance has yet to report its holdings.
func (l *Ledger) Unreported(id model.InstanceID) bool {
	h, ok := l.records[id]
	return ok && !h.reported
}

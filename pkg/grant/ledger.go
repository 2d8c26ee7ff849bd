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

// Entry is the new grant for a target; an empty grant ends it.
type Entry struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Grant  view.Grant     `cbor:"2,keyasint"`
}

// Ledger tracks what each instance may believe to hold.
type Ledger struct {
	targets map[model.TargetID]*target
	// order lists the targets by name; nil if it has to be worked out.
	order   []model.TargetID
	holders map[model.InstanceID]*holder
	// members is whom the shares are worked out for. It follows holders with
	// Rebalance, so that many joins together cost as much as one.
	members []model.InstanceID
	stale   bool
	// limited is set once the limits are known; until then no share changes.
	limited bool
	// generation grows with each change that may let a share change.
	generation uint64
	// unknown counts the holders that have not reported what they hold.
	unknown int
}

type target struct {
	limit Limit
	// used is the sum of what instances may believe to hold.
	used view.Grant
	// shares is what each instance should hold; nil if it has to be worked out.
	shares map[model.InstanceID]view.Grant
}

type holder struct {
	known bool
	// acknowledged is what the instance surely holds unless pending applies.
	acknowledged map[model.TargetID]view.Grant
	// pending was sent and not acknowledged; it is repeated until it is.
	pending  *Delta
	sequence uint64
	// settled is the generation at which the instance had its shares.
	settled uint64
}

// NewLedger returns a ledger without targets and instances.
func NewLedger() *Ledger {
	return &Ledger{
		targets: make(map[model.TargetID]*target), holders: make(map[model.InstanceID]*holder), generation: 1,
	}
}

// SetLimits replaces what all targets bear.
func (l *Ledger) SetLimits(limits map[model.TargetID]Limit) {
	if !l.limited {
		l.limited = true
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
		l.order = nil
	}
	return t
}

// dropUnused forgets a target that bears nothing and of which nothing is held.
func (l *Ledger) dropUnused(id model.TargetID) {
	if t := l.targets[id]; t.limit == (Limit{}) && t.used == (view.Grant{}) {
		delete(l.targets, id)
		l.order = nil
	}
}

// Assume adds an instance that may hold grants of an earlier leader. Until it
// reports them with Adopt, or is dropped, no share grows.
func (l *Ledger) Assume(id model.InstanceID) {
	if _, ok := l.holders[id]; ok {
		return
	}
	l.holders[id] = &holder{}
	l.unknown++
	l.membershipChanged()
}

// Adopt takes over what an assumed instance reports to hold.
func (l *Ledger) Adopt(id model.InstanceID, held map[model.TargetID]view.Grant) {
	h, ok := l.holders[id]
	if !ok || h.known {
		return
	}
	h.known = true
	h.acknowledged = maps.Clone(held)
	if h.acknowledged == nil {
		h.acknowledged = make(map[model.TargetID]view.Grant)
	}
	for t, g := range held {
		l.use(t, g, 1)
	}
	l.unknown--
	l.generation++
}

// Join adds an instance that holds nothing, in place of one with the same name.
func (l *Ledger) Join(id model.InstanceID) {
	l.Drop(id)
	l.holders[id] = &holder{known: true, acknowledged: make(map[model.TargetID]view.Grant)}
	l.membershipChanged()
}

// Drop removes an instance that surely holds nothing any more.
func (l *Ledger) Drop(id model.InstanceID) {
	h, ok := l.holders[id]
	if !ok {
		return
	}
	delete(l.holders, id)
	if !h.known {
		l.unknown--
	}
	for t, g := range h.bounds() {
		l.use(t, g, -1)
	}
	l.membershipChanged()
}

func (l *Ledger) membershipChanged() {
	l.stale = true
	l.generation++
}

// Rebalance works the shares out anew if instances were added or removed.
func (l *Ledger) Rebalance() {
	if !l.stale {
		return
	}
	l.stale = false
	l.members = slices.Sorted(maps.Keys(l.holders))
	for _, t := range l.targets {
		t.shares = nil
	}
	l.generation++
}

// bounds returns the most that the holder may believe to hold of each target.
func (h *holder) bounds() map[model.TargetID]view.Grant {
	bounds := maps.Clone(h.acknowledged)
	if h.pending == nil {
		return bounds
	}
	for _, e := range h.pending.Changes {
		bounds[e.Target] = larger(bounds[e.Target], e.Grant)
	}
	return bounds
}

func larger(a, b view.Grant) view.Grant {
	return view.Grant{Connections: max(a.Connections, b.Connections), ColdLoad: max(a.ColdLoad, b.ColdLoad)}
}

// use adds g, sign times, to what is held of a target.
func (l *Ledger) use(id model.TargetID, g view.Grant, sign int) {
	t := l.target(id)
	t.used.Connections += sign * g.Connections
	t.used.ColdLoad += sign * g.ColdLoad
	l.dropUnused(id)
}

// Acknowledge notes that the instance has applied the delta with sequence.
func (l *Ledger) Acknowledge(id model.InstanceID, sequence uint64) {
	h, ok := l.holders[id]
	if !ok || h.pending == nil || h.pending.Sequence != sequence {
		return
	}
	for _, e := range h.pending.Changes {
		before := larger(h.acknowledged[e.Target], e.Grant)
		l.use(e.Target, before, -1)
		l.use(e.Target, e.Grant, 1)
		if e.Grant == (view.Grant{}) {
			delete(h.acknowledged, e.Target)
		} else {
			h.acknowledged[e.Target] = e.Grant
		}
	}
	h.pending = nil
	l.generation++
}

// Offer returns the delta that the instance should get now, or nil.
func (l *Ledger) Offer(id model.InstanceID) *Delta {
	h, ok := l.holders[id]
	if !ok || !h.known {
		return nil
	}
	if h.pending != nil {
		return h.pending
	}
	if !l.limited || h.settled == l.generation {
		return nil
	}
	h.settled = l.generation
	changes := l.changes(id, h)
	if len(changes) == 0 {
		return nil
	}
	h.sequence++
	h.pending = &Delta{Sequence: h.sequence, Changes: changes}
	return h.pending
}

// changes works out the steps towards the instance's shares and counts them as used.
func (l *Ledger) changes(id model.InstanceID, h *holder) []Entry {
	var changes []Entry
	for _, t := range l.sortedTargets() {
		held := h.acknowledged[t]
		next := l.step(t, held, l.share(t, id))
		if next == held {
			continue
		}
		changes = append(changes, Entry{Target: t, Grant: next})
		l.use(t, held, -1)
		l.use(t, larger(held, next), 1)
	}
	return changes
}

func (l *Ledger) sortedTargets() []model.TargetID {
	if l.order == nil {
		l.order = slices.Sorted(maps.Keys(l.targets))
	}
	return l.order
}

func (l *Ledger) share(id model.TargetID, instance model.InstanceID) view.Grant {
	t := l.targets[id]
	if t.shares == nil {
		t.shares = Shares(id, t.limit, l.members)
	}
	return t.shares[instance]
}

// step returns the grant on the way from held to want: less at once, more only
// as far as the target has room.
func (l *Ledger) step(id model.TargetID, held, want view.Grant) view.Grant {
	t := l.targets[id]
	return view.Grant{
		Connections: l.stepOne(held.Connections, want.Connections, t.limit.Connections-t.used.Connections),
		ColdLoad:    l.stepOne(held.ColdLoad, want.ColdLoad, t.limit.ColdLoad-t.used.ColdLoad),
	}
}

func (l *Ledger) stepOne(held, want, room int) int {
	if want <= held {
		return want
	}
	if l.unknown > 0 || room <= 0 {
		return held
	}
	return held + min(want-held, room)
}

// Held returns the most that instances may believe to hold of a target.
func (l *Ledger) Held(id model.TargetID) view.Grant {
	if t, ok := l.targets[id]; ok {
		return t.used
	}
	return view.Grant{}
}

// Settled reports whether the holdings of all instances are known.
func (l *Ledger) Settled() bool { return l.unknown == 0 }

// Unknown reports whether the instance has yet to report what it holds.
func (l *Ledger) Unknown(id model.InstanceID) bool {
	h, ok := l.holders[id]
	return ok && !h.known
}

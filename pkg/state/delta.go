package state

import (
	"maps"
	"slices"
	"sort"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/view"
)

// maxChangeLog is the number of changes that deltas are sure to cover. An entry
// instance that is further behind may get a full delta.
const maxChangeLog = 8192

// Delta holds the changes to the view of the entry instances between two versions.
type Delta struct {
	// From is the version that the delta is based on; 0 for a full delta.
	From uint64 `cbor:"1,keyasint"`
	// To is the version that the delta results in.
	To       uint64         `cbor:"2,keyasint"`
	Revision model.Revision `cbor:"3,keyasint"`

	ZonesOut         []model.AvailabilityZoneID `cbor:"4,keyasint,omitempty"`
	ZonesIn          []model.AvailabilityZoneID `cbor:"5,keyasint,omitempty"`
	Drained          []model.TargetID           `cbor:"6,keyasint,omitempty"`
	Undrained        []model.TargetID           `cbor:"7,keyasint,omitempty"`
	Limits           []rules.Limit              `cbor:"8,keyasint,omitempty"`
	LimitsRemoved    []model.CallerID           `cbor:"9,keyasint,omitempty"`
	Moves            []CollectionMove           `cbor:"10,keyasint,omitempty"`
	MovesEnded       []model.CollectionID       `cbor:"11,keyasint,omitempty"`
	Quarantined      []model.Fingerprint        `cbor:"12,keyasint,omitempty"`
	Unquarantined    []model.Fingerprint        `cbor:"13,keyasint,omitempty"`
	Instances        []model.Instance           `cbor:"14,keyasint,omitempty"`
	InstancesRemoved []model.InstanceID         `cbor:"15,keyasint,omitempty"`
	// InstancesVersion is the version of the set of instances.
	InstancesVersion uint64 `cbor:"16,keyasint"`
	// Table is set if the routing table changed.
	Table *routing.TableDelta `cbor:"20,keyasint,omitempty"`
	// Evacuated lists all evacuated availability zones if EvacuationChanged.
	Evacuated         []model.AvailabilityZoneID `cbor:"18,keyasint,omitempty"`
	EvacuationChanged bool                       `cbor:"19,keyasint,omitempty"`
}

// CollectionMove is the part of the move of a collection that entry instances need.
type CollectionMove struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Move       view.Move          `cbor:"2,keyasint"`
}

// IsFull reports whether the delta replaces the complete view of an entry instance.
func (d *Delta) IsFull() bool { return d.From == 0 }

type itemKind uint8

const (
	itemZone itemKind = iota
	itemDrain
	itemLimit
	itemMove
	itemQuarantine
	itemInstance
	itemTable
	itemRoute
	itemService
	itemEvacuation
	itemCaller
)

// itemKey identifies one item of the view.
type itemKey struct {
	kind        itemKind
	name        string
	fingerprint model.Fingerprint
	// prefix is the path prefix of a route; the name of a route is its host.
	prefix string
}

// changeLog records which items changed at which index. It is not part of
// snapshots: after a restore, older versions get a full delta.
type changeLog struct {
	// oldestVersion is the oldest version that a delta can be based on.
	oldestVersion uint64
	entries       []changeEntry
}

type changeEntry struct {
	// version is the version of the view after the change: the log index of the command.
	version uint64
	key     itemKey
	// previousTableVersion is the version of the routing table before the change.
	previousTableVersion uint64
}

func (l *changeLog) add(e changeEntry) {
	l.entries = append(l.entries, e)
	if len(l.entries) < 2*maxChangeLog {
		return
	}
	l.oldestVersion = l.entries[maxChangeLog-1].version
	l.entries = slices.Clone(l.entries[maxChangeLog:])
}

// since returns the distinct items changed after version, or false if the log does
// not reach that far back.
func (l *changeLog) since(version uint64) ([]itemKey, bool) {
	if version < l.oldestVersion {
		return nil, false
	}
	start := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].version > version })
	seen := make(map[itemKey]bool)
	var keys []itemKey
	for _, e := range l.entries[start:] {
		if !seen[e.key] {
			seen[e.key] = true
			keys = append(keys, e.key)
		}
	}
	return keys, true
}

// tableVersionAt returns the version of the routing table that was in force at a
// version of the state, or 0 if the log has no record of it.
func (l *changeLog) tableVersionAt(version uint64) uint64 {
	if version == 0 || version < l.oldestVersion {
		return 0
	}
	for _, e := range l.entries {
		if e.version > version && e.key.kind == itemTable {
			return e.previousTableVersion
		}
	}
	return 0
}

// Version returns the version of the view of the entry instances.
func (s *State) Version() uint64 { return s.data.Version }

// Delta returns the changes after version, or nil if there are none. It returns a
// full delta for version 0 and for a version that is too old or unknown.
func (s *State) Delta(version uint64) *Delta {
	if version == s.data.Version && version != 0 {
		return nil
	}
	d := &Delta{From: version, To: s.data.Version, Revision: s.Newest().Revision, InstancesVersion: s.data.InstancesVersion}
	keys, ok := s.itemChanges.since(version)
	if version == 0 || version > s.data.Version || !ok {
		d.From = 0
		keys = s.allKeys()
	}
	for _, k := range keys {
		s.addItem(d, k)
	}
	if slices.Contains(keys, itemKey{kind: itemTable}) {
		d.Table = s.tableSince(d.From, keys)
	}
	return d
}

func (s *State) allKeys() []itemKey {
	keys := []itemKey{{kind: itemTable}, {kind: itemEvacuation}}
	for _, r := range s.Newest().Rules.Rules {
		if k, ok := ruleKey(r); ok {
			keys = append(keys, k)
		}
	}
	for _, c := range slices.Sorted(maps.Keys(s.data.Moves)) {
		keys = append(keys, itemKey{kind: itemMove, name: string(c)})
	}
	for _, f := range slices.Sorted(maps.Keys(s.data.Quarantined)) {
		keys = append(keys, fingerprintKey(f))
	}
	for _, id := range slices.Sorted(maps.Keys(s.data.Instances)) {
		keys = append(keys, itemKey{kind: itemInstance, name: string(id)})
	}
	return keys
}

// ruleKey returns the item that a rule sets. Moves are separate items and have no
// rule key.
func ruleKey(r rules.Rule) (itemKey, bool) {
	switch {
	case r.ZoneOut != nil:
		return itemKey{kind: itemZone, name: string(r.ZoneOut.AvailabilityZone)}, true
	case r.Drain != nil:
		return itemKey{kind: itemDrain, name: string(r.Drain.Target)}, true
	case r.Limit != nil:
		return itemKey{kind: itemLimit, name: string(r.Limit.Caller)}, true
	default:
		return itemKey{}, false
	}
}

func indexRules(set rules.Set) map[itemKey]rules.Rule {
	index := make(map[itemKey]rules.Rule, len(set.Rules))
	for _, r := range set.Rules {
		if k, ok := ruleKey(r); ok {
			index[k] = r
		}
	}
	return index
}

// recordRuleChanges records each rule that was added, changed or removed.
func (s *State) recordRuleChanges(index uint64, old, next rules.Set) {
	before := indexRules(old)
	for _, r := range next.Rules {
		k, ok := ruleKey(r)
		if !ok {
			continue
		}
		if o, had := before[k]; !had || !o.Same(r) {
			s.recordChange(index, k)
		}
		delete(before, k)
	}
	for k := range before {
		s.recordChange(index, k)
	}
}

func (s *State) addItem(d *Delta, k itemKey) {
	switch k.kind {
	case itemZone:
		_, out := s.ruleIndex[k]
		appendEither(out, &d.ZonesOut, &d.ZonesIn, model.AvailabilityZoneID(k.name))
	case itemDrain:
		_, drained := s.ruleIndex[k]
		appendEither(drained, &d.Drained, &d.Undrained, model.TargetID(k.name))
	case itemLimit:
		if r, ok := s.ruleIndex[k]; ok {
			d.Limits = append(d.Limits, *r.Limit)
		} else {
			d.LimitsRemoved = append(d.LimitsRemoved, model.CallerID(k.name))
		}
	case itemMove:
		s.addMove(d, model.CollectionID(k.name))
	case itemQuarantine:
		_, quarantined := s.data.Quarantined[k.fingerprint]
		appendEither(quarantined, &d.Quarantined, &d.Unquarantined, k.fingerprint)
	case itemEvacuation:
		d.EvacuationChanged = true
		d.Evacuated = slices.Sorted(maps.Keys(s.data.Evacuated))
	case itemInstance:
		if i, ok := s.data.Instances[model.InstanceID(k.name)]; ok {
			d.Instances = append(d.Instances, i)
		} else {
			d.InstancesRemoved = append(d.InstancesRemoved, model.InstanceID(k.name))
		}
	}
}

// appendEither appends item to yes if is, and to no otherwise.
func appendEither[T any](is bool, yes, no *[]T, item T) {
	if is {
		*yes = append(*yes, item)
	} else {
		*no = append(*no, item)
	}
}

func (s *State) addMove(d *Delta, c model.CollectionID) {
	m, ok := s.data.Moves[c]
	if !ok {
		d.MovesEnded = append(d.MovesEnded, c)
		return
	}
	d.Moves = append(d.Moves, CollectionMove{Collection: c, Move: moveForEntry(m)})
}

package state

import (
	"cmp"
	"maps"
	"slices"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// putTable accepts a table with a higher version than the one in force. Any other
// table was superseded: it changes nothing and is not an error.
func (s *State) putTable(index uint64, t *routing.Table) *Result {
	if s.data.Table != nil && t.Version <= s.data.Table.Version {
		return &Result{TableVersion: s.data.Table.Version}
	}
	s.recordTableChanges(index, s.data.Table, t)
	s.data.Table = t
	return &Result{TableVersion: t.Version}
}

// recordTableChanges records each route, service and caller that was added, changed
// or removed.
func (s *State) recordTableChanges(index uint64, old, next *routing.Table) {
	entry := changeEntry{version: index, key: itemKey{kind: itemTable}}
	if old != nil {
		entry.previousTableVersion = old.Version
	}
	s.data.Version = index
	s.itemChanges.add(entry)
	if old == nil {
		return
	}
	differ := next.Diff(old)
	for p := range differ.Routes {
		s.recordChange(index, itemKey{kind: itemRoute, name: p.Host, prefix: p.Prefix})
	}
	for id := range differ.Services {
		s.recordChange(index, itemKey{kind: itemService, name: string(id)})
	}
	for id := range differ.Callers {
		s.recordChange(index, itemKey{kind: itemCaller, name: string(id)})
	}
}

// tableSince returns the changes of the table after a version of the state, given
// the items changed since; nil before the first table.
func (s *State) tableSince(version uint64, keys []itemKey) *routing.TableDelta {
	t := s.data.Table
	if t == nil {
		return nil
	}
	from := s.itemChanges.tableVersionAt(version)
	if from == 0 {
		return t.FullDelta()
	}
	items := routing.ItemKeys{
		Routes: make(map[routing.RouteKey]bool), Services: make(map[model.ServiceID]bool), Callers: make(map[model.CallerID]bool),
	}
	for _, k := range keys {
		switch k.kind {
		case itemRoute:
			items.Routes[routing.RouteKey{Host: k.name, Prefix: k.prefix}] = true
		case itemService:
			items.Services[model.ServiceID(k.name)] = true
		case itemCaller:
			items.Callers[model.CallerID(k.name)] = true
		}
	}
	return t.DeltaSince(from, items)
}

// Table returns the routing table in force, or nil before the first one.
func (s *State) Table() *routing.Table { return s.data.Table }

// evacuationCall is the newest command on an availability zone.
type evacuationCall struct {
	Index uint64         `cbor:"1,keyasint"`
	Call  control.CallID `cbor:"2,keyasint,omitempty"`
}

// EvacuationIndex returns the index of the newest command on an availability zone, 0 if
// there is none.
func (s *State) EvacuationIndex(zone model.AvailabilityZoneID) uint64 {
	return s.data.EvacuationCalls[zone].Index
}

// evacuate starts or ends an evacuation, unless a newer command on the zone was applied
// than the one that e builds on. A copy of the newest call changes nothing. Each other
// call counts as a newer one even if the zone stays as it is: an older call must not
// undo it. Commands of earlier builds are not recorded, since a snapshot of such a build
// has no record of them.
func (s *State) evacuate(index uint64, e *Evacuate) *Result {
	newest := s.data.EvacuationCalls[e.AvailabilityZone]
	switch {
	case e.Call == "":
		return s.setEvacuated(index, e)
	case newest.Call == e.Call:
		return &Result{}
	case newest.Index != e.Expected:
		return &Result{Refusal: refuse(failure.Conflict, "the call builds on index %d; the newest call on zone %s has index %d", e.Expected, e.AvailabilityZone, newest.Index)}
	}
	s.recordEvacuationCall(e.AvailabilityZone, evacuationCall{Index: index, Call: e.Call})
	return s.setEvacuated(index, e)
}

// recordEvacuationCall records the newest call on a zone, and forgets the zone whose
// newest call is the oldest one if there are too many.
func (s *State) recordEvacuationCall(zone model.AvailabilityZoneID, c evacuationCall) {
	calls := s.data.EvacuationCalls
	if calls == nil {
		calls = make(map[model.AvailabilityZoneID]evacuationCall)
		s.data.EvacuationCalls = calls
	}
	calls[zone] = c
	if len(calls) <= MaxZones {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(calls)), func(a, b model.AvailabilityZoneID) int {
		return cmp.Compare(calls[a].Index, calls[b].Index)
	})
	delete(calls, oldest)
}

func (s *State) setEvacuated(index uint64, e *Evacuate) *Result {
	if s.data.Evacuated[e.AvailabilityZone] != e.End {
		return &Result{}
	}
	next := maps.Clone(s.data.Evacuated)
	if next == nil {
		next = make(map[model.AvailabilityZoneID]bool)
	}
	if e.End {
		delete(next, e.AvailabilityZone)
	} else {
		next[e.AvailabilityZone] = true
	}
	s.data.Evacuated = next
	s.recordChange(index, itemKey{kind: itemEvacuation})
	return &Result{}
}

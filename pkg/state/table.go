package state

import (
	"maps"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// putTable takes a table with a higher version than the one in force. Any other
// one changes nothing and is no failure: it was overtaken.
func (s *State) putTable(index uint64, t *routing.Table) *Result {
	if s.data.Table != nil && t.Version <= s.data.Table.Version {
		return &Result{TableVersion: s.data.Table.Version}
	}
	s.data.Table = t
	s.changed(index, itemKey{kind: itemTable})
	return &Result{TableVersion: t.Version}
}

// Table returns the routing table in force, or nil before the first one.
func (s *State) Table() *routing.Table { return s.data.Table }

func (s *State) evacuate(index uint64, e *Evacuate) *Result {
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
	s.changed(index, itemKey{kind: itemEvacuation})
	return &Result{}
}

// Package catalog carries the list of targets from the leader, which reads it
// from the platform, to the entries, which follow it by deltas.
package catalog

import (
	"maps"

	"radishturn.example/radishturn/pkg/model"
)

// Position says how far a follower has come. Positions of different terms
// cannot be compared.
type Position struct {
	// Term is the term of the leader whose catalog is followed.
	Term uint64 `cbor:"1,keyasint"`
	// Sequence numbers the changes of the catalog within the term.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Delta leads from one position to a later one.
type Delta struct {
	// Whole means that the delta replaces all that the follower knows.
	Whole   bool             `cbor:"1,keyasint,omitempty"`
	To      Position         `cbor:"2,keyasint"`
	Changed []model.Target   `cbor:"3,keyasint,omitempty"`
	Gone    []model.TargetID `cbor:"4,keyasint,omitempty"`
}

// Catalog is the leader's list of targets in one term. It is pure and not safe
// for concurrent use.
type Catalog struct {
	position Position
	targets  map[model.TargetID]entry
	// gone has the sequence at which targets were removed.
	gone map[model.TargetID]uint64
	read bool
}

type entry struct {
	target    model.Target
	changedAt uint64
}

// New returns the empty catalog of a term.
func New(term uint64) *Catalog {
	return &Catalog{
		position: Position{Term: term},
		targets:  make(map[model.TargetID]entry),
		gone:     make(map[model.TargetID]uint64),
	}
}

// Update takes in a whole list and reports whether anything changed.
func (c *Catalog) Update(list []model.Target) bool {
	next := c.position.Sequence + 1
	changed := !c.read
	c.read = true
	listed := make(map[model.TargetID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if old, ok := c.targets[t.ID]; ok && old.target == t {
			continue
		}
		c.targets[t.ID] = entry{target: t, changedAt: next}
		delete(c.gone, t.ID)
		changed = true
	}
	for id := range c.targets {
		if !listed[id] {
			delete(c.targets, id)
			c.gone[id] = next
			changed = true
		}
	}
	if changed {
		c.position.Sequence = next
	}
	return changed
}

// Versions counts the targets of a service by version.
func (c *Catalog) Versions(service model.ServiceID) map[model.VersionID]int {
	counts := make(map[model.VersionID]int)
	for _, e := range c.targets {
		if e.target.Service == service {
			counts[e.target.Version]++
		}
	}
	return counts
}

// Since returns what changed after a position, or nil if nothing did or no
// list has been read yet.
func (c *Catalog) Since(p Position) *Delta {
	if !c.read || p == c.position {
		return nil
	}
	d := &Delta{To: c.position, Whole: p.Term != c.position.Term || p.Sequence > c.position.Sequence}
	if d.Whole {
		p.Sequence = 0
	}
	for _, e := range c.targets {
		if e.changedAt > p.Sequence {
			d.Changed = append(d.Changed, e.target)
		}
	}
	for id, at := range c.gone {
		if at > p.Sequence && !d.Whole {
			d.Gone = append(d.Gone, id)
		}
	}
	return d
}

// Set is what a follower knows. It is immutable; Apply returns the next one.
type Set struct {
	Position Position
	Targets  map[model.TargetID]model.Target
}

// Apply returns the set after a delta; s may be nil.
func (s *Set) Apply(d *Delta) *Set {
	next := &Set{Position: d.To}
	if s != nil && !d.Whole {
		next.Targets = maps.Clone(s.Targets)
	}
	if next.Targets == nil {
		next.Targets = make(map[model.TargetID]model.Target, len(d.Changed))
	}
	for _, t := range d.Changed {
		next.Targets[t.ID] = t
	}
	for _, id := range d.Gone {
		delete(next.Targets, id)
	}
	return next
}

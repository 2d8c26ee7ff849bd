// Package catalog replicates the list of targets from the leader, which reads it
// from the platform, to the entry instances (the followers), by deltas.
package catalog

import (
	"maps"
	"slices"

	"radishturn.example/radishturn/pkg/model"
)

// Position is a version of the catalog or of the costs of targets: the leader's current
// one, or the one that a follower has reached. Sequences of different terms cannot be
// compared, but digests of catalogs can.
type Position struct {
	// Term is the term of the leader that numbered the changes.
	Term uint64 `cbor:"1,keyasint"`
	// Sequence numbers the changes within the term; 0 means that the follower has
	// nothing yet.
	Sequence uint64 `cbor:"2,keyasint"`
	// Digest is the combined digest of all targets in a catalog; unused for costs.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// Delta updates a follower from one position to a later one.
type Delta struct {
	// Full means that the delta replaces the follower's whole set.
	Full    bool             `cbor:"1,keyasint,omitempty"`
	To      Position         `cbor:"2,keyasint"`
	Changed []model.Target   `cbor:"3,keyasint,omitempty"`
	Removed []model.TargetID `cbor:"4,keyasint,omitempty"`
	// ReplacedBuckets are the buckets for which Changed holds all targets.
	ReplacedBuckets []int `cbor:"5,keyasint,omitempty"`
	// NeedBuckets asks the follower for its bucket digests, so that the next delta
	// can build on a set from another term. No other field is set then.
	NeedBuckets bool `cbor:"6,keyasint,omitempty"`
}

// Catalog is the leader's list of targets in one term; Set is the copy of it that a
// follower holds. Catalog does no I/O and is not safe for concurrent use.
type Catalog struct {
	position Position
	targets  map[model.TargetID]catalogItem
	// removedAt maps each removed target to the sequence of its removal.
	removedAt map[model.TargetID]uint64
	loaded    bool
}

type catalogItem struct {
	target    model.Target
	digest    uint64
	changedAt uint64
}

// New returns the empty catalog of a term.
func New(term uint64) *Catalog {
	return &Catalog{
		position:  Position{Term: term},
		targets:   make(map[model.TargetID]catalogItem),
		removedAt: make(map[model.TargetID]uint64),
	}
}

// Update replaces the list of targets and reports whether anything changed. It leaves
// out targets that cannot be used and returns why.
func (c *Catalog) Update(list []model.Target) (changed bool, refused []error) {
	list, refused = model.UsableTargets(list)
	return c.replace(list), refused
}

func (c *Catalog) replace(list []model.Target) bool {
	next := c.position.Sequence + 1
	changed := !c.loaded
	c.loaded = true
	listed := make(map[model.TargetID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		old, ok := c.targets[t.ID]
		if ok && old.target == t {
			continue
		}
		e := catalogItem{target: t, digest: digestOf(&t), changedAt: next}
		c.position.Digest ^= old.digest ^ e.digest
		c.targets[t.ID] = e
		delete(c.removedAt, t.ID)
		changed = true
	}
	for id, e := range c.targets {
		if !listed[id] {
			c.position.Digest ^= e.digest
			delete(c.targets, id)
			c.removedAt[id] = next
			changed = true
		}
	}
	if changed {
		c.position.Sequence = next
	}
	return changed
}

// Len returns the number of targets.
func (c *Catalog) Len() int { return len(c.targets) }

// Position returns the current position of the catalog.
func (c *Catalog) Position() Position { return c.position }

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

// Since returns the changes after a position, or nil if there are none or no list
// has been read yet. buckets are the follower's digests, if it was asked for them.
func (c *Catalog) Since(p Position, buckets BucketDigests) *Delta {
	switch {
	case !c.loaded || p == c.position:
		return nil
	case p.Sequence == 0:
		return c.fullDelta()
	case p.Term == c.position.Term && p.Sequence < c.position.Sequence:
		return c.deltaSince(p.Sequence)
	case p.Digest == c.position.Digest:
		return &Delta{To: c.position}
	case len(buckets) != bucketCount:
		return &Delta{NeedBuckets: true}
	}
	return c.bucketDelta(buckets)
}

func (c *Catalog) fullDelta() *Delta {
	d := &Delta{To: c.position, Full: true}
	for _, e := range c.targets {
		d.Changed = append(d.Changed, e.target)
	}
	return d
}

// deltaSince returns the changes after a sequence of this term.
func (c *Catalog) deltaSince(sequence uint64) *Delta {
	d := &Delta{To: c.position}
	for _, e := range c.targets {
		if e.changedAt > sequence {
			d.Changed = append(d.Changed, e.target)
		}
	}
	for id, at := range c.removedAt {
		if at > sequence {
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}

// bucketDelta returns the contents of all buckets that differ from the follower's.
func (c *Catalog) bucketDelta(follower BucketDigests) *Delta {
	own := make(BucketDigests, bucketCount)
	for id, e := range c.targets {
		own[bucketOf(id)] ^= e.digest
	}
	d := &Delta{To: c.position}
	for i := range own {
		if own[i] != follower[i] {
			d.ReplacedBuckets = append(d.ReplacedBuckets, i)
		}
	}
	for id, e := range c.targets {
		if i := bucketOf(id); own[i] != follower[i] {
			d.Changed = append(d.Changed, e.target)
		}
	}
	return d
}

// Set is a follower's copy of the leader's Catalog. It is immutable; Apply returns a new
// one.
type Set struct {
	Position Position
	Targets  map[model.TargetID]model.Target
}

// Apply returns the set after a delta; s may be nil. The digest of the resulting
// position is computed from the targets in the set. Targets that cannot be used are
// left out; Apply returns why. The digest then differs from that of a leader whose build
// takes them, so the leader sends their buckets again.
func (s *Set) Apply(d *Delta) (next *Set, refused []error) {
	changed, refused := model.UsableTargets(d.Changed)
	return s.apply(d, changed), refused
}

// apply is Apply with the targets that changed and can be used.
func (s *Set) apply(d *Delta, changed []model.Target) *Set {
	next := &Set{Position: d.To}
	if s != nil && !d.Full {
		next.Targets = maps.Clone(s.Targets)
		next.Position.Digest = s.Position.Digest
	} else {
		next.Position.Digest = 0
	}
	if next.Targets == nil {
		next.Targets = make(map[model.TargetID]model.Target, len(changed))
	}
	if len(d.ReplacedBuckets) > 0 {
		next.removeBuckets(d.ReplacedBuckets)
	}
	for _, id := range d.Removed {
		next.remove(id)
	}
	for _, t := range changed {
		next.remove(t.ID)
		next.Targets[t.ID] = t
		next.Position.Digest ^= digestOf(&t)
	}
	return next
}

// removeBuckets removes all targets of the given buckets.
func (s *Set) removeBuckets(buckets []int) {
	for id := range s.Targets {
		if slices.Contains(buckets, bucketOf(id)) {
			s.remove(id)
		}
	}
}

func (s *Set) remove(id model.TargetID) {
	if t, ok := s.Targets[id]; ok {
		s.Position.Digest ^= digestOf(&t)
		delete(s.Targets, id)
	}
}

package rules

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// Topology is what rules may name.
type Topology struct {
	AvailabilityZones []model.AvailabilityZoneID
	Collections       []CollectionShape
}

// CollectionShape is the size of a collection.
type CollectionShape struct {
	ID     model.CollectionID
	Leaves int
	Slots  int
}

// TopologyOf returns what the settings declare.
func TopologyOf(s *settings.Settings) Topology {
	k := Topology{AvailabilityZones: s.AvailabilityZones}
	for _, c := range s.Collections {
		k.Collections = append(k.Collections, CollectionShape{ID: c.ID, Leaves: c.Leaves, Slots: c.Slots})
	}
	return k
}

func (k Topology) shape(id model.CollectionID) (CollectionShape, bool) {
	i := slices.IndexFunc(k.Collections, func(s CollectionShape) bool { return s.ID == id })
	if i < 0 {
		return CollectionShape{}, false
	}
	return k.Collections[i], true
}

func (k Topology) collectionNames() []model.CollectionID {
	names := make([]model.CollectionID, len(k.Collections))
	for i, c := range k.Collections {
		names[i] = c.ID
	}
	return names
}

func join[T ~string](names []T) string {
	text := make([]string, len(names))
	for i, n := range names {
		text[i] = string(n)
	}
	return strings.Join(text, ", ")
}

// checkCollection reports a collection that the settings do not declare.
func (s *statement) checkCollection(t token, name string) (CollectionShape, bool) {
	shape, ok := s.known.shape(model.CollectionID(name))
	if !ok {
		s.wrong(t, fmt.Sprintf("unknown collection %q", name), "use one of "+join(s.known.collectionNames()))
	}
	return shape, ok
}

var targetPattern = regexp.MustCompile(`^([^/]+)/([^/]+)/leaf-(\d{1,6})/slot-(\d{1,6})(@[^/@]+)?$`)

// checkTarget reports a target that cannot exist.
func (s *statement) checkTarget(t token) {
	parts := targetPattern.FindStringSubmatch(t.text)
	if parts == nil {
		s.wrong(t, fmt.Sprintf("%q is not a target", t.text), "write it as COLLECTION/SERVICE/leaf-N/slot-N, with @VERSION appended if two versions run")
		return
	}
	shape, ok := s.checkCollection(t, parts[1])
	if !ok {
		return
	}
	s.checkNumber(t, "leaf", parts[3], shape.Leaves)
	s.checkNumber(t, "slot", parts[4], shape.Slots)
}

func (s *statement) checkNumber(t token, what, digits string, highest int) {
	number, err := strconv.Atoi(digits)
	if err != nil || number > highest {
		s.wrong(t, fmt.Sprintf("the collection has no %s %s", what, digits), fmt.Sprintf("use a %s up to %d", what, highest))
	}
}

// seen finds rules about the same thing.
type seen struct {
	lines map[string]int
	zones int
}

func newSeen() *seen { return &seen{lines: make(map[string]int)} }

// add records the rule's subject and reports whether no earlier line has it.
func (n *seen) add(s *statement) bool {
	kind := s.tokens[0].text
	key := kind + " " + s.subject.text
	if line, ok := n.lines[key]; ok {
		s.wrong(s.subject, fmt.Sprintf("line %d already has a %s rule for %q", line, kind, s.subject.text), "keep one of the two lines")
		return false
	}
	n.lines[key] = s.line
	if s.rule.ZoneOut != nil {
		n.zones++
	}
	return true
}

// checkZonesLeft reports rules that leave no availability zone for work.
func (p *parser) checkZonesLeft() {
	if p.seen.zones == 0 || p.seen.zones < len(p.known.AvailabilityZones) {
		return
	}
	for _, r := range slices.Backward(p.rules) {
		if r.ZoneOut != nil {
			p.mistake(r.Line, 1, "every availability zone is out", "keep at least one availability zone in")
			return
		}
	}
}

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

// Topology lists the availability zones and collections that rules may refer to.
type Topology struct {
	AvailabilityZones []model.AvailabilityZoneID
	Collections       []CollectionShape
}

// CollectionShape gives the number of leaves of each service and of slots for
// each leaf of a collection.
type CollectionShape struct {
	ID     model.CollectionID
	Leaves int
	Slots  int
}

// TopologyOf returns the zones and collections that the settings declare.
func TopologyOf(s *settings.Settings) Topology {
	t := Topology{AvailabilityZones: s.AvailabilityZones}
	for _, c := range s.Collections {
		t.Collections = append(t.Collections, CollectionShape{ID: c.ID, Leaves: c.Leaves, Slots: c.Slots})
	}
	return t
}

func (t Topology) shape(id model.CollectionID) (CollectionShape, bool) {
	i := slices.IndexFunc(t.Collections, func(s CollectionShape) bool { return s.ID == id })
	if i < 0 {
		return CollectionShape{}, false
	}
	return t.Collections[i], true
}

func (t Topology) collectionNames() []model.CollectionID {
	names := make([]model.CollectionID, len(t.Collections))
	for i, c := range t.Collections {
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

// checkCollection reports an error if the settings do not declare the collection.
func (s *ruleParser) checkCollection(t token, name string) (CollectionShape, bool) {
	shape, ok := s.topology.shape(model.CollectionID(name))
	if !ok {
		s.reportAt(t, fmt.Sprintf("unknown collection %q", name), "use one of "+join(s.topology.collectionNames()))
	}
	return shape, ok
}

var targetPattern = regexp.MustCompile(`^([^/]+)/([^/]+)/leaf-(\d{1,6})/slot-(\d{1,6})(@[^/@]+)?$`)

// checkTarget reports an error if the target cannot exist in the topology.
func (s *ruleParser) checkTarget(t token) {
	parts := targetPattern.FindStringSubmatch(t.text)
	if parts == nil {
		s.reportAt(t, fmt.Sprintf("%q is not a target", t.text), "write it as COLLECTION/SERVICE/leaf-N/slot-N, with @VERSION appended if two versions run")
		return
	}
	shape, ok := s.checkCollection(t, parts[1])
	if !ok {
		return
	}
	s.checkNumber(t, "leaf", parts[3], shape.Leaves)
	s.checkNumber(t, "slot", parts[4], shape.Slots)
}

func (s *ruleParser) checkNumber(t token, what, digits string, highest int) {
	number, err := strconv.Atoi(digits)
	if err != nil || number > highest {
		s.reportAt(t, fmt.Sprintf("the collection has no %s %s", what, digits), fmt.Sprintf("use a %s up to %d", what, highest))
	}
}

// subjectIndex detects rules with the same subject while a file is parsed. Its keys
// are the kind of the rule and the word that names the subject; Rule.Subject is the
// equivalent for a parsed rule.
type subjectIndex struct {
	lines    map[string]int
	zonesOut int
}

func newSubjectIndex() *subjectIndex { return &subjectIndex{lines: make(map[string]int)} }

// add records the rule's subject. If an earlier line has the same subject, it
// reports an error and returns false.
func (n *subjectIndex) add(s *ruleParser) bool {
	kind := s.tokens[0].text
	key := kind + " " + s.subject.text
	if line, ok := n.lines[key]; ok {
		s.reportAt(s.subject, fmt.Sprintf("line %d already has a %s rule for %q", line, kind, s.subject.text), "keep one of the two lines")
		return false
	}
	n.lines[key] = s.line
	if s.rule.ZoneOut != nil {
		n.zonesOut++
	}
	return true
}

// checkZoneRemains reports an error if the rules take every availability zone
// out of service.
func (p *parser) checkZoneRemains() {
	if p.subjects.zonesOut == 0 || p.subjects.zonesOut < len(p.topology.AvailabilityZones) {
		return
	}
	for _, r := range slices.Backward(p.rules) {
		if r.ZoneOut != nil {
			p.report(r.Line, 1, "every availability zone is out", "keep at least one availability zone in")
			return
		}
	}
}

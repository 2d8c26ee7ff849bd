package rules

import "fmt"

// ChangeKind is the kind of change that a new set of rules makes to one rule.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	Kept    ChangeKind = "kept"
)

// Difference is the change of one rule between an old set of rules and a new one.
type Difference struct {
	Kind ChangeKind `json:"effect" cbor:"1,keyasint"`
	// Old and New are the texts of the rule in the two sets; the text is empty
	// for a set that lacks the rule.
	Old string `json:"old,omitempty" cbor:"2,keyasint,omitempty"`
	New string `json:"new,omitempty" cbor:"3,keyasint,omitempty"`
}

// Diff compares two sets of rules, matching rules by subject. It lists the rules of
// next in order, then the removed ones. A rule whose comment alone differs is Kept.
func Diff(old, next Set) []Difference {
	oldRules := make(map[string]Rule, len(old.Rules))
	for _, r := range old.Rules {
		oldRules[r.Subject()] = r
	}
	var differences []Difference
	for _, r := range next.Rules {
		o, ok := oldRules[r.Subject()]
		delete(oldRules, r.Subject())
		differences = append(differences, difference(o, r, ok))
	}
	for _, r := range old.Rules {
		if _, ok := oldRules[r.Subject()]; ok {
			differences = append(differences, Difference{Kind: Removed, Old: r.Text})
		}
	}
	return differences
}

func difference(old, next Rule, existed bool) Difference {
	switch {
	case !existed:
		return Difference{Kind: Added, New: next.Text}
	case old.Same(next):
		return Difference{Kind: Kept, Old: old.Text, New: next.Text}
	default:
		return Difference{Kind: Changed, Old: old.Text, New: next.Text}
	}
}

// Subject identifies the zone, collection, caller or target that the rule
// applies to. A set has at most one rule for each subject.
func (r Rule) Subject() string {
	switch {
	case r.ZoneOut != nil:
		return "zone " + string(r.ZoneOut.AvailabilityZone)
	case r.Move != nil:
		return "move " + string(r.Move.Collection)
	case r.Limit != nil:
		return "limit " + string(r.Limit.Caller)
	case r.Drain != nil:
		return "drain " + string(r.Drain.Target)
	default:
		// Not reached for a parsed rule, which has one of the pointers set.
		return fmt.Sprintf("line %d", r.Line)
	}
}

// Same reports whether two rules with the same subject do the same.
func (r Rule) Same(other Rule) bool {
	if r.Move != nil && other.Move != nil {
		return r.Move.Same(*other.Move)
	}
	if r.Limit != nil && other.Limit != nil {
		return *r.Limit == *other.Limit
	}
	return r.Subject() == other.Subject()
}

// Same reports whether two rules request the same move.
func (m Move) Same(other Move) bool {
	return m.Collection == other.Collection && m.From == other.From && m.To == other.To &&
		m.By.Equal(other.By) && m.FirstShare == other.FirstShare
}

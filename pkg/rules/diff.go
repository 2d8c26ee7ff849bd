package rules

import "fmt"

// Effect is the kind of change that a new file makes to one rule.
type Effect string

// Effects of a new file on a rule.
const (
	Added   Effect = "added"
	Removed Effect = "removed"
	Changed Effect = "changed"
	Kept    Effect = "kept"
)

// Difference is the change of one rule between an old file and a new one.
type Difference struct {
	Effect Effect `json:"effect" cbor:"1,keyasint"`
	// Old and New are the texts of the rule in the two files; the text is empty
	// for a file that lacks the rule.
	Old string `json:"old,omitempty" cbor:"2,keyasint,omitempty"`
	New string `json:"new,omitempty" cbor:"3,keyasint,omitempty"`
}

// Diff compares two files, matching rules by subject. It lists the rules of next
// in order, then the removed ones. A rule whose comment alone differs is Kept.
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
			differences = append(differences, Difference{Effect: Removed, Old: r.Text})
		}
	}
	return differences
}

func difference(old, next Rule, existed bool) Difference {
	switch {
	case !existed:
		return Difference{Effect: Added, New: next.Text}
	case old.Same(next):
		return Difference{Effect: Kept, Old: old.Text, New: next.Text}
	default:
		return Difference{Effect: Changed, Old: old.Text, New: next.Text}
	}
}

// Subject identifies the zone, collection, caller or target that the rule
// applies to. A file has at most one rule for each subject.
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
		return fmt.Sprintf("line %d", r.Line)
	}
}

// Same reports whether two rules with the same subject have the same effect.
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

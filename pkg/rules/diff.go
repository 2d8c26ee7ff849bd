package rules

import "fmt"

// Effect says what a new file does with one rule.
type Effect string

// Effects of a new file.
const (
	Added   Effect = "added"
	Removed Effect = "removed"
	Changed Effect = "changed"
	Kept    Effect = "kept"
)

// Difference is one rule's part in the change from an old file to a new one.
type Difference struct {
	Effect Effect `json:"effect" cbor:"1,keyasint"`
	// Old and New are the texts of the rule; one is empty if it is only in the other file.
	Old string `json:"old,omitempty" cbor:"2,keyasint,omitempty"`
	New string `json:"new,omitempty" cbor:"3,keyasint,omitempty"`
}

// Diff compares two files by what their rules are about: first the rules of
// next in order, then the removed ones. A changed comment alone changes nothing.
func Diff(old, next Set) []Difference {
	before := make(map[string]Rule, len(old.Rules))
	for _, r := range old.Rules {
		before[r.Subject()] = r
	}
	var differences []Difference
	for _, r := range next.Rules {
		o, ok := before[r.Subject()]
		delete(before, r.Subject())
		differences = append(differences, difference(o, r, ok))
	}
	for _, r := range old.Rules {
		if _, ok := before[r.Subject()]; ok {
			differences = append(differences, Difference{Effect: Removed, Old: r.Text})
		}
	}
	return differences
}

func difference(old, next Rule, both bool) Difference {
	switch {
	case !both:
		return Difference{Effect: Added, New: next.Text}
	case old.Same(next):
		return Difference{Effect: Kept, Old: old.Text, New: next.Text}
	default:
		return Difference{Effect: Changed, Old: old.Text, New: next.Text}
	}
}

// Subject names what the rule is about. A file has one rule for each subject.
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

// Same reports whether two rules ask for the same move.
func (m Move) Same(other Move) bool {
	return m.Collection == other.Collection && m.From == other.From && m.To == other.To &&
		m.By.Equal(other.By) && m.FirstShare == other.FirstShare
}

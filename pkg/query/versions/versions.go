// Package versions decides which versions of the back-end program a query may
// be sent to while traffic is moved from one version to another.
package versions

import (
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Rank is the preference of a version for a query.
type Rank int

// Values of Rank.
const (
	// Primary versions are used if any of their targets can take the request.
	Primary Rank = iota
	// Fallback versions are used if no target of a primary version can.
	Fallback
	// Excluded versions get no requests.
	Excluded
)

// fallbackShare is the minimum share of a move at which the new version may be
// a fallback for the old one. At a lower share, an outage of the old version would
// send more than the share to a version that is not trusted yet.
const fallbackShare = 0.5

// Choice ranks versions for one query. The zero Choice has neither a move nor an
// established version, so every version is Primary.
type Choice struct {
	move        bool
	primary     model.VersionID
	fallback    model.VersionID
	established model.VersionID
}

// ForMove returns the choice for a request during a move. A move that was rolled
// back (Reverted) uses only the old version. position is the SplitPosition of the
// request. stopped reports whether this instance has stopped using a version.
func ForMove(m view.Move, position float64, stopped func(model.VersionID) bool) Choice {
	c := Choice{move: true, primary: m.From}
	newAllowed := !m.Reverted && !stopped(m.To)
	switch {
	case newAllowed && position < m.Share:
		c.primary, c.fallback = m.To, m.From
	case newAllowed && m.Share >= fallbackShare:
		c.fallback = m.To
	}
	return c
}

// WithoutMove returns the choice for a collection without a move: the established
// version is Primary, the others are Fallback.
func WithoutMove(established model.VersionID) Choice { return Choice{established: established} }

// Rank returns the rank of a version.
func (c Choice) Rank(v model.VersionID) Rank {
	if !c.move {
		return c.rankWithoutMove(v)
	}
	switch {
	case v == c.primary:
		return Primary
	case v == c.fallback && c.fallback != "":
		return Fallback
	}
	return Excluded
}

func (c Choice) rankWithoutMove(v model.VersionID) Rank {
	if c.established == "" || v == c.established {
		return Primary
	}
	return Fallback
}

// Established returns the version that a collection without a move uses: the
// previous one if it still has targets, otherwise the version with the most
// targets, and the smaller ID on a tie.
func Established(previous model.VersionID, targets map[model.VersionID]int) model.VersionID {
	if targets[previous] > 0 {
		return previous
	}
	var best model.VersionID
	for v, n := range targets {
		if n > targets[best] || (n == targets[best] && v < best) {
			best = v
		}
	}
	return best
}

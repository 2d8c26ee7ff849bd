// Package versions decides which versions of the back-end program a query may
// be sent to while traffic moves from one to another.
package versions

import (
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Rank orders the versions that a query may use.
type Rank int

// Ranks of a version.
const (
	// Primary versions are used if any of their targets can take the request.
	Primary Rank = iota
	// Fallback versions are used where no primary one can.
	Fallback
	// Excluded versions get nothing.
	Excluded
)

// fallbackShare is the least share of a move at which the new version may
// stand in for the old one. Below it a lost old version would push more than
// the share to a version that is not yet trusted.
const fallbackShare = 0.5

// Choice ranks versions for one query. The zero Choice has no move and no
// established version, so that every version is primary.
type Choice struct {
	move        bool
	primary     model.VersionID
	fallback    model.VersionID
	established model.VersionID
}

// ForMove returns the choice for a request during a move. fraction is that of
// the request by Fraction. stopped reports versions that this instance
// has stopped using.
func ForMove(m view.Move, fraction float64, stopped func(model.VersionID) bool) Choice {
	c := Choice{move: true, primary: m.From}
	newAllowed := !m.Reverted && !stopped(m.To)
	switch {
	case newAllowed && fraction < m.Share:
		c.primary, c.fallback = m.To, m.From
	case newAllowed && m.Share >= fallbackShare:
		c.fallback = m.To
	}
	return c
}

// Settled returns the choice without a move: the established version, and
// others only where a leaf has no target of it.
func Settled(established model.VersionID) Choice { return Choice{established: established} }

// Rank returns the rank of a version.
func (c Choice) Rank(v model.VersionID) Rank {
	if !c.move {
		return c.settledRank(v)
	}
	switch {
	case v == c.primary:
		return Primary
	case v == c.fallback && c.fallback != "":
		return Fallback
	}
	return Excluded
}

func (c Choice) settledRank(v model.VersionID) Rank {
	if c.established == "" || v == c.established {
		return Primary
	}
	return Fallback
}

// Established returns the version that a collection without a move uses: the
// one before if it still has targets, else the one with the most targets, the
// smaller name in a tie.
func Established(before model.VersionID, targets map[model.VersionID]int) model.VersionID {
	if targets[before] > 0 {
		return before
	}
	var best model.VersionID
	for v, n := range targets {
		if n > targets[best] || (n == targets[best] && v < best) {
			best = v
		}
	}
	return best
}

// Package grant shares out what targets bear, connections and load while cold,
// over the instances of the tier. The sum of what instances may believe to hold
// never passes a target's limit: a share grows only by what is surely free.
// The package is pure; the caller passes acknowledgements, lost leases and time.
package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Limit is what one target bears from the whole tier.
type Limit struct {
	Connections int
	ColdLoad    int
}

// rank orders the instances for a target by rendezvous hashing: an instance
// that leaves or joins moves no other instance's place relative to the rest.
func rank(target model.TargetID, instances []model.InstanceID) []model.InstanceID {
	type scored struct {
		id    model.InstanceID
		score uint64
	}
	scores := make([]scored, len(instances))
	for i, id := range instances {
		scores[i] = scored{id: id, score: score(target, id)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ranked := make([]model.InstanceID, len(scores))
	for i, s := range scores {
		ranked[i] = s.id
	}
	return ranked
}

func score(target model.TargetID, id model.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest never returns an error.
	_, _ = d.WriteString(string(target))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Shares splits the limit of a target over the instances: equal parts, and the
// rest by rendezvous hashing. Instances without a share are left out.
func Shares(target model.TargetID, limit Limit, instances []model.InstanceID) map[model.InstanceID]view.Grant {
	shares := make(map[model.InstanceID]view.Grant, len(instances))
	for place, id := range rank(target, instances) {
		g := view.Grant{
			Connections: part(limit.Connections, place, len(instances)),
			ColdLoad:    part(limit.ColdLoad, place, len(instances)),
		}
		if g != (view.Grant{}) {
			shares[id] = g
		}
	}
	return shares
}

// part returns the part of total for one place of n.
func part(total, place, n int) int {
	p := total / n
	if place < total%n {
		p++
	}
	return p
}

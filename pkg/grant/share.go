// Package grant shares out what targets bear, connections and load while cold,
// over the instances of the tier. The sum of what instances may believe to hold
// never passes a target's limit: a share grows only by what is surely free.
// The package is pure; the caller passes acknowledgements, lost leases and time.
package grant

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Limit is what one target bears from the whole tier.
type Limit struct {
	Connections int
	ColdLoad    int
}

// rank orders the instances for a leaf by rendezvous hashing: an instance that
// leaves or joins moves no other instance's place relative to the rest.
func rank(leaf string, instances []model.InstanceID) []model.InstanceID {
	type scored struct {
		id    model.InstanceID
		score uint64
	}
	scores := make([]scored, len(instances))
	for i, id := range instances {
		scores[i] = scored{id: id, score: score(leaf, id)}
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

func score(leaf string, id model.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest never returns an error.
	_, _ = d.WriteString(leaf)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Shares splits the limit of a target over the instances: equal parts, and the
// rest by rendezvous hashing of its leaf. Each slot of a leaf gives its rest to
// the instances after those of the slot before, so that an instance without a
// share at one slot has one at another. Instances without a share are left out.
func Shares(target model.TargetID, limit Limit, instances []model.InstanceID) map[model.InstanceID]view.Grant {
	shares := make(map[model.InstanceID]view.Grant, len(instances))
	n := len(instances)
	leaf, slot := splitSlot(target)
	coldOffset := slot * (limit.ColdLoad % max(n, 1))
	if 0 < limit.Connections && limit.Connections < n {
		// Cold load is of use only to those that have a connection.
		coldOffset = slot * limit.Connections
	}
	for position, id := range rank(leaf, instances) {
		g := view.Grant{
			Connections: portion(limit.Connections, position-slot*(limit.Connections%n), n),
			ColdLoad:    portion(limit.ColdLoad, position-coldOffset, n),
		}
		if g != (view.Grant{}) {
			shares[id] = g
		}
	}
	return shares
}

// portion returns the part of total that the given place of n gets; places count
// from the first that gets some of the rest, around the end.
func portion(total, position, n int) int {
	position = (position%n + n) % n
	amount := total / n
	if position < total%n {
		amount++
	}
	return amount
}

// splitSlot splits a target's name into its leaf and the number of its slot.
func splitSlot(target model.TargetID) (leaf string, slot int) {
	const marker = "/slot-"
	name, _, _ := strings.Cut(string(target), "@")
	i := strings.LastIndex(name, marker)
	if i < 0 {
		return name, 0
	}
	n, err := strconv.Atoi(name[i+len(marker):])
	if err != nil || n < 0 {
		return name, 0
	}
	return name[:i], n
}

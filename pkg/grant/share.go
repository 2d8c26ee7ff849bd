// Package grant divides the capacity of targets (connections, and load while
// cold) among the instances of the tier. The sum of what instances may hold never
// exceeds a target's limit: a share grows only by capacity that is certainly free.
// The package does no I/O; the caller passes in acknowledgements, lost leases and
// time.
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

// Limit is the capacity that one target has for the whole tier. ColdLoad is the number
// of concurrent requests that it may receive while it is cold.
type Limit struct {
	Connections int
	ColdLoad    int
}

// rank orders the instances for a leaf by rendezvous hashing: when an instance
// leaves or joins, the relative order of the others stays the same.
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

// Shares divides the limit of a target among the instances: equal parts, with the
// remainder assigned by rendezvous hashing of its leaf. Each slot of a leaf assigns
// its remainder to the instances that follow those of the slot before, so that an
// instance without a share at one slot has one at another. Instances without a
// share are omitted.
func Shares(target model.TargetID, limit Limit, instances []model.InstanceID) map[model.InstanceID]view.Grant {
	shares := make(map[model.InstanceID]view.Grant, len(instances))
	n := len(instances)
	leaf, slot := splitSlot(target)
	coldOffset := slot * (limit.ColdLoad % max(n, 1))
	if 0 < limit.Connections && limit.Connections < n {
		// An instance can use cold load only if it has a connection.
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

// portion returns the part of total for one of n positions. Positions wrap around;
// those from 0 on get one more each until the remainder is used up.
func portion(total, position, n int) int {
	position = (position%n + n) % n
	amount := total / n
	if position < total%n {
		amount++
	}
	return amount
}

// splitSlot splits a target ID into its leaf and the number of its slot. The version
// suffix of a target ID, from "@" on, does not count.
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

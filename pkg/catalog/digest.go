package catalog

import (
	"fmt"
	"hash/fnv"

	"radishturn.example/radishturn/pkg/model"
)

// bucketCount divides the targets, so that a follower of an earlier leader tells
// in a few hundred bytes what it knows, and gets the rest.
const bucketCount = 128

// Buckets are the digests of a set's targets, divided by their IDs.
type Buckets []uint64

// Buckets returns the digests of the set.
func (s *Set) Buckets() Buckets {
	buckets := make(Buckets, bucketCount)
	for id, t := range s.Targets {
		buckets[bucketOf(id)] ^= digestOf(&t)
	}
	return buckets
}

// digestOf is the same in all processes. Digests of several targets are combined
// by exclusive or, in any order.
func digestOf(t *model.Target) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%v", *t)
	return h.Sum64()
}

func bucketOf(id model.TargetID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % bucketCount)
}

package catalog

import (
	"fmt"
	"hash/fnv"

	"radishturn.example/radishturn/pkg/model"
)

// bucketCount is the number of buckets of a set. The digests of all buckets take about
// a kilobyte, so that a follower of an earlier leader can describe its set and receive
// only the buckets that differ.
const bucketCount = 128

// BucketDigests are the digests of a set's targets, grouped by a hash of their IDs.
type BucketDigests []uint64

// BucketDigests returns the bucket digests of the set.
func (s *Set) BucketDigests() BucketDigests {
	buckets := make(BucketDigests, bucketCount)
	for id, t := range s.Targets {
		buckets[bucketOf(id)] ^= digestOf(&t)
	}
	return buckets
}

// digestOf returns the same digest in all processes. Digests of several targets
// are combined with XOR, so their order does not matter.
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

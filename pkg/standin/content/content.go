// Package content defines the documents that stand-in targets serve. Every hit
// names its snapshot, its leaf and the query, and its score is a function of its
// ID, so that a checker can compute the only correct answer to a query.
package content

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

// HitsPerLeaf is the number of hits of a leaf for any query.
const HitsPerLeaf = 5

// scoreSteps is the number of distinct scores.
const scoreSteps = 1 << 40

// documentCountRange is the number of different document counts of leaves. The
// counts vary so that checks detect a wrong sum.
const documentCountRange = 97

// HitID returns the ID of the hit of a leaf with the given number.
func HitID(c model.CollectionID, s model.SnapshotID, l model.LeafID, number int) string {
	return fmt.Sprintf("%s/%s/%s/doc-%d", c, s, l, number)
}

// Score returns the score of the hit with the given ID, between 0 and 1.
func Score(id string) float64 {
	return float64(hash(id)%scoreSteps) / scoreSteps
}

// Hits returns the hits of a leaf in descending order of score.
func Hits(c model.CollectionID, s model.SnapshotID, l model.LeafID, query string) []targetproto.Hit {
	hits := make([]targetproto.Hit, 0, HitsPerLeaf)
	for number := range HitsPerLeaf {
		id := HitID(c, s, l, number+1)
		hits = append(hits, targetproto.Hit{ID: id, Score: Score(id), Title: query})
	}
	SortHits(hits)
	return hits
}

// SortHits sorts hits in descending order of score, then by ID.
func SortHits(hits []targetproto.Hit) {
	slices.SortFunc(hits, func(a, b targetproto.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
}

// DocumentCount returns the number of documents of a leaf in a snapshot. It is at
// least perLeaf and less than perLeaf+documentCountRange.
func DocumentCount(c model.CollectionID, s model.SnapshotID, l model.LeafID, perLeaf int) int {
	return perLeaf + int(hash(HitID(c, s, l, 0))%documentCountRange)
}

// hash is FNV-1a with a final mixing step, because IDs differ in few bytes.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text)) // never returns an error
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x & math.MaxInt64
}

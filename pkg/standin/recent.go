package standin

import (
	"hash/maphash"
	"sync"

	"radishturn.example/radishturn/pkg/model"
)

const (
	recentShards = 64
	// maxGenerationSize is the maximum number of keys in one generation of a
	// shard. Each shard keeps two generations, so it holds at least this many of
	// its newest keys.
	maxGenerationSize = 1 << 16
)

// recentSet holds the hashes of the most recently added keys in bounded memory.
type recentSet[K comparable] struct {
	seed   maphash.Seed
	shards [recentShards]recentShard
}

type recentShard struct {
	sync.Mutex
	current, previous map[uint64]struct{}
}

func newRecentSet[K comparable]() *recentSet[K] {
	s := &recentSet[K]{seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].current = make(map[uint64]struct{})
	}
	return s
}

// add adds the key and reports whether it was absent.
func (s *recentSet[K]) add(key K) bool {
	h := maphash.Comparable(s.seed, key)
	shard := &s.shards[h%recentShards]
	shard.Lock()
	defer shard.Unlock()
	if shard.has(h) {
		return false
	}
	if len(shard.current) >= maxGenerationSize {
		shard.previous, shard.current = shard.current, make(map[uint64]struct{})
	}
	shard.current[h] = struct{}{}
	return true
}

// has reports whether the set holds the key.
func (s *recentSet[K]) has(key K) bool {
	h := maphash.Comparable(s.seed, key)
	shard := &s.shards[h%recentShards]
	shard.Lock()
	defer shard.Unlock()
	return shard.has(h)
}

func (s *recentShard) has(h uint64) bool {
	if _, ok := s.current[h]; ok {
		return true
	}
	_, ok := s.previous[h]
	return ok
}

// leafRequestKey identifies a request on a leaf, whichever of the leaf's targets
// receive it.
type leafRequestKey struct {
	request    string
	collection model.CollectionID
	leaf       model.LeafID
}

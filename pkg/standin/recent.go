package standin

import (
	"hash/maphash"
	"sync"

	"radishturn.example/radishturn/pkg/model"
)

const (
	recentShards = 64
	// recentPerGeneration bounds one generation of one shard. Two generations
	// are kept, so at least this many keys of a shard are remembered.
	recentPerGeneration = 1 << 16
)

// recentSet remembers the hashes of the newest keys in bounded memory.
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

// add adds the key and reports whether it was new.
func (s *recentSet[K]) add(key K) bool {
	h := maphash.Comparable(s.seed, key)
	shard := &s.shards[h%recentShards]
	shard.Lock()
	defer shard.Unlock()
	if shard.has(h) {
		return false
	}
	if len(shard.current) >= recentPerGeneration {
		shard.previous, shard.current = shard.current, make(map[uint64]struct{})
	}
	shard.current[h] = struct{}{}
	return true
}

// has reports whether the key was added.
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

// leafAttempt identifies one request on one leaf, over all its targets.
type leafAttempt struct {
	request    string
	collection model.CollectionID
	leaf       model.LeafID
}

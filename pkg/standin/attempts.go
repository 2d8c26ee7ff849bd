package standin

import (
	"hash/maphash"
	"sync"

	"radishturn.example/radishturn/pkg/model"
)

const (
	attemptShards = 64
	// attemptsPerGeneration bounds one generation of one shard. Two generations
	// are kept, so at least this many attempts are remembered.
	attemptsPerGeneration = 1 << 16
)

// attempts remembers which requests a leaf has seen, over all its targets, to
// tell the first request to a leaf from extra ones. Its memory is bounded.
type attempts struct {
	seed   maphash.Seed
	shards [attemptShards]attemptShard
}

type attemptShard struct {
	sync.Mutex
	current, previous map[uint64]struct{}
}

func newAttempts() *attempts {
	a := &attempts{seed: maphash.MakeSeed()}
	for i := range a.shards {
		a.shards[i].current = make(map[uint64]struct{})
	}
	return a
}

// attemptKey identifies one request on one leaf.
type attemptKey struct {
	request    string
	collection model.CollectionID
	leaf       model.LeafID
}

// isRepeated notes the request and reports whether the leaf had seen it.
func (a *attempts) isRepeated(k attemptKey) bool {
	h := maphash.Comparable(a.seed, k)
	s := &a.shards[h%attemptShards]
	s.Lock()
	defer s.Unlock()
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	if inCurrent || inPrevious {
		return true
	}
	if len(s.current) >= attemptsPerGeneration {
		s.previous, s.current = s.current, make(map[uint64]struct{})
	}
	s.current[h] = struct{}{}
	return false
}

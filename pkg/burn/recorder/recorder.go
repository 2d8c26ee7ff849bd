package recorder

import (
	"sync"
	"sync/atomic"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// shardCount is the number of buckets over which observations are distributed, to
// reduce lock contention.
const shardCount = 8

// counter counts observations in shards, each with its own lock.
type counter struct {
	objectives map[model.CollectionID]settings.Objectives
	next       atomic.Uint32
	shards     [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	bucket *burn.Bucket
}

func newCounter(collections []settings.Collection) *counter {
	c := &counter{objectives: make(map[model.CollectionID]settings.Objectives)}
	for _, collection := range collections {
		c.objectives[collection.ID] = collection.Objectives
	}
	for i := range c.shards {
		c.shards[i].bucket = burn.NewBucket()
	}
	return c
}

// Record counts o. Observations of unknown collections are ignored, so that callers
// cannot grow the state.
func (c *counter) Record(o burn.Observation) {
	objectives, ok := c.objectives[o.Collection]
	if !ok {
		return
	}
	s := &c.shards[c.next.Add(1)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.Observe(o, objectives)
}

// drain returns the counts since the last call and resets them.
func (c *counter) drain() (burn.BucketData, error) {
	sum := burn.NewBucket()
	for i := range c.shards {
		if err := sum.Merge(c.shards[i].swapBucket()); err != nil {
			return burn.BucketData{}, err
		}
	}
	return sum.Data(), nil
}

func (s *shard) swapBucket() *burn.Bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := s.bucket
	s.bucket = burn.NewBucket()
	return drained
}

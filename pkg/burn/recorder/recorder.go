package recorder

import (
	"sync"
	"sync/atomic"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// stripeCount is the number of stripes over which observations are distributed, to
// reduce lock contention.
const stripeCount = 8

// counter implements burn.Recorder. It counts observations in stripes, each with its
// own lock.
type counter struct {
	objectives map[model.CollectionID]settings.Objectives
	next       atomic.Uint32
	stripes    [stripeCount]stripe
}

type stripe struct {
	mu     sync.Mutex
	bucket *burn.Bucket
}

func newCounter(collections []settings.Collection) *counter {
	c := &counter{objectives: make(map[model.CollectionID]settings.Objectives)}
	for _, collection := range collections {
		c.objectives[collection.ID] = collection.Objectives
	}
	for i := range c.stripes {
		c.stripes[i].bucket = burn.NewBucket()
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
	s := &c.stripes[c.next.Add(1)%stripeCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.Observe(o, objectives)
}

// takeCounts returns the counts since the last call and resets them.
func (c *counter) takeCounts() (burn.BucketData, error) {
	sum := burn.NewBucket()
	for i := range c.stripes {
		if err := sum.Merge(c.stripes[i].swapBucket()); err != nil {
			return burn.BucketData{}, err
		}
	}
	return sum.Data(), nil
}

func (s *stripe) swapBucket() *burn.Bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.bucket
	s.bucket = burn.NewBucket()
	return taken
}

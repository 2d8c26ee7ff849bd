package claims

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/state"
)

const (
	// shardCount spreads the attempts over locks; it is a power of two.
	shardCount = 16
	// maxUnrecorded bounds, in each shard, the finished attempts that are
	// remembered because their outcome could not be recorded.
	maxUnrecorded = 1024
)

// attempt is one claim of this instance, from before it is sent until its
// outcome is recorded.
type attempt struct {
	id state.ClaimID
	// done is closed once phase and confirmation are final.
	done chan struct{}

	mu sync.Mutex
	// phase is PhaseClaimed until the attempt has ended.
	phase        state.Phase
	confirmation string
	windowEnd    time.Time
}

// mayDispatch reports whether the order may be sent now: the claim is not over
// and its window on this instance's clock has not passed.
func (a *attempt) mayDispatch(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == state.PhaseClaimed && now.Before(a.windowEnd)
}

// finish ends the attempt; only the first call counts.
func (a *attempt) finish(phase state.Phase, confirmation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != state.PhaseClaimed {
		return
	}
	a.phase, a.confirmation = phase, confirmation
	close(a.done)
}

// outcome returns how far the attempt has come.
func (a *attempt) outcome() (state.Phase, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase, a.confirmation
}

// attempts remembers the claims of this process.
type attempts struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	byID map[state.ClaimID]*attempt
	// unrecorded are the finished attempts whose recording was given up, oldest first.
	unrecorded []state.ClaimID
}

func newAttempts() *attempts {
	a := &attempts{}
	for i := range a.shards {
		a.shards[i].byID = make(map[state.ClaimID]*attempt)
	}
	return a
}

func (a *attempts) shard(id state.ClaimID) *shard {
	return &a.shards[xxhash.Sum64String(string(id))%shardCount]
}

// start remembers a new attempt whose window ends at the given time.
func (a *attempts) start(id state.ClaimID, windowEnd time.Time) *attempt {
	next := &attempt{id: id, done: make(chan struct{}), phase: state.PhaseClaimed, windowEnd: windowEnd}
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = next
	return next
}

func (a *attempts) find(id state.ClaimID) *attempt {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// forget drops an attempt that the replicated state knows the outcome of.
func (a *attempts) forget(id state.ClaimID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// keepUnrecorded keeps a finished attempt for those who ask, up to the bound.
func (a *attempts) keepUnrecorded(id state.ClaimID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unrecorded = append(s.unrecorded, id)
	if len(s.unrecorded) > maxUnrecorded {
		delete(s.byID, s.unrecorded[0])
		s.unrecorded = s.unrecorded[1:]
	}
}

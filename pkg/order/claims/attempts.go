package claims

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/state"
)

const (
	// shardCount is the number of shards, each with its own lock, over which the
	// attempts are spread. It is a power of two.
	shardCount = 16
	// maxUnrecorded limits, per shard, the finished attempts that are kept
	// because their outcome could not be recorded.
	maxUnrecorded = 1024
)

// attempt is one claim made by this instance. It exists from before the claim is
// sent until its outcome is recorded.
type attempt struct {
	id state.ClaimID
	// done is closed once phase and confirmation are final.
	done chan struct{}

	mu sync.Mutex
	// phase is PhaseClaimed until the attempt ends.
	phase            state.Phase
	confirmation     string
	dispatchDeadline time.Time
}

// mayDispatch reports whether the order may be sent now: the attempt has not
// ended and its dispatch deadline, on this instance's clock, has not passed.
func (a *attempt) mayDispatch(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == state.PhaseClaimed && now.Before(a.dispatchDeadline)
}

// finish ends the attempt; only the first call has an effect.
func (a *attempt) finish(phase state.Phase, confirmation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != state.PhaseClaimed {
		return
	}
	a.phase, a.confirmation = phase, confirmation
	close(a.done)
}

// outcome returns the current phase and confirmation of the attempt.
func (a *attempt) outcome() (state.Phase, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase, a.confirmation
}

// attemptStore holds the attempts of this process by claim ID.
type attemptStore struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	byID map[state.ClaimID]*attempt
	// unrecorded lists the finished attempts whose outcome could not be recorded,
	// oldest first.
	unrecorded []state.ClaimID
}

func newAttemptStore() *attemptStore {
	a := &attemptStore{}
	for i := range a.shards {
		a.shards[i].byID = make(map[state.ClaimID]*attempt)
	}
	return a
}

func (a *attemptStore) shard(id state.ClaimID) *shard {
	return &a.shards[xxhash.Sum64String(string(id))%shardCount]
}

// add stores a new attempt with the given dispatch deadline and returns it.
func (a *attemptStore) add(id state.ClaimID, dispatchDeadline time.Time) *attempt {
	added := &attempt{id: id, done: make(chan struct{}), phase: state.PhaseClaimed, dispatchDeadline: dispatchDeadline}
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = added
	return added
}

func (a *attemptStore) find(id state.ClaimID) *attempt {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// remove deletes an attempt whose outcome is in the replicated state.
func (a *attemptStore) remove(id state.ClaimID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// retainUnrecorded keeps a finished attempt so that other instances can still ask
// for its outcome. Above maxUnrecorded the oldest one is deleted.
func (a *attemptStore) retainUnrecorded(id state.ClaimID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unrecorded = append(s.unrecorded, id)
	if len(s.unrecorded) > maxUnrecorded {
		delete(s.byID, s.unrecorded[0])
		s.unrecorded = s.unrecorded[1:]
	}
}

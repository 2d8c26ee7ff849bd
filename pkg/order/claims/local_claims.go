package claims

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/state"
)

const (
	// shardCount is the number of shards, each with its own lock, over which the
	// claims are spread. It is a power of two.
	shardCount = 16
	// maxUnrecorded limits, per shard, the finished claims that are kept because
	// their outcome could not be recorded.
	maxUnrecorded = 1024
)

// localClaim is one claim made by this instance. It exists from before the claim
// is sent until its outcome is recorded.
type localClaim struct {
	id state.ClaimID
	// done is closed once phase and confirmation are final.
	done chan struct{}

	mu sync.Mutex
	// phase is PhaseClaimed until the claim is finished.
	phase            state.Phase
	confirmation     string
	dispatchDeadline time.Time
}

// mayDispatch reports whether the order may be sent now: the claim is not
// finished and its dispatch deadline, on this instance's clock, has not passed.
func (c *localClaim) mayDispatch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == state.PhaseClaimed && now.Before(c.dispatchDeadline)
}

// finish ends the claim; only the first call has an effect.
func (c *localClaim) finish(phase state.Phase, confirmation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != state.PhaseClaimed {
		return
	}
	c.phase, c.confirmation = phase, confirmation
	close(c.done)
}

// outcome returns the current phase and confirmation of the claim.
func (c *localClaim) outcome() (state.Phase, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.confirmation
}

// localClaimStore holds the claims made by this process by their IDs.
type localClaimStore struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	byID map[state.ClaimID]*localClaim
	// unrecorded lists the finished claims whose outcome could not be recorded,
	// oldest first.
	unrecorded []state.ClaimID
}

func newLocalClaimStore() *localClaimStore {
	l := &localClaimStore{}
	for i := range l.shards {
		l.shards[i].byID = make(map[state.ClaimID]*localClaim)
	}
	return l
}

func (l *localClaimStore) shard(id state.ClaimID) *shard {
	return &l.shards[xxhash.Sum64String(string(id))%shardCount]
}

// add stores a new claim with the given dispatch deadline and returns it.
func (l *localClaimStore) add(id state.ClaimID, dispatchDeadline time.Time) *localClaim {
	added := &localClaim{id: id, done: make(chan struct{}), phase: state.PhaseClaimed, dispatchDeadline: dispatchDeadline}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = added
	return added
}

func (l *localClaimStore) find(id state.ClaimID) *localClaim {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// remove deletes a claim whose outcome is in the replicated state.
func (l *localClaimStore) remove(id state.ClaimID) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// retainUnrecorded keeps a finished claim so that other instances can still ask
// for its outcome. Above maxUnrecorded the oldest one is deleted.
func (l *localClaimStore) retainUnrecorded(id state.ClaimID) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unrecorded = append(s.unrecorded, id)
	if len(s.unrecorded) > maxUnrecorded {
		delete(s.byID, s.unrecorded[0])
		s.unrecorded = s.unrecorded[1:]
	}
}

// Package callerstats counts the requests of each account on one instance, for
// operators. It holds the names of accounts, never keys.
package callerstats

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// shardCount is the number of locks that the accounts are divided among.
const shardCount = 16

// Tally counts the requests of accounts. It is safe for concurrent use.
type Tally struct {
	seed   maphash.Seed
	shards [shardCount]shard
	// pruned is the version of the table whose accounts were kept last.
	pruned atomic.Uint64
}

type shard struct {
	mu       sync.Mutex
	accounts map[model.CallerID]*counts
}

type counts struct {
	requests, refusals uint64
	lastUse            time.Duration
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	t := &Tally{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].accounts = make(map[model.CallerID]*counts)
	}
	return t
}

func (t *Tally) shardOf(id model.CallerID) *shard {
	return &t.shards[maphash.String(t.seed, string(id))%shardCount]
}

// RecordRequest counts a request with a key of an account of the table. Accounts that a
// newer table no longer has are forgotten.
func (t *Tally) RecordRequest(table *routing.Index, id model.CallerID, now time.Duration) {
	if v := table.Version(); t.pruned.Load() < v && t.pruned.Swap(v) < v {
		t.prune(table)
	}
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.accounts[id]
	if c == nil {
		c = &counts{}
		s.accounts[id] = c
	}
	c.requests++
	c.lastUse = max(c.lastUse, now)
}

// RecordRefusal counts that a request of an account was refused, not run.
func (t *Tally) RecordRefusal(id model.CallerID) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.accounts[id]; c != nil {
		c.refusals++
	}
}

func (t *Tally) prune(table *routing.Index) {
	listed := make(map[model.CallerID]bool, len(table.Table.Callers))
	for i := range table.Table.Callers {
		listed[table.Table.Callers[i].Name] = true
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id := range s.accounts {
			if !listed[id] {
				delete(s.accounts, id)
			}
		}
		s.mu.Unlock()
	}
}

func (t *Tally) countsOf(id model.CallerID) (counts, bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.accounts[id]
	if c == nil {
		return counts{}, false
	}
	return *c, true
}

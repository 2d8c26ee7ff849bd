package server

import (
	"context"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/state"
)

const (
	// maxBatch bounds the order changes in one command.
	maxBatch = 512
	// maxBatchesInFlight bounds the batches of order changes in flight, one command
	// each; changes that arrive meanwhile are queued and share the next command.
	maxBatchesInFlight = 2
	// proposeTimeout bounds one command.
	proposeTimeout = 5 * time.Second
)

// batcher combines concurrent order changes into one command.
type batcher struct {
	term *leaderTerm

	mu       sync.Mutex
	pending  []*pendingChange
	inFlight int
}

type pendingChange struct {
	change state.OrderChange
	done   chan struct{}
	result state.OrderResult
	err    error
}

func newBatcher(n *leaderTerm) *batcher { return &batcher{term: n} }

// submit queues a change for the next batch and waits for its result.
func (b *batcher) submit(ctx context.Context, change state.OrderChange) (state.OrderResult, error) {
	w := &pendingChange{change: change, done: make(chan struct{})}
	b.mu.Lock()
	b.pending = append(b.pending, w)
	start := b.inFlight < maxBatchesInFlight
	if start {
		b.inFlight++
	}
	b.mu.Unlock()
	if start {
		go b.run()
	}
	select {
	case <-w.done:
		return w.result, w.err
	case <-ctx.Done():
		return state.OrderResult{}, failure.New(failure.NoQuorum, failure.Unknown, "change order", "", "%w", ctx.Err())
	}
}

// run proposes batches until no change is pending.
func (b *batcher) run() {
	for {
		b.mu.Lock()
		n := min(len(b.pending), maxBatch)
		batch := b.pending[:n:n]
		b.pending = b.pending[n:]
		if n == 0 {
			b.inFlight--
		}
		b.mu.Unlock()
		if n == 0 {
			return
		}
		b.propose(batch)
	}
}

func (b *batcher) propose(batch []*pendingChange) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	orderBatches.Inc()
	orderChanges.Add(len(batch))
	orders := &state.Orders{}
	for _, w := range batch {
		orders.Changes = append(orders.Changes, w.change)
	}
	result, err := b.term.propose(ctx, "change orders", &state.Command{Orders: orders})
	if err == nil && len(result.Orders) != len(batch) {
		err = failure.New(failure.Internal, failure.Unknown, "change orders", "", "%d results for %d changes", len(result.Orders), len(batch))
	}
	for i, w := range batch {
		w.err = err
		if err == nil {
			w.result = result.Orders[i]
		}
		close(w.done)
	}
}

// orders applies changes of order claims one after the other.
func (n *leaderTerm) orders(ctx context.Context, o *state.Orders) (*wire.OrderResults, error) {
	results := &wire.OrderResults{}
	for _, c := range o.Changes {
		if c.Claim != nil {
			c.Claim.Retention = n.settings.Control.ClaimRetention.Std()
		}
		r, err := n.batches.submit(ctx, c)
		if err != nil {
			return nil, err
		}
		results.Results = append(results.Results, r)
	}
	return results, nil
}

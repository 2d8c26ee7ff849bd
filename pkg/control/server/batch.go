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
	// maxBatch bounds the changes of orders in one command.
	maxBatch = 512
	// maxProposals bounds the commands of orders in progress; changes that come
	// meanwhile wait and share the next command.
	maxProposals = 2
	// proposeTimeout bounds one command.
	proposeTimeout = 5 * time.Second
)

// batcher puts changes of orders that come at the same time into one command.
type batcher struct {
	session *session

	mu       sync.Mutex
	waiting  []*waitingChange
	inFlight int
}

type waitingChange struct {
	change state.OrderChange
	done   chan struct{}
	result state.OrderResult
	err    error
}

func newBatcher(n *session) *batcher { return &batcher{session: n} }

// submit carries out a change together with others.
func (b *batcher) submit(ctx context.Context, change state.OrderChange) (state.OrderResult, error) {
	w := &waitingChange{change: change, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	start := b.inFlight < maxProposals
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

// run proposes batches until nothing waits.
func (b *batcher) run() {
	for {
		b.mu.Lock()
		n := min(len(b.waiting), maxBatch)
		batch := b.waiting[:n:n]
		b.waiting = b.waiting[n:]
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

func (b *batcher) propose(batch []*waitingChange) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	orderBatches.Inc()
	orderChanges.Add(len(batch))
	orders := &state.Orders{}
	for _, w := range batch {
		orders.Changes = append(orders.Changes, w.change)
	}
	result, err := b.session.propose(ctx, "change orders", &state.Command{Orders: orders})
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

// orders carries out changes of order claims.
func (n *session) orders(ctx context.Context, o *state.Orders) (*wire.OrderResults, error) {
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

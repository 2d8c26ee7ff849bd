package fanout

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

const (
	stepDispatch = "dispatch order"
	// orderPollInterval is how often an order that waits for capacity tries again.
	orderPollInterval = 5 * time.Millisecond
)

var _ order.Dispatcher = (*Service)(nil)

// Dispatch sends an order to one target at a time. It tries another target only if
// the previous one provably did not run the order. maySend is called right before the
// first byte is sent; if it returns false, the order is not sent. It does not use
// package dispatch.
func (s *Service) Dispatch(ctx context.Context, r order.Request, maySend func() bool) (*targetproto.OrderReply, error) {
	s.orders.Add(1)
	defer s.orders.Add(-1)
	c := s.collections[r.Collection]
	if c == nil {
		return nil, failure.New(failure.UnknownCollection, failure.NotRun, stepDispatch, "", "collection %q is not configured", r.Collection)
	}
	p := c.currentPlan(s.now())
	if p == nil {
		return nil, failure.New(failure.NoSnapshot, failure.NotRun, stepDispatch, "", "no snapshot of collection %s is known to be held", c.id)
	}
	l := p.leafForKey(r.Body.LeafKey)
	if l == nil {
		return nil, failure.New(failure.UnknownLeaf, failure.NotRun, stepDispatch, "", "the snapshot has no known leaves")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(-answerMargin))
	defer cancel()
	d := &orderDispatch{service: s, collection: c, leaf: l, request: &r, maySend: maySend}
	d.required.waitForColdTargets = true
	return d.run(ctx)
}

// leafForKey maps the key of an order to a leaf of the snapshot by hash. It returns
// nil if the snapshot has no known leaves.
func (p *plan) leafForKey(key string) *leaf {
	if len(p.sortedLeaves) == 0 {
		return nil
	}
	return p.sortedLeaves[xxhash.Sum64String(key)%uint64(len(p.sortedLeaves))]
}

// orderDispatch is the state of one order while it is dispatched.
type orderDispatch struct {
	service    *Service
	collection *collection
	leaf       *leaf
	request    *order.Request
	maySend    func() bool
	// required holds a choice of versions only for one try to get a target.
	required targetRequirements
}

func (d *orderDispatch) run(ctx context.Context) (*targetproto.OrderReply, error) {
	var last *failure.Error
	for range maxAttempts {
		t, err := d.acquireTarget(ctx)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		result := d.attempt(ctx, t)
		if result.Kind == target.KindOK {
			return result.Reply, nil
		}
		last = result.Err
		if last.Ran != failure.NotRun || last.Code == failure.LeaseExpired || ctx.Err() != nil {
			break
		}
		d.required.tried = append(d.required.tried, t)
	}
	return nil, last
}

// acquireTarget waits for a target with capacity and counts the order as in flight
// there. A target that already refused the order is chosen again only if no other
// target is usable.
func (d *orderDispatch) acquireTarget(ctx context.Context) (*targetState, *failure.Error) {
	for {
		if d.service.views.Lease() != view.LeaseHeld {
			return nil, failure.New(failure.LeaseExpired, failure.NotRun, stepDispatch, "", "lease is not held")
		}
		d.required.choice = d.collection.chooseVersions(d.service.views.View(), d.request.Caller, d.request.ID)
		t, why := d.leaf.acquireTarget(&d.required, newRandom(), d.service.now())
		switch why {
		case available:
			return t, nil
		case noCapacity:
		default:
			return nil, failure.New(failure.NoTarget, failure.NotRun, stepDispatch, d.leaf.id.String(), "no target can accept the order")
		}
		select {
		case <-ctx.Done():
			return nil, failure.New(failure.Overloaded, failure.NotRun, stepDispatch, d.leaf.id.String(), "no target had capacity: %w", ctx.Err())
		case <-time.After(orderPollInterval):
		}
	}
}

func (d *orderDispatch) attempt(ctx context.Context, t *targetState) target.OrderResult {
	s := d.service
	started := s.now()
	result := t.client.Order(ctx, &target.Order{
		Request:         d.request.ID,
		IdempotencyKey:  d.request.IdempotencyKey,
		Body:            d.request.Body,
		RemainingMillis: time.Until(d.request.Deadline).Milliseconds(),
	}, d.maySend)
	now := s.now()
	outcome := attemptOutcome{
		result:  &target.Result{Kind: result.Kind, Meta: result.Meta, Err: result.Err},
		elapsed: now - started, now: now, expired: ctx.Err() == context.DeadlineExceeded,
	}
	change := d.leaf.finish(t, &outcome)
	s.reportWarmth(t, result.Meta.Boot, change)
	s.metrics.recordOrderAttempt(result.Kind)
	return result
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

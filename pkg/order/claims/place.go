package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// maxStatusWait limits how long a claimer waits for the outcome of its claim
	// before it answers a ClaimStatusRequest.
	maxStatusWait = 500 * time.Millisecond
	// statusTimeout limits one ClaimStatusRequest, including the claimer's wait.
	statusTimeout = 800 * time.Millisecond
	// statusRetryDelay is the delay after a ClaimStatusRequest that did not return a
	// known phase.
	statusRetryDelay = 200 * time.Millisecond
	// maxUnansweredRequests is the number of consecutive failed ClaimStatusRequests
	// after which the outcome of a claim is treated as unknown.
	maxUnansweredRequests = 3
	// contentHashBytes is the length of the truncated content hash in a claim.
	contentHashBytes = 16
)

// Place runs the order, or returns the recorded outcome if its key has been
// claimed before.
func (s *Service) Place(ctx context.Context, r order.Request) (*order.Result, error) {
	if r.IdempotencyKey == "" || len(r.IdempotencyKey) > state.MaxKeyBytes {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "claim", "", "the idempotency key is missing or longer than %d bytes", state.MaxKeyBytes)
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	p := &placeCall{Service: s, request: r, key: state.OrderKey{Collection: r.Collection, IdempotencyKey: r.IdempotencyKey}}
	return p.run(ctx)
}

// placeCall is the state of one call of Place.
type placeCall struct {
	*Service
	request order.Request
	key     state.OrderKey
	// undispatched is an earlier claim that its claimer abandoned before it sent
	// the order.
	undispatched state.ClaimID
	// unansweredRequests counts the consecutive failed ClaimStatusRequests about
	// claim unansweredID.
	unansweredRequests int
	unansweredID       state.ClaimID
}

// run retries the claim until it is granted or the outcome of the order is known.
func (p *placeCall) run(ctx context.Context) (*order.Result, error) {
	for {
		result, done, err := p.tryOnce(ctx)
		if done {
			return result, err
		}
		if ctx.Err() != nil {
			return nil, p.unknownError(failure.DeadlineExceeded, "", "the deadline expired before the outcome of an earlier request with the same key was known")
		}
	}
}

// tryOnce makes one claim. If it is granted, tryOnce dispatches the order;
// otherwise it looks up the outcome of the existing claim. done is false if another
// claim is needed.
func (p *placeCall) tryOnce(ctx context.Context) (result *order.Result, done bool, err error) {
	if p.leases.Lease() != view.LeaseHeld {
		return nil, true, p.unknownError(failure.LeaseExpired, string(p.self), "this instance holds no lease; this request was not sent, but an earlier request with the same key may have run")
	}
	c := p.localClaims.add(state.ClaimID(uuid.NewString()), p.now().Add(p.dispatchWindow))
	claimed, err := p.claim(ctx, c)
	if err != nil {
		p.abandon(c)
		events.Emit(events.OrderClaimUnconfirmed, p.request.ID, err)
		return nil, true, p.unknownError(failure.NoQuorum, failure.PeerOf(err), "the claim could not be confirmed; this request was not sent, but an earlier request with the same key may have run: %w", err)
	}
	if claimed.Applied {
		result, err = p.dispatch(ctx, c)
		return result, true, err
	}
	c.finish(state.PhaseUndispatched, "")
	p.localClaims.remove(c.id)
	if claimed.Refusal != nil {
		return nil, true, failure.New(claimed.Refusal.Code, failure.NotRun, "claim", "", "%s", claimed.Refusal.Message)
	}
	return p.resolveExisting(ctx, claimed.Record)
}

func (p *placeCall) unknownError(code failure.Code, peer, format string, args ...any) error {
	return failure.New(code, failure.Unknown, "claim", peer, format, args...)
}

// claim asks the leader for the right to dispatch the order.
func (p *placeCall) claim(ctx context.Context, c *localClaim) (*state.OrderResult, error) {
	started := p.now()
	claimed, err := p.submitChange(ctx, state.OrderChange{Claim: &state.Claim{
		Key: p.key, ContentHash: contentHash(p.request), Claimer: p.self, ID: c.id,
		Request: p.request.ID, UndispatchedClaim: p.undispatched,
	}})
	claimTime.Update(p.now().Sub(started).Seconds())
	countClaim(claimed, err)
	return claimed, err
}

func countClaim(claimed *state.OrderResult, err error) {
	switch {
	case err != nil:
		claimsFailed.Inc()
	case claimed.Applied:
		claimsGranted.Inc()
	case claimed.Refusal != nil:
		claimsRefused.Inc()
	default:
		claimsHeld.Inc()
	}
}

func (s *Service) submitChange(ctx context.Context, c state.OrderChange) (*state.OrderResult, error) {
	reply, err := route.Call[state.Orders, wire.OrderResults](ctx, s.router, wire.KindOrders, &state.Orders{Changes: []state.OrderChange{c}})
	if err != nil {
		return nil, err
	}
	if len(reply.Results) != 1 {
		return nil, failure.New(failure.Internal, failure.Unknown, "change order", "", "received %d results for one change", len(reply.Results))
	}
	return &reply.Results[0], nil
}

// contentHash returns a hash of the content of an order. It includes the caller,
// because the same key from another caller is a different order.
func contentHash(r order.Request) string {
	h := sha256.New()
	for _, part := range []string{string(r.Caller), r.Body.LeafKey, r.Body.Order} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:contentHashBytes])
}

// dispatch sends the claimed order once and records its outcome. The granted
// claim proves that no earlier request with the same key was sent, so if the
// dispatch fails with NotRun, the order as a whole has not run.
func (p *placeCall) dispatch(ctx context.Context, c *localClaim) (*order.Result, error) {
	allowed := func() bool {
		return p.leases.Lease() == view.LeaseHeld && c.mayDispatch(p.now())
	}
	reply, err := p.dispatcher.Dispatch(ctx, p.request, allowed)
	switch {
	case err == nil:
		c.finish(state.PhaseRan, reply.Confirmation)
		p.record(c, p.key)
		return &order.Result{RequestID: p.request.ID, Confirmation: reply.Confirmation}, nil
	case failure.RanOf(err) == failure.NotRun:
		p.abandon(c)
		return nil, err
	default:
		events.Emit(events.OrderOutcomeUnknown, p.request.ID, err)
		c.finish(state.PhaseUnknown, "")
		p.record(c, p.key)
		return nil, err
	}
}

// abandon ends a claim for which the order has not been sent and will not be sent.
func (p *placeCall) abandon(c *localClaim) {
	c.finish(state.PhaseUndispatched, "")
	p.record(c, p.key)
}

// resolveExisting returns the outcome of the claim that already holds the key,
// and asks the claimer if the record does not state it.
func (p *placeCall) resolveExisting(ctx context.Context, record *state.ClaimRecord) (result *order.Result, done bool, err error) {
	phase, confirmation := record.Phase, record.Confirmation
	if phase == state.PhaseClaimed {
		phase, confirmation = p.requestStatus(ctx, record)
	}
	switch phase {
	case state.PhaseRan:
		return &order.Result{RequestID: p.request.ID, Confirmation: confirmation, Repeated: true}, true, nil
	case state.PhaseUnknown:
		return nil, true, p.unknownError(failure.OutcomeUnknown, string(record.Claimer), "an earlier request with the same key was sent once and its outcome is unknown")
	case state.PhaseUndispatched:
		p.undispatched = record.ID
	}
	return nil, false, nil
}

// requestStatus asks the claimer for the phase of its claim. It returns
// PhaseClaimed if the outcome is not known yet, and PhaseUnknown after
// maxUnansweredAsks failures.
func (p *placeCall) requestStatus(ctx context.Context, record *state.ClaimRecord) (state.Phase, string) {
	if p.unansweredID != record.ID {
		p.unansweredID, p.unansweredRequests = record.ID, 0
	}
	request := &wire.ClaimStatusRequest{ID: record.ID, Wait: maxStatusWait}
	askCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := mesh.Call[wire.ClaimStatusRequest, wire.ClaimStatusReply](askCtx, p.mesh, record.Claimer, wire.KindClaimStatus, request)
	switch {
	case err == nil && reply.Known:
		p.unansweredRequests = 0
		return reply.Phase, reply.Confirmation
	case err == nil:
		// Either the claimer has recorded the outcome in the meantime or it has
		// restarted; the reply to the next claim shows which.
		p.unansweredRequests = max(p.unansweredRequests+1, maxUnansweredRequests-1)
	default:
		p.unansweredRequests++
	}
	if p.unansweredRequests >= maxUnansweredRequests {
		return state.PhaseUnknown, ""
	}
	select {
	case <-ctx.Done():
	case <-time.After(statusRetryDelay):
	}
	return state.PhaseClaimed, ""
}

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
	// askWait bounds one wait for the outcome of another instance's claim.
	askWait = 500 * time.Millisecond
	// askTimeout is how long a claimer may take to answer, its wait included.
	askTimeout = 800 * time.Millisecond
	// askPause is the wait after a claimer could not be asked.
	askPause = 200 * time.Millisecond
	// maxSilent is how often in a row a claimer may fail to answer.
	maxSilent = 3
	// bodyHashBytes is the length of the hash of an order in the claim.
	bodyHashBytes = 16
)

// Place runs the order unless its key was claimed before.
func (s *Service) Place(ctx context.Context, r order.Request) (*order.Result, error) {
	if r.IdempotencyKey == "" || len(r.IdempotencyKey) > state.MaxKeyBytes {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "claim", "", "the idempotency key is missing or longer than %d bytes", state.MaxKeyBytes)
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	p := &placing{Service: s, request: r, key: state.OrderKey{Collection: r.Collection, IdempotencyKey: r.IdempotencyKey}}
	return p.run(ctx)
}

// placing is one order on its way.
type placing struct {
	*Service
	request order.Request
	key     state.OrderKey
	// undispatched is an earlier claim that its claimer has given up unsent.
	undispatched state.ClaimID
	// silent counts the failed questions to the claimer of silentID.
	silent   int
	silentID state.ClaimID
}

// run claims the order until it is granted or its outcome is known.
func (p *placing) run(ctx context.Context) (*order.Result, error) {
	for {
		result, done, err := p.try(ctx)
		if done {
			return result, err
		}
		if ctx.Err() != nil {
			return nil, p.unknown(failure.DeadlineExceeded, "", "the deadline came before the outcome of an earlier request with the key")
		}
	}
}

// try makes one claim and follows it up. It is done once the outcome is known.
func (p *placing) try(ctx context.Context) (result *order.Result, done bool, err error) {
	if p.leases.Lease() != view.LeaseHeld {
		return nil, true, p.unknown(failure.LeaseExpired, string(p.self), "this instance holds no lease; it sent nothing, but an earlier request with the key may have run")
	}
	a := p.attempts.start(state.ClaimID(uuid.NewString()), p.now().Add(p.window))
	claimed, err := p.claim(ctx, a)
	if err != nil {
		p.giveUp(a)
		events.Emit(events.OrderClaimUnconfirmed, p.request.ID, err)
		return nil, true, p.unknown(failure.NoQuorum, failure.PeerOf(err), "the claim could not be confirmed; this request was not sent, but an earlier one with the key may have run: %w", err)
	}
	if claimed.Granted {
		result, err = p.dispatch(ctx, a)
		return result, true, err
	}
	a.finish(state.PhaseUndispatched, "")
	p.attempts.forget(a.id)
	if claimed.Refusal != nil {
		return nil, true, failure.New(claimed.Refusal.Code, failure.NotRun, "claim", "", "%s", claimed.Refusal.Message)
	}
	return p.follow(ctx, claimed.Record)
}

func (p *placing) unknown(code failure.Code, peer, format string, args ...any) error {
	return failure.New(code, failure.Unknown, "claim", peer, format, args...)
}

// claim asks the leader for the right to dispatch the order.
func (p *placing) claim(ctx context.Context, a *attempt) (*state.OrderResult, error) {
	started := p.now()
	claimed, err := p.change(ctx, state.OrderChange{Claim: &state.Claim{
		Key: p.key, ContentHash: bodyHash(p.request), Claimer: p.self, ID: a.id,
		Request: p.request.ID, Undispatched: p.undispatched,
	}})
	claimTime.Update(p.now().Sub(started).Seconds())
	countClaim(claimed, err)
	return claimed, err
}

func countClaim(claimed *state.OrderResult, err error) {
	switch {
	case err != nil:
		claimsFailed.Inc()
	case claimed.Granted:
		claimsGranted.Inc()
	case claimed.Refusal != nil:
		claimsRefused.Inc()
	default:
		claimsHeld.Inc()
	}
}

func (s *Service) change(ctx context.Context, c state.OrderChange) (*state.OrderResult, error) {
	reply, err := route.Call[state.Orders, wire.OrderResults](ctx, s.router, wire.KindOrders, &state.Orders{Changes: []state.OrderChange{c}})
	if err != nil {
		return nil, err
	}
	if len(reply.Results) != 1 {
		return nil, failure.New(failure.Internal, failure.Unknown, "change order", "", "%d results for one change", len(reply.Results))
	}
	return &reply.Results[0], nil
}

// bodyHash identifies the content of an order, the caller included: the same
// key from another caller is another order.
func bodyHash(r order.Request) string {
	h := sha256.New()
	for _, part := range []string{string(r.Caller), r.Body.LeafKey, r.Body.Order} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:bodyHashBytes])
}

// dispatch sends the claimed order once and records how it ended. The claim is
// the proof that no earlier request with the key was sent, so a dispatch that
// did not run leaves the order as not run.
func (p *placing) dispatch(ctx context.Context, a *attempt) (*order.Result, error) {
	allowed := func() bool {
		return p.leases.Lease() == view.LeaseHeld && a.mayDispatch(p.now())
	}
	reply, err := p.dispatcher.Dispatch(ctx, p.request, allowed)
	switch {
	case err == nil:
		a.finish(state.PhaseRan, reply.Confirmation)
		p.record(a, p.key)
		return &order.Result{RequestID: p.request.ID, Confirmation: reply.Confirmation}, nil
	case failure.RanOf(err) == failure.NotRun:
		p.giveUp(a)
		return nil, err
	default:
		events.Emit(events.OrderOutcomeUnknown, p.request.ID, err)
		a.finish(state.PhaseUnknown, "")
		p.record(a, p.key)
		return nil, err
	}
}

// giveUp ends an attempt that sent nothing and never will.
func (p *placing) giveUp(a *attempt) {
	a.finish(state.PhaseUndispatched, "")
	p.record(a, p.key)
}

// follow answers with the outcome of the claim that holds the order.
func (p *placing) follow(ctx context.Context, record *state.ClaimRecord) (result *order.Result, done bool, err error) {
	phase, confirmation := record.Phase, record.Confirmation
	if phase == state.PhaseClaimed {
		phase, confirmation = p.ask(ctx, record)
	}
	switch phase {
	case state.PhaseRan:
		return &order.Result{RequestID: p.request.ID, Confirmation: confirmation, Repeated: true}, true, nil
	case state.PhaseUnknown:
		return nil, true, p.unknown(failure.OutcomeUnknown, string(record.Claimer), "an earlier request with the key was sent once and its outcome is not known")
	case state.PhaseUndispatched:
		p.undispatched = record.ID
	}
	return nil, false, nil
}

// ask asks the claimer how its claim stands. PhaseClaimed means that it is not
// known yet; after too many failed questions the outcome is unknown.
func (p *placing) ask(ctx context.Context, record *state.ClaimRecord) (state.Phase, string) {
	if p.silentID != record.ID {
		p.silentID, p.silent = record.ID, 0
	}
	request := &wire.ClaimStatusRequest{ID: record.ID, Wait: askWait}
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := mesh.Call[wire.ClaimStatusRequest, wire.ClaimStatusReply](asking, p.mesh, record.Claimer, wire.KindClaimStatus, request)
	switch {
	case err == nil && reply.Known:
		p.silent = 0
		return reply.Phase, reply.Confirmation
	case err == nil:
		// The claimer has recorded the outcome since, or it was restarted; the
		// next claim tells.
		p.silent = max(p.silent+1, maxSilent-1)
	default:
		p.silent++
	}
	if p.silent >= maxSilent {
		return state.PhaseUnknown, ""
	}
	select {
	case <-ctx.Done():
	case <-time.After(askPause):
	}
	return state.PhaseClaimed, ""
}

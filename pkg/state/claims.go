package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

const (
	// MaxClaims bounds the claims that are kept. New orders are refused as not
	// run once it is reached, since dropping a claim could run an order twice.
	MaxClaims = 200_000
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// MaxConfirmationBytes bounds a target's confirmation.
	MaxConfirmationBytes = 1024
)

// claimEntry is a claim in a snapshot.
type claimEntry struct {
	Key    OrderKey    `cbor:"1,keyasint"`
	Record ClaimRecord `cbor:"2,keyasint"`
}

// expiryQueue is a heap of the claims by expiry. A claim that was taken again
// stands in it twice; the entry with the older expiry is skipped.
type expiryQueue []expiryEntry

type expiryEntry struct {
	key     OrderKey
	expires time.Duration
}

// Len returns the number of entries; it is part of heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less orders by expiry; it is part of heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expires < q[j].expires }

// Swap is part of heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiryEntry)) }

// Pop is part of heap.Interface.
func (q *expiryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = expiryEntry{}
	*q = (*q)[:len(*q)-1]
	return last
}

// expireClaims drops the claims whose retention is over.
func (s *State) expireClaims() {
	for len(s.queue) > 0 && s.queue[0].expires <= s.data.Clock {
		e := heap.Pop(&s.queue).(expiryEntry)
		if r, ok := s.data.Claims[e.key]; ok && r.Expires == e.expires {
			delete(s.data.Claims, e.key)
		}
	}
}

func (s *State) changeOrders(o *Orders) *Result {
	result := &Result{Orders: make([]OrderResult, 0, len(o.Changes))}
	for _, c := range o.Changes {
		switch {
		case c.Claim != nil:
			result.Orders = append(result.Orders, s.claim(c.Claim))
		case c.Outcome != nil:
			result.Orders = append(result.Orders, s.settle(c.Outcome))
		default:
			result.Orders = append(result.Orders, OrderResult{Refusal: refuse(failure.BadRequest, "empty change of an order")})
		}
	}
	return result
}

// claim grants the order to one claim at a time. The same claim again gets the
// first answer, unless it has been given up since.
func (s *State) claim(c *Claim) OrderResult {
	if len(c.Key.IdempotencyKey) > MaxKeyBytes {
		return OrderResult{Refusal: refuse(failure.BadRequest, "the idempotency key is longer than %d bytes", MaxKeyBytes)}
	}
	held, ok := s.data.Claims[c.Key]
	switch {
	case !ok:
		return s.grantClaim(c)
	case held.ContentHash != c.ContentHash:
		return OrderResult{Record: &held, Refusal: refuse(failure.KeyReused, "the idempotency key stands for another order")}
	case held.ID == c.ID:
		return OrderResult{Record: &held, Granted: held.Phase == PhaseClaimed}
	case held.Phase == PhaseUndispatched, held.Phase == PhaseClaimed && held.ID == c.Undispatched:
		return s.grantClaim(c)
	default:
		return OrderResult{Record: &held}
	}
}

func (s *State) grantClaim(c *Claim) OrderResult {
	if _, ok := s.data.Claims[c.Key]; !ok && len(s.data.Claims) >= MaxClaims {
		return OrderResult{Refusal: refuse(failure.Overloaded, "%d order claims are kept already", MaxClaims)}
	}
	record := ClaimRecord{
		ContentHash: c.ContentHash, Claimer: c.Claimer, ID: c.ID, Request: c.Request,
		Phase: PhaseClaimed, Expires: s.data.Clock + c.Retention,
	}
	s.data.Claims[c.Key] = record
	heap.Push(&s.queue, expiryEntry{key: c.Key, expires: record.Expires})
	return OrderResult{Granted: true, Record: &record}
}

// settle records how a claim ended, once. Another claim's order is untouched.
func (s *State) settle(c *ClaimOutcome) OrderResult {
	held, ok := s.data.Claims[c.Key]
	if !ok {
		return OrderResult{Refusal: refuse(failure.NotFound, "the order is not claimed")}
	}
	if held.ID != c.ID || held.Phase != PhaseClaimed {
		return OrderResult{Record: &held}
	}
	held.Phase = c.Phase
	held.Confirmation = c.Confirmation[:min(len(c.Confirmation), MaxConfirmationBytes)]
	s.data.Claims[c.Key] = held
	return OrderResult{Granted: true, Record: &held}
}

// ClaimOf returns the claim of an order.
func (s *State) ClaimOf(key OrderKey) (ClaimRecord, bool) {
	r, ok := s.data.Claims[key]
	return r, ok
}

// claimList returns the claims in order of expiry, then of key.
func (s *State) claimList() []claimEntry {
	list := make([]claimEntry, 0, len(s.data.Claims))
	for k, r := range s.data.Claims {
		list = append(list, claimEntry{Key: k, Record: r})
	}
	slices.SortFunc(list, func(a, b claimEntry) int {
		return cmp.Or(
			cmp.Compare(a.Record.Expires, b.Record.Expires),
			cmp.Compare(a.Key.Collection, b.Key.Collection),
			cmp.Compare(a.Key.IdempotencyKey, b.Key.IdempotencyKey),
		)
	})
	return list
}

func (s *State) loadClaims() {
	for _, e := range s.data.ClaimList {
		s.data.Claims[e.Key] = e.Record
		heap.Push(&s.queue, expiryEntry{key: e.Key, expires: e.Record.Expires})
	}
	s.data.ClaimList = nil
}

package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

const (
	// MaxClaims limits the number of stored claims. Once it is reached, new
	// orders are refused as not run, since dropping a claim could run an order twice.
	MaxClaims = 200_000
	// MaxKeyBytes limits the length of an idempotency key.
	MaxKeyBytes = 256
	// MaxConfirmationBytes limits a target's confirmation, which is truncated to it.
	MaxConfirmationBytes = 1024
)

// claimEntry is a claim in a snapshot.
type claimEntry struct {
	Key    OrderKey    `cbor:"1,keyasint"`
	Record ClaimRecord `cbor:"2,keyasint"`
}

// expiryQueue is a heap of claims by expiry. An order that was claimed again is in
// it twice; the entry with the outdated expiry is skipped.
type expiryQueue []expiryEntry

type expiryEntry struct {
	key     OrderKey
	expires time.Duration
}

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less orders by expiry. It implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expires < q[j].expires }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = expiryEntry{}
	*q = (*q)[:len(*q)-1]
	return last
}

// expireClaims deletes the claims whose retention has ended.
func (s *State) expireClaims() {
	for len(s.claimExpiries) > 0 && s.claimExpiries[0].expires <= s.data.Clock {
		e := heap.Pop(&s.claimExpiries).(expiryEntry)
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
			result.Orders = append(result.Orders, s.recordOutcome(c.Outcome))
		default:
			result.Orders = append(result.Orders, OrderResult{Refusal: refuse(failure.BadRequest, "order change contains neither a claim nor an outcome")})
		}
	}
	return result
}

// claim grants the order to at most one claim at a time. A resent claim is granted
// again as long as no outcome is recorded.
func (s *State) claim(c *Claim) OrderResult {
	if len(c.Key.IdempotencyKey) > MaxKeyBytes {
		return OrderResult{Refusal: refuse(failure.BadRequest, "the idempotency key is longer than %d bytes", MaxKeyBytes)}
	}
	existing, ok := s.data.Claims[c.Key]
	switch {
	case !ok:
		return s.grantClaim(c)
	case existing.ContentHash != c.ContentHash:
		return OrderResult{Record: &existing, Refusal: refuse(failure.KeyReused, "the idempotency key was already used for a different order")}
	case existing.ID == c.ID:
		return OrderResult{Record: &existing, Applied: existing.Phase == PhaseClaimed}
	case existing.Phase == PhaseUndispatched, existing.Phase == PhaseClaimed && existing.ID == c.UndispatchedClaim:
		return s.grantClaim(c)
	default:
		return OrderResult{Record: &existing}
	}
}

func (s *State) grantClaim(c *Claim) OrderResult {
	if _, ok := s.data.Claims[c.Key]; !ok && len(s.data.Claims) >= MaxClaims {
		return OrderResult{Refusal: refuse(failure.Overloaded, "the limit of %d order claims is reached", MaxClaims)}
	}
	record := ClaimRecord{
		ContentHash: c.ContentHash, Claimer: c.Claimer, ID: c.ID, Request: c.Request,
		Phase: PhaseClaimed, Expires: s.data.Clock + c.Retention,
	}
	s.data.Claims[c.Key] = record
	heap.Push(&s.claimExpiries, expiryEntry{key: c.Key, expires: record.Expires})
	return OrderResult{Applied: true, Record: &record}
}

// recordOutcome records the outcome of a claim once. It changes nothing if another
// claim holds the order.
func (s *State) recordOutcome(c *ClaimOutcome) OrderResult {
	existing, ok := s.data.Claims[c.Key]
	if !ok {
		return OrderResult{Refusal: refuse(failure.NotFound, "the order is not claimed")}
	}
	if existing.ID != c.ID || existing.Phase != PhaseClaimed {
		return OrderResult{Record: &existing}
	}
	existing.Phase = c.Phase
	existing.Confirmation = c.Confirmation[:min(len(c.Confirmation), MaxConfirmationBytes)]
	s.data.Claims[c.Key] = existing
	return OrderResult{Applied: true, Record: &existing}
}

// ClaimOf returns the claim of an order.
func (s *State) ClaimOf(key OrderKey) (ClaimRecord, bool) {
	r, ok := s.data.Claims[key]
	return r, ok
}

// claimList returns the claims sorted by expiry, then by key.
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
		heap.Push(&s.claimExpiries, expiryEntry{key: e.Key, expires: e.Record.Expires})
	}
	s.data.ClaimList = nil
}

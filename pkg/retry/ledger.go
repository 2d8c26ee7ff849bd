package retry

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// tightShare is the part of a service's bound from which instances keep to
	// their own shares.
	tightShare = 0.4
	// ownShare is the part of its share that an instance may use at once,
	// whatever the others do.
	ownShare = 0.8
	// freeShare is the part of the constant budget that the fleet can use in one
	// bucket of the window while it draws freely.
	freeShare = 0.3
)

// Usage counts requests to one service since the last report.
type Usage struct {
	Service model.ServiceID `cbor:"1,keyasint"`
	First   int             `cbor:"2,keyasint,omitempty"`
	Extra   int             `cbor:"3,keyasint,omitempty"`
}

// Allowance is what the leader tells the instances of the fleet's budget.
type Allowance struct {
	// Free means that services that are not tight may be drawn on beyond the
	// instance's own share.
	Free bool `cbor:"1,keyasint,omitempty"`
	// Tight are the services of whose bound the fleet has used much.
	Tight []model.ServiceID `cbor:"2,keyasint,omitempty"`
}

// IsTight reports whether the fleet has used much of a service's bound.
func (a *Allowance) IsTight(s model.ServiceID) bool {
	_, found := slices.BinarySearch(a.Tight, s)
	return found
}

// Ledger is the leader's count of the fleet's requests. It is pure and not safe
// for concurrent use.
type Ledger struct {
	bound    Bound
	since    time.Duration
	services map[model.ServiceID]*Budget
}

// NewLedger returns the ledger of a leader that takes office now.
func NewLedger(bound Bound, now time.Duration) *Ledger {
	return &Ledger{bound: bound, since: now, services: make(map[model.ServiceID]*Budget)}
}

// Note adds what an instance reports.
func (l *Ledger) Note(now time.Duration, usage []Usage) {
	if l.bound.Window == 0 {
		return
	}
	for _, u := range usage {
		b := l.services[u.Service]
		if b == nil {
			b = &Budget{}
			l.services[u.Service] = b
		}
		b.advance(now, l.bound)
		b.first[b.newest%(buckets+1)] += u.First
		b.extra[b.newest%(buckets+1)] += u.Extra
	}
}

// settleTime is how long a new leader waits for the instances to tell what they
// used in the window before.
const settleTime = 2 * time.Second

// Allowance returns what the instances may use. At the beginning of a term the
// leader does not know what was used before, so nothing is free.
func (l *Ledger) Allowance(now time.Duration) *Allowance {
	if l.bound.Window == 0 {
		return nil
	}
	a := &Allowance{Free: now-l.since > settleTime}
	for s, b := range l.services {
		left := b.Left(now, l.bound)
		if used := float64(b.extras()); used > tightShare*(used+left) {
			a.Tight = append(a.Tight, s)
		}
	}
	slices.Sort(a.Tight)
	return a
}

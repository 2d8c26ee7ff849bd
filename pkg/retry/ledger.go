package retry

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// tightShare is the part of a service's bound from which instances that have
	// used much of it wait. Below it they draw freely, at a bounded rate: what
	// they can use until they hear of it stays below the rest of the bound.
	tightShare = 0.6
	// restShare is the part of the bound of a tight service that is divided
	// among the instances, so that each may still use a little.
	restShare = 0.15
	// aloneShare is the part of its share that an instance uses while it hears
	// nothing of the others, which may have drawn freely before.
	aloneShare = 0.5
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

// Limit is what each instance may use of a service whose budget is tight.
type Limit struct {
	Service model.ServiceID `cbor:"1,keyasint"`
	// PerWindow is the number of extra requests in any window.
	PerWindow float64 `cbor:"2,keyasint"`
}

// Allowance is what the leader tells the instances of the fleet's budget.
type Allowance struct {
	// Free means that services without a limit may be drawn on freely.
	Free   bool    `cbor:"1,keyasint,omitempty"`
	Limits []Limit `cbor:"2,keyasint,omitempty"`
}

// Limit returns the limit of a service, if its budget is tight.
func (a *Allowance) Limit(s model.ServiceID) (float64, bool) {
	i := slices.IndexFunc(a.Limits, func(l Limit) bool { return l.Service == s })
	if i < 0 {
		return 0, false
	}
	return a.Limits[i].PerWindow, true
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

// Allowance returns what each of the instances may use. At the beginning of a
// term the leader does not know what was used before, so nothing is free.
func (l *Ledger) Allowance(now time.Duration, instances int) *Allowance {
	if l.bound.Window == 0 {
		return nil
	}
	a := &Allowance{Free: now-l.since > settleTime}
	for s, b := range l.services {
		left := b.Left(now, l.bound)
		used := float64(b.extras())
		if bound := used + left; used > tightShare*bound {
			a.Limits = append(a.Limits, Limit{Service: s, PerWindow: restShare * bound / float64(max(1, instances))})
		}
	}
	slices.SortFunc(a.Limits, func(x, y Limit) int { return cmp.Compare(x.Service, y.Service) })
	return a
}

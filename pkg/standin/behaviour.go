package standin

import (
	"math/rand/v2"
	"strings"
	"time"

	"radishturn.example/radishturn/pkg/targetproto"
)

// activeFault is a persistent fault that is set at a target.
type activeFault struct {
	Fault
	setAt time.Time
	// requestsBefore is the number of requests that the target had received when
	// the fault was set.
	requestsBefore int64
	// hints are the hints at the time when the fault was set.
	hints hints
	// cleared is closed when the fault is cleared.
	cleared chan struct{}
}

// behaviour is the combined effect of the persistent faults of a target. It is
// immutable once the target uses it.
type behaviour struct {
	faults []*activeFault
	// freezeCleared is nil unless the target is frozen.
	freezeCleared <-chan struct{}
	draining      bool
	// reportedHealth and reportedLoad override the hints unless they are nil.
	reportedHealth *bool
	reportedLoad   *int
	// staleHints replaces the current hints unless it is nil.
	staleHints *hints
}

// hints are the health and the load that a target reports.
type hints struct {
	health targetproto.Health
	load   targetproto.Load
}

func newBehaviour(faults []*activeFault) *behaviour {
	b := &behaviour{faults: faults}
	for _, f := range faults {
		switch f.Kind {
		case KindFreeze:
			b.freezeCleared = f.cleared
		case KindDrain:
			b.draining = true
		case KindHealth:
			b.reportedHealth = &f.Healthy
		case KindLoad:
			b.reportedLoad = &f.InFlight
		case KindStaleHints:
			b.staleHints = &f.hints
		}
	}
	return b
}

// leafRequest is a query or an order on a leaf as a target received it.
type leafRequest struct {
	targetproto.QueryRequest
	order          targetproto.OrderRequest
	isOrder        bool
	idempotencyKey string
	requestID      string
	route          string
	snapshot       string
	// The deadline is receivedAt plus timeLeft; a timeLeft of 0 means none.
	receivedAt time.Time
	timeLeft   time.Duration
}

func (r *leafRequest) kind() RequestKind {
	if r.isOrder {
		return RequestKindOrder
	}
	return RequestKindQuery
}

// searchText returns the text that Condition.Query is matched against.
func (r *leafRequest) searchText() string {
	if r.isOrder {
		return r.order.Order
	}
	return r.Query
}

// matchesRequest reports whether the request meets the fault's condition.
func (f *activeFault) matchesRequest(r *leafRequest, requests, inFlight int64) bool {
	c := &f.When
	switch {
	case c.Kind != "" && c.Kind != r.kind(),
		c.Route != "" && string(c.Route) != r.route,
		c.Query != "" && !strings.Contains(r.searchText(), c.Query),
		requests-f.requestsBefore < c.AfterRequests,
		c.After > 0 && time.Since(f.setAt) < c.After.Std(),
		inFlight < c.MinInFlight:
		return false
	}
	return c.Fraction == 0 || rand.Float64() < c.Fraction
}

// effects are the effects of all matching faults on one request.
type effects struct {
	factor float64
	delay  time.Duration
	status int
	shed   bool
	// crash makes the target crash halfway through the service time.
	crash        bool
	restartAfter time.Duration
	reply        ReplyFault
	replyDelay   time.Duration
}

// effectsOn combines the effects of the faults that match the request.
func (b *behaviour) effectsOn(r *leafRequest, requests, inFlight int64) effects {
	e := effects{factor: 1}
	for _, f := range b.faults {
		if !f.matchesRequest(r, requests, inFlight) {
			continue
		}
		e.add(f)
	}
	return e
}

func (e *effects) add(f *activeFault) {
	switch f.Kind {
	case KindSlow:
		if f.Factor > 0 {
			e.factor *= f.Factor
		}
		e.delay += f.Delay.Std()
	case KindFail:
		e.status = f.Status
	case KindShed:
		e.shed = true
	case KindCrashOnRequest:
		e.crash, e.restartAfter = true, f.RestartAfter.Std()
	case KindReply:
		e.reply, e.replyDelay = f.Reply, f.Delay.Std()
	}
}

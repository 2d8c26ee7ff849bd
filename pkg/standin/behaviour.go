package standin

import (
	"math/rand/v2"
	"strings"
	"time"

	"radishturn.example/radishturn/pkg/targetproto"
)

// activeFault is a lasting fault at one target.
type activeFault struct {
	Fault
	since time.Time
	// servedBefore is the number of requests served when the fault was set.
	servedBefore int64
	// hints are those of the time when the fault was set.
	hints hints
	// cleared is closed when the fault is cleared.
	cleared chan struct{}
}

// behaviour is what the lasting faults of a target amount to. It is not
// changed once it is in use.
type behaviour struct {
	faults   []*activeFault
	frozen   <-chan struct{}
	draining bool
	// health and load are nil unless the hints are told what to say.
	health *bool
	load   *int
	// stale is nil unless the hints are those of an earlier time.
	stale *hints
}

// hints are what a target says of itself when it is asked.
type hints struct {
	health targetproto.Health
	load   targetproto.Load
}

func newBehaviour(faults []*activeFault) *behaviour {
	b := &behaviour{faults: faults}
	for _, f := range faults {
		switch f.Kind {
		case KindFreeze:
			b.frozen = f.cleared
		case KindDrain:
			b.draining = true
		case KindHealth:
			b.health = &f.Healthy
		case KindLoad:
			b.load = &f.InFlight
		case KindStaleHints:
			b.stale = &f.hints
		}
	}
	return b
}

// leafRequest is a request as a target received it.
type leafRequest struct {
	targetproto.QueryRequest
	order    targetproto.OrderRequest
	isOrder  bool
	key      string
	request  string
	route    string
	snapshot string
	// received and timeLeft give the deadline; timeLeft is 0 if there is none.
	received time.Time
	timeLeft time.Duration
}

func (r *leafRequest) kind() RequestKind {
	if r.isOrder {
		return RequestKindOrder
	}
	return RequestKindQuery
}

// text is what a condition's Query is looked for in.
func (r *leafRequest) text() string {
	if r.isOrder {
		return r.order.Order
	}
	return r.Query
}

// matches reports whether the fault concerns this request.
func (f *activeFault) matches(r *leafRequest, served, inFlight int64) bool {
	c := &f.When
	switch {
	case c.Kind != "" && c.Kind != r.kind(),
		c.Route != "" && string(c.Route) != r.route,
		c.Query != "" && !strings.Contains(r.text(), c.Query),
		served-f.servedBefore < c.AfterRequests,
		c.After > 0 && time.Since(f.since) < c.After.Std(),
		inFlight < c.MinInFlight:
		return false
	}
	return c.Fraction == 0 || rand.Float64() < c.Fraction
}

// effects are what the faults do to one request.
type effects struct {
	factor float64
	delay  time.Duration
	status int
	shed   bool
	// crash ends the target in the middle of the request.
	crash        bool
	restartAfter time.Duration
	reply        ReplyFault
	replyDelay   time.Duration
}

// effectsOn returns what the faults do to the request.
func (b *behaviour) effectsOn(r *leafRequest, served, inFlight int64) effects {
	e := effects{factor: 1}
	for _, f := range b.faults {
		if !f.matches(r, served, inFlight) {
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

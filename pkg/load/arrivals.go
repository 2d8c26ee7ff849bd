package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// seedStream separates the generator of arrivals from other uses of a seed.
const seedStream = 0x72616469

// kind says whether a request is a query or an order.
type kind string

const (
	kindQuery kind = "query"
	kindOrder kind = "order"
)

// arrival is one planned request.
type arrival struct {
	number int
	// at is the intended send time since the start.
	at      time.Duration
	kind    kind
	caller  model.CallerID
	route   model.Route
	query   string
	hangUp  bool
	key     string
	leafKey string
	// resend makes an order be sent twice.
	resend bool
	// entry is a random number that chooses the entry.
	entry int
}

// arrivals plans requests with exponential gaps. The same load and seed give
// the same plan.
type arrivals struct {
	load   Load
	factor float64
	// run makes idempotency keys of different runs differ.
	run    string
	random *rand.Rand
	at     time.Duration
	number int
}

func newArrivals(l Load, factor float64, run string) *arrivals {
	if factor == 0 {
		factor = 1
	}
	return &arrivals{
		load:   l,
		factor: factor,
		run:    run,
		random: rand.New(rand.NewPCG(l.Seed, seedStream)),
	}
}

// next returns the next request, or false once the duration or the number of
// requests is reached.
func (a *arrivals) next() (arrival, bool) {
	gap := a.random.ExpFloat64() / (a.rate() * a.factor)
	a.at += time.Duration(gap * float64(time.Second))
	if a.at >= a.load.Duration.Std() || a.number >= a.load.MaxRequests {
		return arrival{}, false
	}
	a.number++
	return a.plan(), true
}

// rate returns the rate of the current phase.
func (a *arrivals) rate() float64 {
	rate := a.load.Rate
	for _, p := range a.load.Phases {
		if a.at >= p.At.Std() {
			rate = p.Rate
		}
	}
	return rate
}

func (a *arrivals) plan() arrival {
	p := arrival{
		number: a.number,
		at:     a.at,
		kind:   kindQuery,
		caller: model.CallerID(a.choose(a.load.Callers)),
		route:  model.Route(a.choose(a.load.Routes)),
		entry:  a.random.IntN(1 << 20),
	}
	if a.random.Float64() < a.load.Orders.Share {
		a.planOrder(&p)
		return p
	}
	p.query = a.text()
	p.hangUp = a.random.Float64() < a.load.HangUpShare
	return p
}

func (a *arrivals) planOrder(p *arrival) {
	o := a.load.Orders
	leaf := model.LeafID{
		Service: model.ServiceID(fmt.Sprintf("svc-%02d", a.random.IntN(o.Services)+1)),
		Leaf:    a.random.IntN(o.Leaves) + 1,
	}
	p.kind = kindOrder
	p.key = fmt.Sprintf("%s-%d", a.run, a.number)
	p.leafKey = leaf.String()
	p.resend = a.random.Float64() < o.ResendShare
}

// text returns the text of a query. It differs for each query but for special
// ones, so that an answer to another query shows.
func (a *arrivals) text() string {
	share := a.random.Float64()
	for _, s := range a.load.FixedQueries {
		if share < s.Weight {
			return s.Value
		}
		share -= s.Weight
	}
	return fmt.Sprintf("loaf %s-%d", a.run, a.number)
}

// choose returns one of the choices by weight, or "" if there are none.
func (a *arrivals) choose(choices []WeightedValue) string {
	total := 0.0
	for _, c := range choices {
		total += c.Weight
	}
	point := a.random.Float64() * total
	for _, c := range choices {
		if point < c.Weight {
			return c.Value
		}
		point -= c.Weight
	}
	return ""
}

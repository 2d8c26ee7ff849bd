package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// seedStream selects a random stream of its own for arrivals, so that other
// uses of the same seed are independent of it.
const seedStream = 0x72616469

// requestKind is the kind of a request: query or order.
type requestKind string

const (
	kindQuery requestKind = "query"
	kindOrder requestKind = "order"
)

// arrival is one planned request.
type arrival struct {
	number int
	// at is the intended send time, as an offset from the start of the run.
	at     time.Duration
	kind   requestKind
	caller model.CallerID
	route  model.Route
	query  string
	hangUp bool
	key    string
	// leafKey is the key by which the entry selects the leaf that runs the order.
	leafKey string
	// duplicate reports whether the order is sent a second time, whatever
	// the outcome of the first.
	duplicate bool
	// entryChoice is a random number from which the balancer picks the entry.
	entryChoice int
}

// arrivalGenerator generates requests with exponentially distributed
// inter-arrival times. The same load and rate factor give the same arrival times
// and kinds of requests; idempotency keys and query texts differ from run to run.
type arrivalGenerator struct {
	load       Load
	rateFactor float64
	// runID is part of every idempotency key, so that keys of different runs
	// differ.
	runID  string
	random *rand.Rand
	at     time.Duration
	number int
}

func newArrivalGenerator(l Load, rateFactor float64, runID string) *arrivalGenerator {
	if rateFactor == 0 {
		rateFactor = 1
	}
	return &arrivalGenerator{
		load:       l,
		rateFactor: rateFactor,
		runID:      runID,
		random:     rand.New(rand.NewPCG(l.Seed, seedStream)),
	}
}

// next returns the next request, or false once the duration of the load or its
// number of requests is reached.
func (a *arrivalGenerator) next() (arrival, bool) {
	gap := a.random.ExpFloat64() / (a.rate() * a.rateFactor)
	a.at += time.Duration(gap * float64(time.Second))
	if a.at >= a.load.Duration.Std() || a.number >= a.load.MaxRequests {
		return arrival{}, false
	}
	a.number++
	return a.newArrival(), true
}

// rate returns the request rate of the current phase, before rateFactor.
func (a *arrivalGenerator) rate() float64 {
	rate := a.load.Rate
	for _, p := range a.load.Phases {
		if a.at >= p.At.Std() {
			rate = p.Rate
		}
	}
	return rate
}

func (a *arrivalGenerator) newArrival() arrival {
	p := arrival{
		number:      a.number,
		at:          a.at,
		kind:        kindQuery,
		caller:      model.CallerID(a.pickWeighted(a.load.Callers)),
		route:       model.Route(a.pickWeighted(a.load.Routes)),
		entryChoice: a.random.IntN(1 << 20),
	}
	if a.random.Float64() < a.load.Orders.Share {
		a.planOrder(&p)
		return p
	}
	p.query = a.queryText()
	p.hangUp = a.random.Float64() < a.load.HangUpShare
	return p
}

func (a *arrivalGenerator) planOrder(p *arrival) {
	o := a.load.Orders
	leaf := model.LeafID{
		Service: model.ServiceID(fmt.Sprintf("svc-%02d", a.random.IntN(o.Services)+1)),
		Leaf:    a.random.IntN(o.Leaves) + 1,
	}
	p.kind = kindOrder
	p.key = fmt.Sprintf("%s-%d", a.runID, a.number)
	p.leafKey = leaf.String()
	p.duplicate = a.random.Float64() < o.DuplicateShare
}

// queryText returns the text of a query. Apart from the fixed queries every text
// is unique, so that an answer to another query is detected.
func (a *arrivalGenerator) queryText() string {
	share := a.random.Float64()
	for _, s := range a.load.FixedQueries {
		if share < s.Weight {
			return s.Value
		}
		share -= s.Weight
	}
	return fmt.Sprintf("loaf %s-%d", a.runID, a.number)
}

// pickWeighted returns the value of a random choice, in proportion to the
// weights, or "" if there are no choices.
func (a *arrivalGenerator) pickWeighted(choices []WeightedValue) string {
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

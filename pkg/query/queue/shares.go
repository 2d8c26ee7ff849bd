package queue

import "radishturn.example/radishturn/pkg/model"

// maxShares bounds the accounts whose received work is kept. Those that have received
// no more than the others have no need of an entry.
const maxShares = 1024

// shareKey identifies an account among the requests of one priority.
type shareKey struct {
	priority int
	caller   model.CallerID
}

// shares divides work between the accounts of one priority, by start-time fair queueing.
// It has no effect until a request has an account; requests without one then count as
// one more account.
type shares struct {
	active bool
	// virtual is the virtual time of each priority: the tag of the last request that
	// started. finish is the virtual time at which an account has used the work that it
	// has received.
	virtual map[int]float64
	finish  map[shareKey]float64
}

// arrive returns the virtual time of the priority of a request.
func (s *shares) arrive(r *Request) float64 {
	if !s.active && r.Caller != "" {
		s.active, s.virtual, s.finish = true, make(map[int]float64), make(map[shareKey]float64)
	}
	return s.virtual[r.Priority]
}

// tagger assigns tags to waiting requests in the order of their remaining time.
type tagger struct {
	shares *shares
	ahead  map[shareKey]float64
}

func (s *shares) tagger() tagger { return tagger{shares: s, ahead: make(map[shareKey]float64)} }

// tag returns the virtual time at which a request begins to use its account's share.
func (g tagger) tag(t *Ticket, mean float64) float64 {
	key := shareKey{t.Priority, t.Caller}
	tag := max(t.arrivedVirtual, g.shares.finish[key]) + g.ahead[key]
	g.ahead[key] += mean / t.weight()
	return tag
}

// charge records the work of a request that starts.
func (s *shares) charge(t *Ticket, mean float64) {
	if !s.active {
		return
	}
	key := shareKey{t.Priority, t.Caller}
	tag := max(t.arrivedVirtual, s.finish[key])
	s.virtual[t.Priority] = max(s.virtual[t.Priority], tag)
	s.finish[key] = tag + mean/t.weight()
	if len(s.finish) > maxShares {
		s.prune()
	}
}

// correct records by how much the work of a request differs from what it was charged.
func (s *shares) correct(r *Request, difference float64) {
	if s.active {
		s.finish[shareKey{r.Priority, r.Caller}] += difference / r.weight()
	}
}

func (s *shares) prune() {
	for key, finish := range s.finish {
		if finish <= s.virtual[key.priority] {
			delete(s.finish, key)
		}
	}
}

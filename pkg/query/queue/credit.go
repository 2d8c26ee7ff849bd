package queue

import "radishturn.example/radishturn/pkg/model"

const (
	// leastServedShare is how often each kind of request and each account is served at
	// least, as a share of how often requests are served on average.
	leastServedShare = 0.25
	// servedWeight is the weight of one request in the moving average of the share of
	// requests that are served.
	servedWeight = 0.05
	// maxCredit bounds the starts that a kind or account is owed, so that many refusals
	// are not followed by as many starts in a row.
	maxCredit = 2
)

// creditKey identifies a kind of request or an account.
type creditKey struct {
	kind   string
	caller model.CallerID
}

// credits counts the starts that kinds and accounts are owed. Each request that is decided
// earns its kind and its account leastServedShare of the mean share of requests served;
// each start costs 1. So only refusals add up, and a burst in which all are served in turn
// changes no order. An entry that is missing is 0.
type credits struct {
	// refusedShare is the moving average of the share of requests that are not served.
	refusedShare float64
	owed         map[creditKey]float64
}

// keysOf returns the entries of a request.
func keysOf(r *Request) []creditKey {
	keys := []creditKey{{kind: r.Kind}}
	if r.Caller != "" {
		keys = append(keys, creditKey{caller: r.Caller})
	}
	return keys
}

// arrive reports whether a request is owed a start, which is then paid for.
func (c *credits) arrive(r *Request) bool {
	owed := false
	for _, key := range keysOf(r) {
		owed = owed || c.owed[key] >= 1
	}
	if owed {
		c.add(r, -1)
	}
	return owed
}

// decide records whether a request is served. paid is set if it was owed a start.
func (c *credits) decide(r *Request, served, paid bool) {
	refused := 1.0
	if served {
		refused = 0
	}
	c.refusedShare += servedWeight * (refused - c.refusedShare)
	earned := leastServedShare * (1 - c.refusedShare)
	switch {
	case served && !paid:
		earned--
	case !served && paid:
		earned++
	}
	c.add(r, earned)
}

// add changes what the kind and the account of a request are owed.
func (c *credits) add(r *Request, credit float64) {
	if c.owed == nil {
		c.owed = make(map[creditKey]float64)
	}
	for _, key := range keysOf(r) {
		if left := min(maxCredit, c.owed[key]+credit); left > 0 {
			c.owed[key] = left
			continue
		}
		delete(c.owed, key)
	}
}

package gather

import "time"

const (
	// hedgeFactor times the usual latency is the delay before a request is hedged
	// to a second target.
	hedgeFactor = 2.2
	// minHedgeDelay prevents hedges that are due to network delays only.
	minHedgeDelay = 6 * time.Millisecond
	// overdueShare is the least delay of a hedge as a multiple of the expected latency of
	// the earlier request. It is below hedgeFactor, since such hedges are sent only if the
	// query would miss its objective without them.
	overdueShare = 1.4
	// hedgeMargin is the time that a hedge is given to be answered within the objective,
	// as a multiple of its expected latency.
	hedgeMargin = 1.1
)

// Expectation holds expected latencies; 0 means unknown.
type Expectation struct {
	// Current is that of the request in flight, and Next that of a request to the target
	// that would answer a further one first.
	Current, Next time.Duration
}

// Expect records what is expected of the last request to shard i.
func (r *Run) Expect(i int, e Expectation) { r.shards[i].expected = e }

// HedgeDelay returns how long a request may take before it is hedged, if nothing else is
// known of its target.
func (r *Run) HedgeDelay() time.Duration { return r.hedgeDelay }

// hedgeAt returns when the request in flight to a shard is hedged, or false if the reply
// to the hedge would arrive after the answer.
func (r *Run) hedgeAt(s *shard) (time.Duration, bool) {
	if !s.expected.Known() {
		return s.hedgeFrom + r.HedgeDelay(), true
	}
	at := s.hedgeFrom + s.expected.Explained(r.HedgeDelay(), r.plan.UsualLatency)
	if r.parts >= r.plan.Required {
		return at, at+s.expected.Next < r.plan.ObjectiveEnd
	}
	return s.expected.InTime(s.hedgeFrom, at, r.plan.ObjectiveEnd), at+s.expected.Next < r.plan.Deadline
}

// Known reports whether both latencies are known.
func (e Expectation) Known() bool { return e.Current > 0 && e.Next > 0 }

// Explained returns the delay of a hedge, which is delay for a request of the usual
// latency, with the additional latency that the target's load explains.
func (e Expectation) Explained(delay, usual time.Duration) time.Duration {
	return delay + max(0, e.Current-usual)
}

// InTime returns when to hedge a request sent at sent, at the latest at latest: earlier
// if the hedge is then expected to be answered by objectiveEnd, and is not otherwise.
func (e Expectation) InTime(sent, latest, objectiveEnd time.Duration) time.Duration {
	overdue := sent + max(minHedgeDelay, time.Duration(overdueShare*float64(e.Current)))
	at := max(overdue, objectiveEnd-time.Duration(hedgeMargin*float64(e.Next)))
	if at+e.Next > objectiveEnd {
		return latest
	}
	return min(at, latest)
}

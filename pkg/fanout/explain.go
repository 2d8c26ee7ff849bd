package fanout

import (
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// maxRecent and maxSlowest bound the number of requests in a queryHistory.
	maxRecent  = 128
	maxSlowest = 32
	// slowestRetention is how long a request stays in the list of the slowest.
	slowestRetention = 10 * time.Minute
)

// Explainer returns traces of requests, which show where the time went and why
// leaves are missing from the answer.
type Explainer interface {
	// Explain returns the trace of a request, or false if the request is neither
	// among the recent nor among the slowest ones.
	Explain(id model.RequestID) (*Explanation, bool)
	// Slowest lists the slowest requests within slowestRetention, slowest first.
	Slowest() []RequestSummary
}

// RequestSummary identifies a request and gives its duration.
type RequestSummary struct {
	RequestID    model.RequestID    `json:"requestId"`
	Collection   model.CollectionID `json:"collection"`
	Milliseconds float64            `json:"milliseconds"`
}

// Explanation is the trace of one request at this instance.
type Explanation struct {
	RequestSummary
	Caller      model.CallerID    `json:"caller"`
	Route       model.Route       `json:"route"`
	Fingerprint model.Fingerprint `json:"fingerprint"`
	// Error is empty if the request was answered.
	Error  string      `json:"error,omitempty"`
	Passes []PassTrace `json:"passes"`
}

// PassTrace describes one pass over the leaves of a snapshot. A query has two
// passes if a leaf lost the snapshot during the first one.
type PassTrace struct {
	Snapshot     model.SnapshotID `json:"snapshot"`
	StartedAfter float64          `json:"startedAfterMs"`
	Leaves       []LeafTrace      `json:"leaves"`
}

// LeafTrace describes the attempts at one leaf.
type LeafTrace struct {
	Leaf     string  `json:"leaf"`
	Answered bool    `json:"answered"`
	Missing  string  `json:"missing,omitempty"`
	Waited   float64 `json:"waitedMs,omitempty"`
	// Attempts are in the order in which they were sent.
	Attempts []AttemptTrace `json:"attempts"`
}

// AttemptTrace describes one leaf request.
type AttemptTrace struct {
	Target           model.TargetID           `json:"target"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Version          model.VersionID          `json:"version"`
	Hedge            bool                     `json:"hedge,omitempty"`
	StartedAfter     float64                  `json:"startedAfterMs"`
	// Milliseconds is 0 if the attempt was still open when the query ended.
	Milliseconds float64 `json:"milliseconds"`
	Result       string  `json:"result"`
}

// queryHistory keeps the records of the recent and the slowest requests. Traces are
// built only on request.
type queryHistory struct {
	mu      sync.Mutex
	recent  [maxRecent]*queryRecord
	next    int
	slowest []*queryRecord
}

var _ Explainer = (*Service)(nil)

func newQueryHistory() *queryHistory { return &queryHistory{} }

// Explain returns the trace of a request.
func (s *Service) Explain(id model.RequestID) (*Explanation, bool) { return s.history.find(id) }

// Slowest lists the slowest requests.
func (s *Service) Slowest() []RequestSummary { return s.history.slowestSummaries() }

func (h *queryHistory) find(id model.RequestID) (*Explanation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.recent {
		if o != nil && o.request.ID == id {
			return o.explain(), true
		}
	}
	for _, o := range h.slowest {
		if o.request.ID == id {
			return o.explain(), true
		}
	}
	return nil, false
}

func (h *queryHistory) slowestSummaries() []RequestSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	summaries := make([]RequestSummary, 0, len(h.slowest))
	for _, o := range h.slowest {
		summaries = append(summaries, o.summary())
	}
	return summaries
}

// add stores the record of a finished query, which must not change any more.
func (h *queryHistory) add(o *queryRecord) {
	for _, r := range o.runs {
		r.releaseBuffers()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recent[h.next] = o
	h.next = (h.next + 1) % maxRecent
	h.addSlow(o)
}

// addSlow inserts a record into the list of the slowest, which is sorted with the
// slowest first.
func (h *queryHistory) addSlow(o *queryRecord) {
	h.slowest = slices.DeleteFunc(h.slowest, func(old *queryRecord) bool { return o.ended-old.ended >= slowestRetention })
	index := len(h.slowest)
	for index > 0 && h.slowest[index-1].duration() < o.duration() {
		index--
	}
	if index >= maxSlowest {
		return
	}
	if len(h.slowest) == maxSlowest {
		h.slowest = h.slowest[:maxSlowest-1]
	}
	h.slowest = slices.Insert(h.slowest, index, o)
}

// releaseBuffers drops the request body, header and replies of a finished run, which
// its trace does not need.
func (r *run) releaseBuffers() {
	r.body, r.header = nil, nil
	for i := range r.subqueries {
		r.subqueries[i].reply = nil
	}
}

func (o *queryRecord) duration() time.Duration { return o.ended - o.started }

func (o *queryRecord) summary() RequestSummary {
	return RequestSummary{
		RequestID:    o.request.ID,
		Collection:   o.request.Collection,
		Milliseconds: milliseconds(o.duration()),
	}
}

func (o *queryRecord) explain() *Explanation {
	e := &Explanation{
		RequestSummary: o.summary(),
		Caller:         o.request.Caller,
		Route:          o.request.Route,
		Fingerprint:    o.fingerprint,
	}
	if o.err != nil {
		e.Error = o.err.Error()
	}
	for _, r := range o.runs {
		e.Passes = append(e.Passes, r.trace(o.started))
	}
	return e
}

func (r *run) trace(origin time.Duration) PassTrace {
	trace := PassTrace{
		Snapshot:     r.plan.snapshot.ID,
		StartedAfter: milliseconds(r.started - origin),
		Leaves:       make([]LeafTrace, len(r.subqueries)),
	}
	for i := range r.subqueries {
		trace.Leaves[i] = r.subqueries[i].trace(r.plan.snapshot.Leaves[i].Leaf, origin)
	}
	return trace
}

func (sq *subquery) trace(id model.LeafID, origin time.Duration) LeafTrace {
	trace := LeafTrace{Leaf: id.String(), Answered: sq.answered, Missing: string(sq.missing), Waited: milliseconds(sq.capacityWait)}
	for i := range sq.attempts[:sq.attemptCount] {
		trace.Attempts = append(trace.Attempts, sq.attempts[i].trace(origin))
	}
	return trace
}

func (a *attempt) trace(origin time.Duration) AttemptTrace {
	result := "open"
	if a.ended {
		result = a.kind.String()
	}
	return AttemptTrace{
		Target:           a.target.target.ID,
		AvailabilityZone: a.target.target.AvailabilityZone,
		Version:          a.target.target.Version,
		Hedge:            a.hedge,
		StartedAfter:     milliseconds(a.started - origin),
		Milliseconds:     milliseconds(a.elapsed),
		Result:           result,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package fanout

import (
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// maxRecent and maxSlowest bound the number of queries in a queryHistory.
	maxRecent  = 128
	maxSlowest = 32
	// slowestRetention is how long a query stays in the list of the slowest.
	slowestRetention = 10 * time.Minute
)

// Explainer returns traces of queries, which show where the time went and why
// leaves are missing from the answer.
type Explainer interface {
	// Explain returns the trace of a query, or false if the query is neither
	// among the recent nor among the slowest ones.
	Explain(id model.RequestID) (*QueryTrace, bool)
	// Slowest lists the slowest queries within slowestRetention, slowest first.
	Slowest() []RequestSummary
}

// RequestSummary identifies a query by its request ID and gives its duration.
type RequestSummary struct {
	RequestID    model.RequestID    `json:"requestId"`
	Collection   model.CollectionID `json:"collection"`
	Milliseconds float64            `json:"milliseconds"`
}

// QueryTrace is the trace of one query at this instance.
type QueryTrace struct {
	RequestSummary
	Caller      model.CallerID    `json:"caller"`
	Route       model.Route       `json:"route"`
	Fingerprint model.Fingerprint `json:"fingerprint"`
	// Error is empty if the query was answered.
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
	Leaf          string  `json:"leaf"`
	Answered      bool    `json:"answered"`
	MissingReason string  `json:"missing,omitempty"`
	Waited        float64 `json:"waitedMs,omitempty"`
	// Attempts are in the order in which they were sent.
	Attempts []AttemptTrace `json:"attempts"`
}

// AttemptTrace describes one attempt, which is one request to a target.
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

// queryHistory keeps the records of the recent and the slowest queries. Traces are
// built only on request.
type queryHistory struct {
	mu      sync.Mutex
	recent  [maxRecent]*queryRecord
	next    int
	slowest []*queryRecord
}

var _ Explainer = (*Service)(nil)

func newQueryHistory() *queryHistory { return &queryHistory{} }

// Explain returns the trace of a query.
func (s *Service) Explain(id model.RequestID) (*QueryTrace, bool) { return s.history.find(id) }

// Slowest lists the slowest queries.
func (s *Service) Slowest() []RequestSummary { return s.history.slowestSummaries() }

func (h *queryHistory) find(id model.RequestID) (*QueryTrace, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range h.recent {
		if record != nil && record.request.ID == id {
			return record.trace(), true
		}
	}
	for _, record := range h.slowest {
		if record.request.ID == id {
			return record.trace(), true
		}
	}
	return nil, false
}

func (h *queryHistory) slowestSummaries() []RequestSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	summaries := make([]RequestSummary, 0, len(h.slowest))
	for _, record := range h.slowest {
		summaries = append(summaries, record.summary())
	}
	return summaries
}

// add stores the record of a finished query, which must not change any more.
func (h *queryHistory) add(record *queryRecord) {
	for _, p := range record.passes {
		p.releaseBuffers()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recent[h.next] = record
	h.next = (h.next + 1) % maxRecent
	h.addSlow(record)
}

// addSlow inserts a record into the list of the slowest, which is sorted with the
// slowest first.
func (h *queryHistory) addSlow(record *queryRecord) {
	h.slowest = slices.DeleteFunc(h.slowest, func(old *queryRecord) bool { return record.ended-old.ended >= slowestRetention })
	index := len(h.slowest)
	for index > 0 && h.slowest[index-1].duration() < record.duration() {
		index--
	}
	if index >= maxSlowest {
		return
	}
	if len(h.slowest) == maxSlowest {
		h.slowest = h.slowest[:maxSlowest-1]
	}
	h.slowest = slices.Insert(h.slowest, index, record)
}

// releaseBuffers drops the request body, header and replies of a finished pass, which
// its trace does not need.
func (p *pass) releaseBuffers() {
	p.body, p.header = nil, nil
	for i := range p.subqueries {
		p.subqueries[i].reply = nil
	}
}

func (record *queryRecord) duration() time.Duration { return record.ended - record.started }

func (record *queryRecord) summary() RequestSummary {
	return RequestSummary{
		RequestID:    record.request.ID,
		Collection:   record.request.Collection,
		Milliseconds: milliseconds(record.duration()),
	}
}

func (record *queryRecord) trace() *QueryTrace {
	trace := &QueryTrace{
		RequestSummary: record.summary(),
		Caller:         record.request.Caller,
		Route:          record.request.Route,
		Fingerprint:    record.fingerprint,
	}
	if record.err != nil {
		trace.Error = record.err.Error()
	}
	for _, p := range record.passes {
		trace.Passes = append(trace.Passes, p.trace(record.started))
	}
	return trace
}

func (p *pass) trace(origin time.Duration) PassTrace {
	trace := PassTrace{
		Snapshot:     p.plan.snapshot.ID,
		StartedAfter: milliseconds(p.started - origin),
		Leaves:       make([]LeafTrace, len(p.subqueries)),
	}
	for i := range p.subqueries {
		trace.Leaves[i] = p.subqueries[i].trace(p.plan.snapshot.Leaves[i].Leaf, origin)
	}
	return trace
}

func (sq *subquery) trace(id model.LeafID, origin time.Duration) LeafTrace {
	trace := LeafTrace{Leaf: id.String(), Answered: sq.answered, MissingReason: string(sq.missingReason), Waited: milliseconds(sq.capacityWait)}
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

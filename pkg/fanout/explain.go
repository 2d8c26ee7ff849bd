package fanout

import (
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// recentKept and slowestKept bound the store of the explainer.
	recentKept  = 128
	slowestKept = 32
	// slowestWindow is how long a slow request is kept.
	slowestWindow = 10 * time.Minute
)

// Explainer says why a request took as long as it did and lacked what it lacked.
type Explainer interface {
	// Explain returns false if the request is not among the recent or slowest ones.
	Explain(id model.RequestID) (*Explanation, bool)
	// Slowest lists the slowest requests of the last minutes, slowest first.
	Slowest() []RequestSummary
}

// RequestSummary names a request and its time.
type RequestSummary struct {
	RequestID    model.RequestID    `json:"requestId"`
	Collection   model.CollectionID `json:"collection"`
	Milliseconds float64            `json:"milliseconds"`
}

// Explanation is the story of one request at this instance.
type Explanation struct {
	RequestSummary
	Caller      model.CallerID    `json:"caller"`
	Route       model.Route       `json:"route"`
	Fingerprint model.Fingerprint `json:"fingerprint"`
	// Error is empty for a request that was answered.
	Error  string      `json:"error,omitempty"`
	Passes []PassTrace `json:"passes"`
}

// PassTrace is one pass over the leaves of a snapshot. There are two if a leaf lost
// the snapshot midway.
type PassTrace struct {
	Snapshot     model.SnapshotID `json:"snapshot"`
	StartedAfter float64          `json:"startedAfterMs"`
	Leaves       []LeafTrace      `json:"leaves"`
}

// LeafTrace is what happened at one leaf.
type LeafTrace struct {
	Leaf     string  `json:"leaf"`
	Answered bool    `json:"answered"`
	Missing  string  `json:"missing,omitempty"`
	Waited   float64 `json:"waitedMs,omitempty"`
	// Attempts are in order of sending.
	Attempts []AttemptTrace `json:"attempts"`
}

// AttemptTrace is one leaf request.
type AttemptTrace struct {
	Target           model.TargetID           `json:"target"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	Version          model.VersionID          `json:"version"`
	Hedge            bool                     `json:"hedge,omitempty"`
	StartedAfter     float64                  `json:"startedAfterMs"`
	// Milliseconds is 0 for an attempt that was not over when the answer went out.
	Milliseconds float64 `json:"milliseconds"`
	Result       string  `json:"result"`
}

// recorder keeps the outcomes of recent and slowest requests. Their stories are
// written only when somebody asks.
type recorder struct {
	mu      sync.Mutex
	recent  [recentKept]*outcome
	next    int
	slowest []*outcome
}

var _ Explainer = (*Service)(nil)

func newRecorder() *recorder { return &recorder{} }

// Explain returns the story of a request.
func (s *Service) Explain(id model.RequestID) (*Explanation, bool) { return s.explainer.find(id) }

// Slowest lists the slowest requests.
func (s *Service) Slowest() []RequestSummary { return s.explainer.slowestSummaries() }

func (k *recorder) find(id model.RequestID) (*Explanation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range k.recent {
		if o != nil && o.request.ID == id {
			return o.explain(), true
		}
	}
	for _, o := range k.slowest {
		if o.request.ID == id {
			return o.explain(), true
		}
	}
	return nil, false
}

func (k *recorder) slowestSummaries() []RequestSummary {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]RequestSummary, 0, len(k.slowest))
	for _, o := range k.slowest {
		all = append(all, o.summary())
	}
	return all
}

// add keeps an outcome that does not change any more.
func (k *recorder) add(o *outcome) {
	for _, r := range o.runs {
		r.dropReplies()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recent[k.next] = o
	k.next = (k.next + 1) % recentKept
	k.addSlow(o)
}

// addSlow keeps the list sorted, slowest first.
func (k *recorder) addSlow(o *outcome) {
	k.slowest = slices.DeleteFunc(k.slowest, func(old *outcome) bool { return o.ended-old.ended >= slowestWindow })
	place := len(k.slowest)
	for place > 0 && k.slowest[place-1].took() < o.took() {
		place--
	}
	if place >= slowestKept {
		return
	}
	if len(k.slowest) == slowestKept {
		k.slowest = k.slowest[:slowestKept-1]
	}
	k.slowest = slices.Insert(k.slowest, place, o)
}

// dropReplies frees what a finished run holds beyond its story.
func (r *run) dropReplies() {
	r.body, r.header = nil, nil
	for i := range r.legs {
		r.legs[i].reply = nil
	}
}

func (o *outcome) took() time.Duration { return o.ended - o.started }

func (o *outcome) summary() RequestSummary {
	return RequestSummary{
		RequestID:    o.request.ID,
		Collection:   o.request.Collection,
		Milliseconds: milliseconds(o.took()),
	}
}

func (o *outcome) explain() *Explanation {
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
		e.Passes = append(e.Passes, r.story(o.started))
	}
	return e
}

func (r *run) story(origin time.Duration) PassTrace {
	stage := PassTrace{
		Snapshot:     r.plan.snapshot.ID,
		StartedAfter: milliseconds(r.started - origin),
		Leaves:       make([]LeafTrace, len(r.legs)),
	}
	for i := range r.legs {
		stage.Leaves[i] = r.legs[i].story(r.plan.snapshot.Leaves[i].Leaf, origin)
	}
	return stage
}

func (l *leg) story(id model.LeafID, origin time.Duration) LeafTrace {
	story := LeafTrace{Leaf: id.String(), Answered: l.answered, Missing: string(l.missing), Waited: milliseconds(l.waited)}
	for i := range l.attempts[:l.count] {
		story.Attempts = append(story.Attempts, l.attempts[i].story(origin))
	}
	return story
}

func (a *attempt) story(origin time.Duration) AttemptTrace {
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

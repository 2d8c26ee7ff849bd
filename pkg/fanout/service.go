package fanout

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/admission"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// answerMargin is reserved before the deadline for merging and sending the answer.
	answerMargin = 2 * time.Millisecond
	// minRerunTimeShare is the share of the query's time that has to be left to run
	// it again on another snapshot.
	minRerunTimeShare = 0.4
	// otherPlanTimeout bounds the wait for another complete snapshot after the first
	// one was lost.
	otherPlanTimeout      = 60 * time.Millisecond
	otherPlanPollInterval = 3 * time.Millisecond
	// defaultPriority applies to callers that the settings do not name.
	defaultPriority = 1
	// retryAfterOverload is the Retry-After delay of refusals due to overload.
	retryAfterOverload = 250 * time.Millisecond
	stepAdmit          = "admit query"
	stepFanout         = "fan out query"
)

// Service answers queries over all leaves of a snapshot and dispatches orders.
type Service struct {
	settings    *settings.Settings
	platform    platform.Source
	views       view.Source
	reporter    view.Reporter
	now         func() time.Duration
	collections map[model.CollectionID]*collection
	callers     map[model.CallerID]settings.Caller
	metrics     *queryMetrics
	history     *queryHistory

	admissionMu  sync.Mutex
	admission    *admission.State
	callerLimits *admission.CallerLimits
	overloaded   bool
	// orders counts the orders in progress.
	orders atomic.Int64

	suspectsMu sync.Mutex
	// suspects are the requests that this instance suspects of crashing targets or has
	// quarantined itself.
	suspects *poison.State
	// answered are requests that a target has answered while they were probed.
	answered *poison.AnsweredSet
	// quarantined holds the quarantined fingerprints of the last view.
	quarantined map[model.Fingerprint]bool

	// lastDeath is when a target last died; 0 means never. Deaths that are attributed
	// to the overload of a cold target do not count (see reportDeath).
	lastDeath atomic.Int64

	// extraHealthReads is a semaphore for health hints that are read between the
	// regular reads.
	extraHealthReads chan struct{}

	// windowOrigin and windowKnown hold the origin of the windows (see windowNumber).
	windowMu     sync.Mutex
	windowOrigin time.Duration
	windowKnown  bool
}

var _ query.Runner = (*Service)(nil)

// Config holds the dependencies of a Service.
type Config struct {
	Settings *settings.Settings
	Platform platform.Source
	View     view.Source
	Reporter view.Reporter
	// Now returns the time on the monotonic clock since any fixed origin.
	Now func() time.Duration
	// Memory is the budget of the process for messages. If it is nil, the settings give it.
	Memory *membudget.Budget
}

// NewService returns a Service without targets. Refresh adds them.
func NewService(c Config) *Service {
	memory := c.Memory
	if memory == nil {
		memory = membudget.ForProcess(c.Settings.Instance.MemoryMB)
	}
	s := &Service{
		settings:         c.Settings,
		platform:         c.Platform,
		views:            c.View,
		reporter:         c.Reporter,
		now:              c.Now,
		collections:      make(map[model.CollectionID]*collection),
		callers:          make(map[model.CallerID]settings.Caller),
		metrics:          newQueryMetrics(),
		history:          newQueryHistory(),
		admission:        admission.New(c.Settings.Instance.MaxInFlight),
		callerLimits:     admission.NewCallerLimits(),
		suspects:         poison.New(),
		answered:         poison.NewAnsweredSet(),
		extraHealthReads: make(chan struct{}, healthWorkers),
	}
	for _, collection := range c.Settings.Collections {
		s.collections[collection.ID] = newCollection(collection, c.Settings.Instance.ID, memory)
	}
	for _, caller := range c.Settings.Callers {
		s.callers[caller.ID] = caller
	}
	return s
}

// Refresh applies the newest target list of the platform and the newest view.
func (s *Service) Refresh() {
	list, v := s.platform.List(), s.views.View()
	if list == nil {
		return
	}
	now := s.now()
	for _, c := range s.collections {
		c.refresh(list, v, now)
		move, moving := v.Moves[c.id]
		c.outcomes.flush(s, now, move, moving)
		s.repeatWarmReports(c, now)
	}
	s.admissionMu.Lock()
	s.callerLimits.Retain(func(caller model.CallerID) bool { return s.callerLimit(v, caller) > 0 })
	s.admissionMu.Unlock()
	s.refreshQuarantine(v, now)
}

// Query answers r from one snapshot.
func (s *Service) Query(ctx context.Context, r query.Request) (*query.Answer, error) {
	c := s.collections[r.Collection]
	if c == nil {
		return nil, failure.New(failure.UnknownCollection, failure.NotRun, stepAdmit, "", "collection %q is not configured", r.Collection)
	}
	if time.Until(r.Deadline) <= answerMargin {
		return nil, failure.New(failure.DeadlineExceeded, failure.NotRun, stepAdmit, "", "the deadline has passed or is too near")
	}
	f := fingerprintOf(&r)
	if err := s.admit(&r, f); err != nil {
		s.metrics.recordRefusal(failure.CodeOf(err))
		return nil, err
	}
	started := s.now()
	record := &queryRecord{request: &r, fingerprint: f, started: started}
	answer, err := s.runQuery(ctx, c, record)
	record.ended, record.err = s.now(), err
	s.releaseAdmission(r.Caller, record.longestCapacityWait, record.ended)
	s.metrics.recordQuery(record.duration())
	s.history.add(record)
	return answer, err
}

// queryRecord is the record of one query that is kept for Explain.
type queryRecord struct {
	request     *query.Request
	fingerprint model.Fingerprint
	started     time.Duration
	ended       time.Duration
	// longestCapacityWait is the longest time that a subquery waited for capacity.
	longestCapacityWait time.Duration
	passes              []*pass
	err                 error
}

// runQuery runs the query, and a second time on another snapshot if a leaf lost the
// first one during the query.
func (s *Service) runQuery(ctx context.Context, c *collection, record *queryRecord) (*query.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, record.request.Deadline.Add(-answerMargin))
	defer cancel()
	first, err := s.runPass(ctx, c, record)
	if err != nil {
		return nil, err
	}
	if first.trial.quarantined {
		s.awaitQuarantine(ctx, record.fingerprint)
		return nil, failure.New(failure.Quarantined, failure.Unknown, stepFanout, "", "the request with fingerprint %016x is refused because targets crashed while they ran it", uint64(record.fingerprint))
	}
	if s.awaitRerun(ctx, c, record, first) {
		if second, err := s.runPass(ctx, c, record); err == nil && second.coveredDocuments() > first.coveredDocuments() {
			return s.buildAnswer(c, record, second)
		}
	}
	return s.buildAnswer(c, record, first)
}

// awaitRerun reports whether to run a query again that lost its snapshot: another plan
// becomes known within otherPlanTimeout, and enough of the query's time is left.
func (s *Service) awaitRerun(ctx context.Context, c *collection, record *queryRecord, first *pass) bool {
	if !first.lostSnapshot || !s.awaitOtherPlan(ctx, c, first.plan) {
		return false
	}
	total := s.now() - record.started + time.Until(record.request.Deadline)
	return float64(time.Until(record.request.Deadline)) >= minRerunTimeShare*float64(total)
}

// awaitOtherPlan waits up to otherPlanTimeout until another snapshot is known to be
// complete, because the health hints of targets that refused the first one are being
// read again. If none is known by then, it reports true for another snapshot that is
// not complete, since a pass on that is still worthwhile.
func (s *Service) awaitOtherPlan(ctx context.Context, c *collection, lost *plan) bool {
	ctx, cancel := context.WithTimeout(ctx, otherPlanTimeout)
	defer cancel()
	ticker := time.NewTicker(otherPlanPollInterval)
	defer ticker.Stop()
	for {
		next := c.currentPlan(s.now())
		other := next != nil && next.snapshot.ID != lost.snapshot.ID
		if other && next.complete {
			return true
		}
		select {
		case <-ctx.Done():
			return other
		case <-ticker.C:
		}
	}
}

// runPass runs the query once on the current snapshot.
func (s *Service) runPass(ctx context.Context, c *collection, record *queryRecord) (*pass, error) {
	current := c.currentPlan(s.now())
	if current == nil {
		return nil, failure.New(failure.NoSnapshot, failure.NotRun, "pin snapshot", "", "no snapshot of collection %s is known to be held", c.id)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := s.newPass(ctx, c, current, record.request, record.fingerprint)
	record.passes = append(record.passes, p)
	p.execute()
	for i := range p.subqueries {
		record.longestCapacityWait = max(record.longestCapacityWait, p.subqueries[i].capacityWait)
	}
	return p, nil
}

// leaseForbidsQueries reports whether the state of the lease forbids queries.
func (s *Service) leaseForbidsQueries() bool {
	switch s.views.Lease() {
	case view.LeaseHeld, view.LeaseControlLost:
		return false
	}
	return true
}

// fingerprintOf returns the same fingerprint for requests that make a target do the
// same work.
func fingerprintOf(r *query.Request) model.Fingerprint {
	return poison.FingerprintOf(string(r.Collection), string(r.Route), r.Query, strconv.Itoa(r.Limit))
}

// Readiness reports whether queries can be answered.
type Readiness interface {
	// Snapshots returns the number of collections that have a snapshot to query,
	// and the number of all collections.
	Snapshots() (usable, collections int)
}

// Snapshots returns the number of collections that have a snapshot to query, and the
// number of all collections.
func (s *Service) Snapshots() (usable, collections int) {
	for _, c := range s.collections {
		if c.plan.Load() != nil {
			usable++
		}
	}
	return usable, len(s.collections)
}

// inProgress returns the number of queries and orders in progress.
func (s *Service) inProgress() int {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	return s.admission.InFlight() + int(s.orders.Load())
}

// Close closes the idle connections to all targets.
func (s *Service) Close() {
	for _, t := range s.allTargets() {
		t.client.Close()
	}
}

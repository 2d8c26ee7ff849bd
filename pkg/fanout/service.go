package fanout

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
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
	// otherPlanTimeout bounds the wait for another whole snapshot after the first
	// one was lost.
	otherPlanTimeout      = 60 * time.Millisecond
	otherPlanPollInterval = 3 * time.Millisecond
	// lowestPriority applies to callers that the settings do not name.
	lowestPriority = 1
	// retryAfterOverload is the Retry-After delay of refusals due to overload.
	retryAfterOverload = 250 * time.Millisecond
	stepAdmit          = "admit query"
	stepFanout         = "fan out query"
)

// Service answers queries over all leaves of a snapshot and dispatches orders.
type Service struct {
	settings    *settings.Settings
	source      platform.Source
	view        view.Source
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

	poisonMu sync.Mutex
	poison   *poison.State
	proven   *poison.AnsweredSet
	// quarantined holds the quarantined fingerprints of the last view.
	quarantined map[model.Fingerprint]bool

	// lastDeath is when a target last died, other than one that cold start explains;
	// 0 means never.
	lastDeath atomic.Int64

	// extraHealthReads is a semaphore for health hints that are read between the
	// regular reads.
	extraHealthReads chan struct{}

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
}

// NewService returns a Service without targets. Refresh adds them.
func NewService(c Config) *Service {
	s := &Service{
		settings:         c.Settings,
		source:           c.Platform,
		view:             c.View,
		reporter:         c.Reporter,
		now:              c.Now,
		collections:      make(map[model.CollectionID]*collection),
		callers:          make(map[model.CallerID]settings.Caller),
		metrics:          newQueryMetrics(),
		history:          newQueryHistory(),
		admission:        admission.New(c.Settings.Instance.MaxInFlight),
		callerLimits:     admission.NewCallerLimits(),
		poison:           poison.New(),
		proven:           poison.NewAnsweredSet(),
		extraHealthReads: make(chan struct{}, healthWorkers),
	}
	for _, collection := range c.Settings.Collections {
		s.collections[collection.ID] = newCollection(collection, c.Settings.Instance.ID)
	}
	for _, caller := range c.Settings.Callers {
		s.callers[caller.ID] = caller
	}
	return s
}

// Refresh applies the newest target list of the platform and the newest view.
func (s *Service) Refresh() {
	list, v := s.source.List(), s.view.View()
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
	o := &queryRecord{request: &r, fingerprint: f, started: started}
	answer, err := s.runQuery(ctx, c, o)
	o.ended, o.err = s.now(), err
	s.releaseAdmission(r.Caller, o.capacityWait, o.ended)
	s.metrics.recordQuery(o.duration())
	s.history.add(o)
	return answer, err
}

// queryRecord is the record of one query that is kept for Explain.
type queryRecord struct {
	request      *query.Request
	fingerprint  model.Fingerprint
	started      time.Duration
	ended        time.Duration
	capacityWait time.Duration
	runs         []*run
	err          error
}

// runQuery runs the query, and a second time on another snapshot if a leaf lost the
// first one during the query.
func (s *Service) runQuery(ctx context.Context, c *collection, o *queryRecord) (*query.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, o.request.Deadline.Add(-answerMargin))
	defer cancel()
	choice := c.chooseVersions(s.view.View(), o.request.Caller, o.request.ID)
	first, err := s.runPass(ctx, c, o, choice)
	if err != nil {
		return nil, err
	}
	if first.trial.condemned {
		s.awaitQuarantine(ctx, o.fingerprint)
		return nil, failure.New(failure.Quarantined, failure.Unknown, stepFanout, "", "request %016x is refused because targets crashed while they ran it", uint64(o.fingerprint))
	}
	if s.shouldRerun(ctx, c, o, first) {
		if second, err := s.runPass(ctx, c, o, choice); err == nil && second.coveredDocuments() > first.coveredDocuments() {
			return s.buildAnswer(c, o, second)
		}
	}
	return s.buildAnswer(c, o, first)
}

func (s *Service) shouldRerun(ctx context.Context, c *collection, o *queryRecord, first *run) bool {
	if !first.lostSnapshot || !s.awaitOtherPlan(ctx, c, first.plan) {
		return false
	}
	total := s.now() - o.started + time.Until(o.request.Deadline)
	return float64(time.Until(o.request.Deadline)) >= minRerunTimeShare*float64(total)
}

// awaitOtherPlan waits up to otherPlanTimeout until another snapshot is known to be
// whole, because the health hints of targets that refused the first one are being
// read again. If none is known by then, it reports true for another snapshot that is
// not whole, since a run on that is still worthwhile.
func (s *Service) awaitOtherPlan(ctx context.Context, c *collection, lost *plan) bool {
	ctx, cancel := context.WithTimeout(ctx, otherPlanTimeout)
	defer cancel()
	ticker := time.NewTicker(otherPlanPollInterval)
	defer ticker.Stop()
	for {
		next := c.currentPlan(s.now())
		other := next != nil && next.snapshot.ID != lost.snapshot.ID
		if other && next.whole {
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
func (s *Service) runPass(ctx context.Context, c *collection, o *queryRecord, choice versionChoice) (*run, error) {
	p := c.currentPlan(s.now())
	if p == nil {
		return nil, failure.New(failure.NoSnapshot, failure.NotRun, "pin snapshot", "", "no whole snapshot of collection %s", c.id)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := s.newRun(ctx, c, p, o.request, choice, o.fingerprint)
	o.runs = append(o.runs, r)
	r.execute()
	for i := range r.subqueries {
		o.capacityWait = max(o.capacityWait, r.subqueries[i].capacityWait)
	}
	return r, nil
}

// admit decides whether to accept the query. Refusals are always NotRun, since no
// request has been sent to a target yet.
func (s *Service) admit(r *query.Request, f model.Fingerprint) error {
	v := s.view.View()
	if s.leaseForbidsQueries() {
		return failure.New(failure.LeaseExpired, failure.NotRun, stepAdmit, "", "lease is %s", s.view.Lease())
	}
	if v.Quarantined[f] || s.standing(f) == poison.Quarantined {
		return failure.New(failure.Quarantined, failure.NotRun, stepAdmit, "", "request %016x is refused because targets crashed while they ran it", uint64(f))
	}
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	if err := s.admitCaller(v, r.Caller); err != nil {
		return err
	}
	return s.admitLoad(r.Caller)
}

func (s *Service) admitCaller(v *view.View, caller model.CallerID) error {
	limit := s.callerLimit(v, caller)
	if limit <= 0 {
		return nil
	}
	share := limit / float64(max(1, len(v.Instances)))
	wait, ok := s.callerLimits.Allow(caller, share, s.now())
	if ok {
		return nil
	}
	return refusalError(failure.CallerLimit, wait, "caller %q is limited to %g/s", caller, limit)
}

// callerLimit returns the fleet-wide limit of a caller in queries per second; 0
// means none. A rule overrides the settings.
func (s *Service) callerLimit(v *view.View, caller model.CallerID) float64 {
	if limit, ok := v.CallerLimits[caller]; ok {
		return limit
	}
	return s.callers[caller].LimitPerSecond
}

func (s *Service) admitLoad(caller model.CallerID) error {
	verdict := s.admission.Admit(caller, s.priority(caller))
	if verdict == admission.Admitted {
		s.overloaded = false
		return nil
	}
	if !s.overloaded {
		events.Emit(events.EntryOverloaded, s.admission.InFlight(), s.admission.Limit())
	}
	s.overloaded = true
	return refusalError(failure.Overloaded, retryAfterOverload, "%d queries in progress", s.admission.InFlight())
}

func (s *Service) priority(caller model.CallerID) int {
	if c, ok := s.callers[caller]; ok {
		return c.Priority
	}
	return lowestPriority
}

func refusalError(code failure.Code, wait time.Duration, format string, args ...any) error {
	return &failure.Error{Code: code, Ran: failure.NotRun, Step: stepAdmit, RetryAfter: wait, Err: fmt.Errorf(format, args...)}
}

func (s *Service) releaseAdmission(caller model.CallerID, waited, now time.Duration) {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.admission.Done(caller, waited, now)
}

// leaseForbidsQueries reports whether the state of the lease forbids queries.
func (s *Service) leaseForbidsQueries() bool {
	switch s.view.Lease() {
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
	Snapshots() (whole, collections int)
}

// Snapshots returns the number of collections that have a snapshot to query, and the
// number of all collections.
func (s *Service) Snapshots() (whole, collections int) {
	for _, c := range s.collections {
		if c.plan.Load() != nil {
			whole++
		}
	}
	return whole, len(s.collections)
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

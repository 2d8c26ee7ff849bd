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
	// answerMargin is kept free before the deadline for merging and sending.
	answerMargin = 2 * time.Millisecond
	// rerunShare is how much of the time has to be left for a fresh run.
	rerunShare = 0.4
	// replanWait bounds the wait for another whole snapshot after one was lost.
	replanWait = 60 * time.Millisecond
	replanPoll = 3 * time.Millisecond
	// lowestPriority applies to callers that the settings do not name.
	lowestPriority = 1
	// retryAfterOverload is what refused callers are told to wait.
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
	metrics     *metricSet
	explainer   *recorder

	admissionMu sync.Mutex
	admission   *admission.State
	limits      *admission.CallerLimits
	overloaded  bool
	// orders counts the orders in progress.
	orders atomic.Int64

	poisonMu sync.Mutex
	poison   *poison.State
	proven   *poison.KnownGood
	// quarantined are the fingerprints of the last view.
	quarantined map[model.Fingerprint]bool

	// lastDeath is when a target died last; 0 means never.
	lastDeath atomic.Int64

	// soonReads bounds the hints that are read out of turn.
	soonReads chan struct{}

	windowMu     sync.Mutex
	windowOrigin time.Duration
	windowKnown  bool
}

var _ query.Service = (*Service)(nil)

// Config is what a Service works with.
type Config struct {
	Settings *settings.Settings
	Platform platform.Source
	View     view.Source
	Reporter view.Reporter
	// Now is the time on the monotonic clock since any fixed origin.
	Now func() time.Duration
}

// NewService returns a Service without targets; see Refresh.
func NewService(c Config) *Service {
	s := &Service{
		settings:    c.Settings,
		source:      c.Platform,
		view:        c.View,
		reporter:    c.Reporter,
		now:         c.Now,
		collections: make(map[model.CollectionID]*collection),
		callers:     make(map[model.CallerID]settings.Caller),
		metrics:     newMetricSet(),
		explainer:   newRecorder(),
		admission:   admission.New(c.Settings.Instance.MaxInFlight),
		limits:      admission.NewCallerLimits(),
		poison:      poison.New(),
		proven:      poison.NewKnownGood(),
		soonReads:   make(chan struct{}, healthWorkers),
	}
	for _, collection := range c.Settings.Collections {
		s.collections[collection.ID] = newCollection(collection, c.Settings.Instance.ID)
	}
	for _, caller := range c.Settings.Callers {
		s.callers[caller.ID] = caller
	}
	return s
}

// Refresh takes in the newest list of the platform and the newest view.
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
		s.reportStillWarm(c, now)
	}
	s.admissionMu.Lock()
	s.limits.Retain(func(caller model.CallerID) bool { return s.callerLimit(v, caller) > 0 })
	s.admissionMu.Unlock()
	s.refreshQuarantine(v, now)
}

// Query answers r from one snapshot.
func (s *Service) Query(ctx context.Context, r query.Request) (*query.Answer, error) {
	c := s.collections[r.Collection]
	if c == nil {
		return nil, failure.New(failure.UnknownCollection, failure.NotRun, stepAdmit, "", "collection %q", r.Collection)
	}
	if time.Until(r.Deadline) <= answerMargin {
		return nil, failure.New(failure.DeadlineExceeded, failure.NotRun, stepAdmit, "", "no time left")
	}
	f := fingerprintOf(&r)
	if err := s.admit(&r, f); err != nil {
		s.metrics.refused(failure.CodeOf(err))
		return nil, err
	}
	started := s.now()
	o := &outcome{request: &r, fingerprint: f, started: started}
	answer, err := s.answer(ctx, c, o)
	o.ended, o.err = s.now(), err
	s.done(r.Caller, o.waited, o.ended)
	s.metrics.query(o.took())
	s.explainer.add(o)
	return answer, err
}

// outcome collects what the explainer keeps of one query.
type outcome struct {
	request     *query.Request
	fingerprint model.Fingerprint
	started     time.Duration
	ended       time.Duration
	waited      time.Duration
	runs        []*run
	err         error
}

// answer runs the query, and once more on another snapshot if a leaf lost the
// first one midway.
func (s *Service) answer(ctx context.Context, c *collection, o *outcome) (*query.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, o.request.Deadline.Add(-answerMargin))
	defer cancel()
	choice := c.choice(s.view.View(), o.request.Caller, o.request.ID)
	first, err := s.pass(ctx, c, o, choice)
	if err != nil {
		return nil, err
	}
	if first.trial.condemned {
		s.awaitQuarantine(ctx, o.fingerprint)
		return nil, failure.New(failure.Quarantined, failure.Unknown, stepFanout, "", "request %016x ended targets", uint64(o.fingerprint))
	}
	if s.worthRerun(ctx, c, o, first) {
		if second, err := s.pass(ctx, c, o, choice); err == nil && second.covered() > first.covered() {
			return s.conclude(c, o, second)
		}
	}
	return s.conclude(c, o, first)
}

func (s *Service) worthRerun(ctx context.Context, c *collection, o *outcome, first *run) bool {
	if !first.lostSnapshot || !s.awaitOtherPlan(ctx, c, first.plan) {
		return false
	}
	total := s.now() - o.started + time.Until(o.request.Deadline)
	return float64(time.Until(o.request.Deadline)) >= rerunShare*float64(total)
}

// awaitOtherPlan waits for a short time until another snapshot is known to be
// whole, since the hints of targets that refused the first one are read again.
// If none is in that time, one that is not whole is still worth a run.
func (s *Service) awaitOtherPlan(ctx context.Context, c *collection, lost *plan) bool {
	ctx, cancel := context.WithTimeout(ctx, replanWait)
	defer cancel()
	ticker := time.NewTicker(replanPoll)
	defer ticker.Stop()
	for {
		next := c.current(s.now())
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

// pass runs the query once on the snapshot that is current now.
func (s *Service) pass(ctx context.Context, c *collection, o *outcome, choice versionChoice) (*run, error) {
	p := c.current(s.now())
	if p == nil {
		return nil, failure.New(failure.NoSnapshot, failure.NotRun, "pin snapshot", "", "no whole snapshot of %s", c.id)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := s.newRun(ctx, c, p, o.request, choice, o.fingerprint)
	o.runs = append(o.runs, r)
	r.all()
	for i := range r.legs {
		o.waited = max(o.waited, r.legs[i].waited)
	}
	return r, nil
}

// admit decides whether the query is taken on. A refusal is always not-run.
func (s *Service) admit(r *query.Request, f model.Fingerprint) error {
	v := s.view.View()
	if s.leaseRefuses() {
		return failure.New(failure.LeaseExpired, failure.NotRun, stepAdmit, "", "lease is %s", s.view.Lease())
	}
	if v.Quarantined[f] || s.standing(f) == poison.Quarantined {
		return failure.New(failure.Quarantined, failure.NotRun, stepAdmit, "", "request %016x ended targets", uint64(f))
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
	wait, ok := s.limits.Allow(caller, share, s.now())
	if ok {
		return nil
	}
	return refusal(failure.CallerLimit, wait, "caller %q is limited to %g/s", caller, limit)
}

// callerLimit returns the fleet-wide limit of a caller; 0 means none. A rule
// outranks the settings.
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
	return refusal(failure.Overloaded, retryAfterOverload, "%d queries in progress", s.admission.InFlight())
}

func (s *Service) priority(caller model.CallerID) int {
	if c, ok := s.callers[caller]; ok {
		return c.Priority
	}
	return lowestPriority
}

func refusal(code failure.Code, wait time.Duration, format string, args ...any) error {
	return &failure.Error{Code: code, Ran: failure.NotRun, Step: stepAdmit, RetryAfter: wait, Err: fmt.Errorf(format, args...)}
}

func (s *Service) done(caller model.CallerID, waited, now time.Duration) {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.admission.Done(caller, waited, now)
}

// leaseRefuses reports whether the lease forbids sending queries.
func (s *Service) leaseRefuses() bool {
	switch s.view.Lease() {
	case view.LeaseHeld, view.LeaseControlLost:
		return false
	}
	return true
}

// fingerprintOf identifies requests that run the same at every target.
func fingerprintOf(r *query.Request) model.Fingerprint {
	return poison.FingerprintOf(string(r.Collection), string(r.Route), r.Query, strconv.Itoa(r.Limit))
}

// Readiness says whether queries can be answered.
type Readiness interface {
	// Snapshots returns how many collections have a whole snapshot, and the
	// number of collections.
	Snapshots() (whole, collections int)
}

// Snapshots counts the collections with a whole snapshot.
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

package fanout

import (
	"fmt"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/admission"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/view"
)

// admit decides whether to accept the query. Refusals are always NotRun, since no
// request has been sent to a target yet.
func (s *Service) admit(r *query.Request, f model.Fingerprint) error {
	v := s.views.View()
	if s.leaseForbidsQueries() {
		return failure.New(failure.LeaseExpired, failure.NotRun, stepAdmit, "", "lease is %s", s.views.Lease())
	}
	if v.Quarantined[f] || s.poisonStatus(f) == poison.Quarantined {
		return failure.New(failure.Quarantined, failure.NotRun, stepAdmit, "", "the request with fingerprint %016x is refused because targets crashed while they ran it", uint64(f))
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
		events.Emit(events.InstanceOverloaded, s.admission.InFlight(), s.admission.Limit())
	}
	s.overloaded = true
	return refusalError(failure.Overloaded, retryAfterOverload, "%d queries in progress", s.admission.InFlight())
}

func (s *Service) priority(caller model.CallerID) int {
	if c, ok := s.callers[caller]; ok {
		return c.Priority
	}
	return defaultPriority
}

func refusalError(code failure.Code, wait time.Duration, format string, args ...any) error {
	return &failure.Error{Code: code, Ran: failure.NotRun, Step: stepAdmit, RetryAfter: wait, Err: fmt.Errorf(format, args...)}
}

func (s *Service) releaseAdmission(caller model.CallerID, waited, now time.Duration) {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.admission.Done(caller, waited, now)
}

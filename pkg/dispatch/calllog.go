package dispatch

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// Rate limits for the log lines on a call, in lines per second. The line on the end
// of a failed or partially answered call is not limited here.
const (
	admittedLinesPerSecond = 20
	progressLinesPerSecond = 40
	sentLinesPerSecond     = 60
	// maxSentLines bounds the log lines on the target requests of one call.
	maxSentLines = 8
)

// logLimiters limit the rate of an Engine's log lines, by kind. progress limits the
// lines on calls in progress: further requests, late calls and queued queries.
type logLimiters struct{ admitted, progress, sent *rate.Limiter }

func newLogLimiters() logLimiters {
	perSecond := func(n int) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), n) }
	return logLimiters{
		admitted: perSecond(admittedLinesPerSecond), progress: perSecond(progressLinesPerSecond), sent: perSecond(sentLinesPerSecond),
	}
}

// reason is why a further request is sent.
type reason string

const (
	// reasonHedge: an earlier request is late.
	reasonHedge reason = "hedge"
	// reasonRetry: the earlier requests have failed.
	reasonRetry reason = "repeat"
)

// furtherReason returns the reason for a further request after these.
func (s sentRequests) furtherReason() reason {
	if slices.ContainsFunc(s, func(r *sentRequest) bool { return !r.completed }) {
		return reasonHedge
	}
	return reasonRetry
}

func (e *Engine) logAdmitted(c *Call, t *Trace) {
	if e.logLimiters.admitted.Allow() {
		events.Emit(events.CallAdmitted, c.Request.ID, c.Route.Name, c.Timeout.Milliseconds(), t.TableVersion, t.LeaseLeft.Milliseconds())
	}
}

// deferredEvent is a log event that is written after the call is answered, so that
// logging does not delay calls with a short objective.
type deferredEvent struct {
	event  events.Number
	values []any
}

// Log writes the deferred events of a call. It is called after the answer.
func (t *Trace) Log() {
	for _, d := range t.deferred {
		events.Emit(d.event, d.values...)
	}
}

func (t *Trace) deferEvent(event events.Number, values ...any) {
	t.deferred = append(t.deferred, deferredEvent{event, values})
}

// deferFurtherEvent defers the event of a hedge or retry, whether or not it uses the
// retry budget; earlier holds the requests before it.
func (e *Engine) deferFurtherEvent(c *Call, t *Trace, service model.ServiceID, r *sentRequest, earlier sentRequests) {
	if e.logLimiters.progress.Allow() {
		t.deferEvent(events.ExtraRequestSent, c.Request.ID, service, r.target.ID, earlier.furtherReason(), r.sentAt.Milliseconds(),
			rounded(r.cost), c.stats.usual().Microseconds(), rounded(e.extraRequestsLeft(service)), describeRequests(service, earlier))
	}
}

// deferDeniedEvent defers the event of an extra request that the retry budget denied.
func (e *Engine) deferDeniedEvent(c *Call, t *Trace, service model.ServiceID, earlier sentRequests) {
	if e.logLimiters.progress.Allow() {
		t.deferEvent(events.ExtraRequestDenied, c.Request.ID, service, earlier.furtherReason(), time.Since(c.Arrived).Milliseconds(),
			rounded(e.extraRequestsLeft(service)), describeRequests(service, earlier))
	}
}

// logLate logs a call that is still in progress after its objective.
func (e *Engine) logLate(c *Call, waiting int, unanswered []string) {
	if e.logLimiters.progress.Allow() {
		events.Emit(events.CallLate, c.Request.ID, c.Route.Name, time.Since(c.Arrived).Milliseconds(), waiting, unanswered)
	}
}

// logLate logs, once per query, that the objective has passed while coverage is
// too low.
func (q *query) logLate(now time.Duration) {
	if q.lateLogged || now < q.plan.ObjectiveEnd || q.run.Parts() >= q.plan.Required {
		return
	}
	q.lateLogged = true
	q.engine.logLate(q.call, len(q.sentByShard)-q.run.Parts(), q.unansweredShards())
}

// deferSentEvents defers the events of the target requests of a call that failed or was
// answered in part.
func (e *Engine) deferSentEvents(c *Call, t *Trace, service model.ServiceID, sent sentRequests, lines *int) {
	for _, r := range sent {
		if *lines >= maxSentLines || !e.logLimiters.sent.Allow() {
			return
		}
		*lines++
		t.deferEvent(events.RequestSent, c.Request.ID, service, r.target.ID, r.sentAt.Milliseconds(), rounded(r.cost),
			rounded(r.fleetCost), r.resultAt.Milliseconds(), r.resultLabel())
	}
}

// rounded rounds to two decimal places.
func rounded(v float64) float64 { return math.Round(v*100) / 100 }

// objectiveEnd returns when the call's latency objective ends.
func (s *singleCall) objectiveEnd() time.Duration {
	return s.arrived + s.call.Route.Objective - s.call.Elapsed
}

// logLate logs, once per call, that the objective has passed.
func (s *singleCall) logLate() {
	if s.lateLogged || s.call.Route.Objective == 0 || s.engine.now() < s.objectiveEnd() {
		return
	}
	s.lateLogged = true
	s.engine.logLate(s.call, 1, []string{describeRequests(s.service, s.sent)})
}

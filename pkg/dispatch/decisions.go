package dispatch

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// Bounds of the lines on decisions, in lines a second. Ends of requests that are
// odd are not among them.
const (
	admittedLinesPerSecond = 20
	extraLinesPerSecond    = 40
	sentLinesPerSecond     = 60
	// maxSentLines bounds the lines on the requests of one call.
	maxSentLines = 8
)

// lineBounds bound the lines of an Engine, by their kind.
type lineBounds struct{ admitted, extra, sent *rate.Limiter }

func newLineBounds() lineBounds {
	perSecond := func(n int) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), n) }
	return lineBounds{
		admitted: perSecond(admittedLinesPerSecond), extra: perSecond(extraLinesPerSecond), sent: perSecond(sentLinesPerSecond),
	}
}

// reason says why an extra request is sent.
type reason string

const (
	// reasonHedge: an earlier request is late.
	reasonHedge reason = "hedge"
	// reasonRepeat: the earlier requests have failed.
	reasonRepeat reason = "repeat"
)

// reasonOf returns why another request is sent after the others.
func (s sends) reasonOf() reason {
	if slices.ContainsFunc(s, func(p *sentPart) bool { return !p.ended }) {
		return reasonHedge
	}
	return reasonRepeat
}

func (e *Engine) logAdmitted(c *Call, t *Trace) {
	if e.lines.admitted.Allow() {
		events.Emit(events.CallAdmitted, c.Request.ID, c.Route.Name, c.Timeout.Milliseconds(), t.TableVersion, t.LeaseLeft.Milliseconds())
	}
}

// decision is a line on a call that is written after its answer, since a call
// with a short objective does not wait for lines about it.
type decision struct {
	event  events.Number
	values []any
}

// Log writes the lines on the decisions of a call that was answered.
func (t *Trace) Log() {
	for _, d := range t.decisions {
		events.Emit(d.event, d.values...)
	}
}

func (t *Trace) note(event events.Number, values ...any) {
	t.decisions = append(t.decisions, decision{event, values})
}

// noteExtra keeps the line on a hedge or repeat; earlier are the requests before it.
func (e *Engine) noteExtra(c *Call, t *Trace, service model.ServiceID, sent *sentPart, earlier sends) {
	if e.lines.extra.Allow() {
		t.note(events.ExtraSent, c.Request.ID, service, sent.target.ID, earlier.reasonOf(), sent.sentAt.Milliseconds(),
			rounded(sent.cost), c.stats.usual().Microseconds(), rounded(e.extraLeft(service)), story(service, earlier))
	}
}

// noteDenied keeps the line on one that the retry budget does not allow.
func (e *Engine) noteDenied(c *Call, t *Trace, service model.ServiceID, earlier sends) {
	if e.lines.extra.Allow() {
		t.note(events.ExtraDenied, c.Request.ID, service, earlier.reasonOf(), time.Since(c.Arrived).Milliseconds(),
			rounded(e.extraLeft(service)), story(service, earlier))
	}
}

// logLate tells of a call that goes on after its objective.
func (e *Engine) logLate(c *Call, waiting int, late []string) {
	if e.lines.extra.Allow() {
		events.Emit(events.CallLate, c.Request.ID, c.Route.Name, time.Since(c.Arrived).Milliseconds(), waiting, late)
	}
}

// noteSent keeps the lines on the requests of a call that ended oddly.
func (e *Engine) noteSent(c *Call, t *Trace, service model.ServiceID, sent sends, lines *int) {
	for _, p := range sent {
		if *lines >= maxSentLines || !e.lines.sent.Allow() {
			return
		}
		*lines++
		t.note(events.RequestSent, c.Request.ID, service, p.target.ID, p.sentAt.Milliseconds(), rounded(p.cost),
			rounded(c.page.view.ExpensiveTargets[p.target.ID]), p.replyAt.Milliseconds(), p.fate())
	}
}

// rounded keeps two digits after the point.
func rounded(v float64) float64 { return math.Round(v*100) / 100 }

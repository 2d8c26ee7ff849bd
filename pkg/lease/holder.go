package lease

import (
	"maps"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// times are the moments that decide the state of the lease, on the monotonic
// clock. They are immutable and shared with readers.
type times struct {
	// until is when the lease runs out; 0 means that none was held yet.
	until time.Duration
	// graceUntil is when queries end unless control was found to be lost.
	graceUntil time.Duration
	// controlLostUntil is how long the last finding that control is lost holds.
	controlLostUntil time.Duration
	// returned is set once the lease was handed back.
	returned bool
}

// state returns the state of the lease at a moment.
func (t *times) state(now time.Duration) view.LeaseState {
	switch {
	case t.returned, t.until == 0:
		return view.LeaseNone
	case now < t.until:
		return view.LeaseHeld
	case now < max(t.graceUntil, t.controlLostUntil):
		return view.LeaseControlLost
	default:
		return view.LeaseCutOff
	}
}

// holder is the holder's side of a lease. It is pure and not safe for
// concurrent use.
type holder struct {
	self     model.Instance
	boot     string
	duration time.Duration
	grace    time.Duration

	times   times
	view    *view.View
	version uint64
	// membership is the version of the set of instances in the view.
	membership uint64
	sequence   uint64
	// applied is the sequence of the newest renewal whose reply was taken.
	applied uint64

	session       uint64
	grantSequence uint64
	// report is set while the leader wants to know what is held.
	report bool
	// compare is set while the leader wants to know the buckets of the catalog.
	compare bool
	// void is set while the holder surely holds no grants: at the start, and
	// after it was cut off, when others may have got what it held.
	void bool
}

func newHolder(self model.Instance, boot string, duration, grace time.Duration) *holder {
	return &holder{self: self, boot: boot, duration: duration, grace: grace, view: &view.View{}, void: true}
}

// next returns the next renewal.
func (h *holder) next(now time.Duration) *wire.Renewal {
	h.dropIfCutOff(now)
	h.sequence++
	r := &wire.Renewal{
		Instance: h.self, Boot: h.boot, Sequence: h.sequence,
		Version: h.version, Revision: h.view.Revision,
		Session: h.session, GrantSequence: h.grantSequence, Answered: h.applied,
		Reset: h.void,
	}
	if h.view.Catalog != nil {
		r.Catalog = h.view.Catalog.Position
		if h.compare {
			r.CatalogBuckets = h.view.Catalog.Buckets()
		}
	}
	r.CostPosition = h.view.DearAt
	if h.report {
		r.Reported = true
		r.Held = h.held()
	}
	return r
}

// dropIfCutOff gives up all grants once the instance has been cut off.
func (h *holder) dropIfCutOff(now time.Duration) {
	if h.times.state(now) == view.LeaseCutOff && !h.void {
		h.void = true
		h.session, h.grantSequence, h.report = 0, 0, false
		h.setGrants(nil)
	}
}

func (h *holder) held() []grant.Entry {
	held := make([]grant.Entry, 0, len(h.view.Grants))
	for t, g := range h.view.Grants {
		held = append(held, grant.Entry{Target: t, Grant: g})
	}
	return held
}

// take applies the reply to a renewal that was sent at the given time. It
// reports whether the view changed. A reply to an older renewal than the newest
// one that was answered changes nothing, and nor does one to an older renewal
// than the newest one that was sent while the holder has no grants.
func (h *holder) take(now, sent time.Duration, r *wire.RenewalReply) bool {
	before := h.view
	wasVoid := h.void
	h.dropIfCutOff(now)
	if r.Sequence <= h.applied || r.Sequence > h.sequence || wasVoid && r.Sequence != h.sequence {
		return h.view != before
	}
	h.applied = r.Sequence
	if h.void && !wasVoid {
		return true
	}
	if !r.Challenge {
		h.times.until = max(h.times.until, sent+h.duration)
		h.times.graceUntil = h.times.until + h.grace
		h.void = false
	}
	h.takeGrants(r)
	h.takeDelta(r.Delta)
	h.takeCatalog(r.Catalog)
	h.takeDear(r.CostHints)
	return h.view != before
}

// takeDelta follows the configuration. A holder that kept a table which the
// group does not have asks for the whole.
func (h *holder) takeDelta(d *state.Delta) {
	if d == nil || !d.Whole() && d.From != h.version || d.To < h.version {
		return
	}
	next, ok := merge(h.view, d)
	if !ok {
		h.version = 0
		return
	}
	h.view, h.version, h.membership = next, d.To, d.Membership
}

// takeGrants follows the leader's record of what this instance holds.
func (h *holder) takeGrants(r *wire.RenewalReply) {
	if r.Session != h.session {
		h.session, h.grantSequence = r.Session, 0
		if !r.Report {
			h.setGrants(nil)
		}
	}
	h.report = r.Report
	if r.Grants == nil || r.Grants.Sequence != h.grantSequence+1 {
		return
	}
	h.grantSequence = r.Grants.Sequence
	grants := maps.Clone(h.view.Grants)
	if grants == nil {
		grants = make(map[model.TargetID]view.Grant, len(r.Grants.Changes))
	}
	for _, e := range r.Grants.Changes {
		if e.Grant == (view.Grant{}) {
			delete(grants, e.Target)
		} else {
			grants[e.Target] = e.Grant
		}
	}
	h.setGrants(grants)
}

func (h *holder) takeCatalog(d *catalog.Delta) {
	h.compare = d != nil && d.Compare
	if d == nil || d.Compare {
		return
	}
	next := *h.view
	next.Catalog = h.view.Catalog.Apply(d)
	h.view = &next
}

func (h *holder) takeDear(hints *catalog.Hints) {
	if hints == nil {
		return
	}
	next := *h.view
	next.DearAt = hints.To
	next.Dear = hints.Apply(h.view.Dear)
	h.view = &next
}

func (h *holder) setGrants(grants map[model.TargetID]view.Grant) {
	next := *h.view
	next.Grants = grants
	h.view = &next
}

// answer is what one instance said about its lease.
type answer struct {
	reached bool
	// lost is set if it held a lease that has run out.
	lost bool
	// membership is the version of the set of instances that it knows.
	membership uint64
}

// answer is what this instance tells those who ask.
func (h *holder) answer(now time.Duration) answer {
	s := h.times.state(now)
	return answer{
		reached: true, lost: s == view.LeaseControlLost || s == view.LeaseCutOff, membership: h.membership,
	}
}

// poll is what the known instances said about their leases.
type poll struct {
	// asked is when the first of them was asked.
	asked time.Duration
	// membership is the version of the set of instances that was asked.
	membership uint64
	// known, reached and without count the known instances, those that
	// answered, and those that have lost their lease, this one included.
	known, reached, without int
}

func (h *holder) newPoll(now time.Duration) poll {
	return poll{asked: now, membership: h.membership, known: len(h.view.Instances)}
}

// count adds an answer. An instance that knows a newer set had a lease after
// this one lost its own, so it proves nothing about the majority of this set.
func (p *poll) count(a answer) {
	if a.reached {
		p.reached++
	}
	if a.lost && a.membership <= p.membership {
		p.without++
	}
}

// lost reports whether a majority of the known instances has lost its lease.
func (p poll) lost() bool { return 2*p.without > p.known }

// takePoll notes a finding that control is lost. It holds for one lease time.
// A holder that was cut off stays so: it may have missed changes by then.
func (h *holder) takePoll(now time.Duration, p poll) {
	if p.lost() && h.times.state(now) != view.LeaseCutOff {
		h.times.controlLostUntil = max(h.times.controlLostUntil, p.asked+h.duration)
	}
}

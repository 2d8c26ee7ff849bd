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

// leaseTimes are the times that determine the state of the lease, on the monotonic
// clock. They are immutable and shared with readers.
type leaseTimes struct {
	// expiresAt is when the lease expires; 0 means that none was held yet.
	expiresAt time.Duration
	// graceUntil is when queries stop unless control was found to be lost.
	graceUntil time.Duration
	// controlLostUntil is until when the last finding that control is lost applies.
	controlLostUntil time.Duration
	// returned is set once the lease was returned.
	returned bool
}

// state returns the state of the lease at a given time.
func (t *leaseTimes) state(now time.Duration) view.LeaseState {
	switch {
	case t.returned, t.expiresAt == 0:
		return view.LeaseNone
	case now < t.expiresAt:
		return view.LeaseHeld
	case now < max(t.graceUntil, t.controlLostUntil):
		return view.LeaseControlLost
	default:
		return view.LeaseCutOff
	}
}

// holder is the instance's side of a lease. It does no I/O and is not safe for
// concurrent use.
type holder struct {
	self     model.Instance
	boot     string
	duration time.Duration
	grace    time.Duration

	times   leaseTimes
	view    *view.View
	version uint64
	// membership is the version of the set of instances in the view.
	membership uint64
	sequence   uint64
	// appliedSequence is the sequence of the newest renewal whose reply was applied.
	appliedSequence uint64

	session       uint64
	grantSequence uint64
	// sendHoldings is set while the leader asks for the holdings.
	sendHoldings bool
	// sendBuckets is set while the leader asks for the bucket digests of the catalog.
	sendBuckets bool
	// noGrants is set while the holder certainly holds no grants: at the start, and
	// after it was cut off, when its grants may have been given to others.
	noGrants bool
}

func newHolder(self model.Instance, boot string, duration, grace time.Duration) *holder {
	return &holder{self: self, boot: boot, duration: duration, grace: grace, view: &view.View{}, noGrants: true}
}

// nextRenewal returns the next renewal.
func (h *holder) nextRenewal(now time.Duration) *wire.Renewal {
	h.dropGrantsIfCutOff(now)
	h.sequence++
	r := &wire.Renewal{
		Instance: h.self, Boot: h.boot, Sequence: h.sequence,
		Version: h.version, Revision: h.view.Revision,
		Session: h.session, GrantSequence: h.grantSequence, Answered: h.appliedSequence,
		Reset: h.noGrants,
	}
	if h.view.Catalog != nil {
		r.Catalog = h.view.Catalog.Position
		if h.sendBuckets {
			r.CatalogBuckets = h.view.Catalog.Buckets()
		}
	}
	r.CostPosition = h.view.CostPosition
	if h.sendHoldings {
		r.Reported = true
		r.Held = h.heldGrants()
	}
	return r
}

// dropGrantsIfCutOff drops all grants once the instance has been cut off.
func (h *holder) dropGrantsIfCutOff(now time.Duration) {
	if h.times.state(now) == view.LeaseCutOff && !h.noGrants {
		h.noGrants = true
		h.session, h.grantSequence, h.sendHoldings = 0, 0, false
		h.setGrants(nil)
	}
}

func (h *holder) heldGrants() []grant.Entry {
	held := make([]grant.Entry, 0, len(h.view.Grants))
	for t, g := range h.view.Grants {
		held = append(held, grant.Entry{Target: t, Grant: g})
	}
	return held
}

// applyReply applies the reply to a renewal that was sent at the given time and
// reports whether the view changed. Replies that are not newer than the last one
// applied are ignored. While the holder has no grants, so are replies to any
// renewal but the newest one.
func (h *holder) applyReply(now, sent time.Duration, r *wire.RenewalReply) bool {
	before := h.view
	hadNoGrants := h.noGrants
	h.dropGrantsIfCutOff(now)
	if r.Sequence <= h.appliedSequence || r.Sequence > h.sequence || hadNoGrants && r.Sequence != h.sequence {
		return h.view != before
	}
	h.appliedSequence = r.Sequence
	if h.noGrants && !hadNoGrants {
		return true
	}
	if !r.Challenge {
		h.times.expiresAt = max(h.times.expiresAt, sent+h.duration)
		h.times.graceUntil = h.times.expiresAt + h.grace
		h.noGrants = false
	}
	h.applyGrants(r)
	h.applyDelta(r.Delta)
	h.applyCatalog(r.Catalog)
	h.applyHints(r.CostHints)
	return h.view != before
}

// applyDelta applies a change of the configuration. If the change builds on a
// table other than the one held, the holder asks for the full configuration.
func (h *holder) applyDelta(d *state.Delta) {
	if d == nil || !d.IsFull() && d.From != h.version || d.To < h.version {
		return
	}
	next, ok := merge(h.view, d)
	if !ok {
		h.version = 0
		return
	}
	h.view, h.version, h.membership = next, d.To, d.InstancesVersion
}

// applyGrants applies the leader's record of what this instance holds.
func (h *holder) applyGrants(r *wire.RenewalReply) {
	if r.Session != h.session {
		h.session, h.grantSequence = r.Session, 0
		if !r.Report {
			h.setGrants(nil)
		}
	}
	h.sendHoldings = r.Report
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

func (h *holder) applyCatalog(d *catalog.Delta) {
	h.sendBuckets = d != nil && d.NeedBuckets
	if d == nil || d.NeedBuckets {
		return
	}
	next := *h.view
	next.Catalog = h.view.Catalog.Apply(d)
	h.view = &next
}

func (h *holder) applyHints(hints *catalog.HintDelta) {
	if hints == nil {
		return
	}
	next := *h.view
	next.CostPosition = hints.To
	next.ExpensiveTargets = hints.Apply(h.view.ExpensiveTargets)
	h.view = &next
}

func (h *holder) setGrants(grants map[model.TargetID]view.Grant) {
	next := *h.view
	next.Grants = grants
	h.view = &next
}

// leaseAnswer is what one instance reported about its lease.
type leaseAnswer struct {
	reached bool
	// lost is set if it held a lease that has expired.
	lost bool
	// membership is the version of the set of instances that it knows.
	membership uint64
}

// pollAnswer returns this instance's answer to a poll.
func (h *holder) pollAnswer(now time.Duration) leaseAnswer {
	s := h.times.state(now)
	return leaseAnswer{
		reached: true, lost: s == view.LeaseControlLost || s == view.LeaseCutOff, membership: h.membership,
	}
}

// leasePoll summarises what the known instances reported about their leases.
type leasePoll struct {
	// asked is when the poll started.
	asked time.Duration
	// membership is the version of the set of instances that was polled.
	membership uint64
	// known, reached and withoutLease count the known instances, those that
	// answered, and those that have lost their lease, this one included.
	known, reached, withoutLease int
}

func (h *holder) newPoll(now time.Duration) leasePoll {
	return leasePoll{asked: now, membership: h.membership, known: len(h.view.Instances)}
}

// add counts an answer. An instance that knows a newer set had a lease after this
// one lost its own, so it proves nothing about the majority of this set.
func (p *leasePoll) add(a leaseAnswer) {
	if a.reached {
		p.reached++
	}
	if a.lost && a.membership <= p.membership {
		p.withoutLease++
	}
}

// controlLost reports whether a majority of the known instances has lost its lease.
func (p leasePoll) controlLost() bool { return 2*p.withoutLease > p.known }

// applyPoll records a finding that control is lost. It is valid for one lease
// duration. A holder that was cut off stays so, since it may have missed changes.
func (h *holder) applyPoll(now time.Duration, p leasePoll) {
	if p.controlLost() && h.times.state(now) != view.LeaseCutOff {
		h.times.controlLostUntil = max(h.times.controlLostUntil, p.asked+h.duration)
	}
}

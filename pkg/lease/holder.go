package lease

import (
	"maps"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
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

// holder is the instance's side of a lease; the leader's side is in granter, table and
// package grant. It does no I/O and is not safe for concurrent use.
type holder struct {
	self     model.Instance
	boot     string
	duration time.Duration
	grace    time.Duration

	times leaseTimes
	view  *view.View
	// configVersion is the version of the configuration in the view: a log index, see
	// state.Delta. 0 asks the leader for the full configuration.
	configVersion uint64
	// instancesVersion is the version of the set of instances in the view; see
	// state.Delta.InstancesVersion.
	instancesVersion uint64
	sequence         uint64
	// appliedSequence is the sequence of the newest renewal whose reply was applied.
	appliedSequence uint64

	// session is the number of the session in which the leader numbers the changes of
	// this instance's grants, and grantSequence is the newest change applied. A new
	// session starts at 0 again; see granter.session.
	session       uint64
	grantSequence uint64
	// sendHoldings is set while the leader asks for the holdings.
	sendHoldings bool
	// sendBuckets is set while the leader asks for the bucket digests of the catalog.
	sendBuckets bool
	// noGrants is set while the holder certainly holds no grants: at the start, and
	// after it was cut off, when its grants may have been given to others. Renewals
	// then set Reset, which asks for a new session.
	noGrants bool
	// refusedTargets logs targets from the leader that cannot be used.
	refusedTargets *events.ErrorLog
}

func newHolder(self model.Instance, boot string, duration, grace time.Duration) *holder {
	return &holder{
		self: self, boot: boot, duration: duration, grace: grace, view: &view.View{}, noGrants: true,
		refusedTargets: events.NewErrorLog(events.PlatformEntryInvalid),
	}
}

// nextRenewal returns the next renewal.
func (h *holder) nextRenewal(now time.Duration) *wire.Renewal {
	h.dropGrantsIfCutOff(now)
	h.sequence++
	r := &wire.Renewal{
		Instance: h.self, Boot: h.boot, Sequence: h.sequence,
		Version: h.configVersion, Revision: h.view.Revision,
		Session: h.session, GrantSequence: h.grantSequence, Answered: h.appliedSequence,
		Reset: h.noGrants,
	}
	if h.view.Catalog != nil {
		r.Catalog = h.view.Catalog.Position
		if h.sendBuckets {
			r.CatalogBuckets = h.view.Catalog.BucketDigests()
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
// renewal but the newest one. A reply that arrives after the holder was cut off is
// recorded as received but not applied.
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
// routing table other than the one held, the holder asks for the full configuration.
func (h *holder) applyDelta(d *state.Delta) {
	if d == nil || !d.IsFull() && d.From != h.configVersion || d.To < h.configVersion {
		return
	}
	next, ok := merge(h.view, d)
	if !ok {
		h.configVersion = 0
		return
	}
	h.view, h.configVersion, h.instancesVersion = next, d.To, d.InstancesVersion
}

// applyGrants applies the changes of grants that the leader sends. In a new session,
// the holder keeps its grants if the leader asks for a report of them (r.Report), and
// drops them otherwise.
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
	targets, refused := h.view.Catalog.Apply(d)
	h.refusedTargets.Add(refused...)
	next := *h.view
	next.Catalog = targets
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

// applyRestarts applies what the leader knows of restarted processes, and reports whether
// the view changed.
func (h *holder) applyRestarts(now time.Time, r *wire.Restarts) bool {
	var restarts view.Restarts
	if r != nil {
		restarts = view.Restarts{Share: r.Share, Until: now.Add(r.Left)}
	}
	if h.view.Restarts == restarts {
		return false
	}
	next := *h.view
	next.Restarts = restarts
	h.view = &next
	return true
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
	// instancesVersion is the version of the set of instances that it knows.
	instancesVersion uint64
}

// pollAnswer returns this instance's answer to a poll.
func (h *holder) pollAnswer(now time.Duration) leaseAnswer {
	s := h.times.state(now)
	return leaseAnswer{
		reached: true, lost: s == view.LeaseControlLost || s == view.LeaseCutOff, instancesVersion: h.instancesVersion,
	}
}

// leasePoll summarises what the known instances reported about their leases.
type leasePoll struct {
	// asked is when the poll started.
	asked time.Duration
	// instancesVersion is the version of the set of instances that was polled.
	instancesVersion uint64
	// known, reached and withoutLease count the known instances, those that
	// answered, and those that have lost their lease, this one included.
	known, reached, withoutLease int
}

func (h *holder) newPoll(now time.Duration) leasePoll {
	return leasePoll{asked: now, instancesVersion: h.instancesVersion, known: len(h.view.Instances)}
}

// add counts an answer. Only answers that refer to the same or an older set of
// instances count as without a lease: an instance that knows a newer set had a lease
// after this one lost its own, so control still worked then, and the answer proves
// nothing about a majority of the polled set.
func (p *leasePoll) add(a leaseAnswer) {
	if a.reached {
		p.reached++
	}
	if a.lost && a.instancesVersion <= p.instancesVersion {
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

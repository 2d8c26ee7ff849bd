// Package granter is the leader's side of renewals: it combines the table of
// leases with the ledger of grants. It does no I/O: the caller passes the time on
// its monotonic clock and serialises the calls.
package granter

import (
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/lease/table"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// sessionBits is the number of low bits of a session number that count the
// sessions of one term; the term is stored above them.
const sessionBits = 32

// Granter grants leases and shares of targets for one term of a leader.
type Granter struct {
	self     model.InstanceID
	term     uint64
	table    *table.Table
	ledger   *grant.Ledger
	sessions map[model.InstanceID]*session
	// challenges are the sessions offered to holders that start with no grants.
	challenges map[model.InstanceID]*session
	// sessionCount counts the sessions of this term.
	sessionCount uint64
	// onAllReported is called once, when all holdings are known and before any grows.
	onAllReported func()
	allReported   bool
}

// session covers the grants of an instance since it last had none, or since this
// leader first heard from it.
type session struct {
	number uint64
	boot   string
	// evidenceSequence is the sequence of the newest evidence that was accepted.
	evidenceSequence uint64
}

// New returns the Granter of a leader whose term starts now. Each known instance
// may use a lease from a previous leader for lifetime from now; a lease lasts for
// duration on the holder's clock.
func New(self model.InstanceID, term uint64, now, duration, lifetime time.Duration, known []table.KnownInstance) *Granter {
	g := &Granter{
		self: self, term: term,
		table: table.New(now, duration, lifetime, known), ledger: grant.NewLedger(),
		sessions:   make(map[model.InstanceID]*session),
		challenges: make(map[model.InstanceID]*session),
	}
	for _, k := range known {
		g.ledger.AddUnreported(k.Instance)
	}
	g.ledger.Rebalance()
	return g
}

// OnAllReported sets a function that is called once, when the holdings of every
// instance from earlier leaders are known and before any share grows.
func (g *Granter) OnAllReported(f func()) { g.onAllReported = f }

func (g *Granter) checkAllReported() {
	if g.allReported || !g.ledger.AllReported() {
		return
	}
	g.allReported = true
	if g.onAllReported != nil {
		g.onAllReported()
	}
}

// Renew grants or extends a lease. The reply does not contain the changes of the
// configuration.
func (g *Granter) Renew(now time.Duration, r *wire.Renewal) (*wire.RenewalReply, error) {
	id := r.Instance.ID
	if !g.admit(r) {
		return g.challenge(r), nil
	}
	outcome := g.table.Renew(now, table.Renewal{
		Instance: id, Boot: r.Boot, Sequence: r.Sequence, Answered: r.Answered, Revision: r.Revision,
	})
	switch {
	case outcome == table.Stale:
		return nil, failure.New(failure.Conflict, failure.NotRun, "renew", string(id), "a newer renewal was already processed")
	case r.Reset, outcome == table.WithoutGrants:
		g.ledger.Join(id)
		g.startSession(id, r.Boot)
	case outcome == table.FirstContact:
		g.startSession(id, r.Boot)
	}
	s := g.sessions[id]
	if s.number == r.Session {
		g.applyAcknowledgement(id, r)
	}
	g.checkAllReported()
	return &wire.RenewalReply{
		Leader: g.self, Sequence: r.Sequence, Session: s.number,
		Report: g.ledger.Unreported(id), Grants: g.ledger.NextDelta(id),
	}, nil
}

// admit reports whether the renewal continues the instance's lease or answers a
// challenge. A renewal that starts with no grants may be a delayed one of a process
// that has ended or has renewed since. Only the answer to a challenge proves that
// the process is alive and holds nothing.
func (g *Granter) admit(r *wire.Renewal) bool {
	boot, ok := g.table.Boot(r.Instance.ID)
	if !r.Reset && (!ok || boot == r.Boot) {
		return true
	}
	offered := g.challenges[r.Instance.ID]
	return offered != nil && offered.boot == r.Boot && offered.number == r.Session && r.Reset
}

func (g *Granter) challenge(r *wire.Renewal) *wire.RenewalReply {
	offered := g.challenges[r.Instance.ID]
	if offered == nil || offered.boot != r.Boot {
		offered = g.newSession(r.Boot)
		g.challenges[r.Instance.ID] = offered
	}
	return &wire.RenewalReply{Leader: g.self, Sequence: r.Sequence, Session: offered.number, Challenge: true}
}

func (g *Granter) newSession(boot string) *session {
	g.sessionCount++
	return &session{number: g.term<<sessionBits | g.sessionCount, boot: boot}
}

func (g *Granter) startSession(id model.InstanceID, boot string) {
	delete(g.challenges, id)
	s := g.newSession(boot)
	if old := g.sessions[id]; old != nil && old.boot == boot {
		s.evidenceSequence = old.evidenceSequence
	}
	g.sessions[id] = s
}

func (g *Granter) applyAcknowledgement(id model.InstanceID, r *wire.Renewal) {
	if !g.ledger.Unreported(id) {
		g.ledger.Acknowledge(id, r.GrantSequence)
		return
	}
	if !r.Reported {
		return
	}
	held := make(map[model.TargetID]view.Grant, len(r.Held))
	for _, e := range r.Held {
		held[e.Target] = e.Grant
	}
	g.ledger.SetReported(id, held)
}

// Return ends the lease of a process that returned it with wire.Release, and reports
// whether it did. The release of a process that this leader has not heard from may be a
// delayed one, while a later process of the instance holds the lease; such a lease ends
// when it expires.
func (g *Granter) Return(now time.Duration, id model.InstanceID, boot string) bool {
	if s := g.sessions[id]; s == nil || s.boot != boot {
		return false
	}
	g.table.Return(now, id)
	g.ledger.Remove(id)
	delete(g.sessions, id)
	return true
}

// Tick frees the shares of leases that have certainly ended, returns their holders,
// and rebalances the shares among the remaining holders.
func (g *Granter) Tick(now time.Duration) []model.InstanceID {
	ended := g.endExpired(now)
	g.ledger.Rebalance()
	return ended
}

func (g *Granter) endExpired(now time.Duration) []model.InstanceID {
	ended := g.table.EndExpired(now)
	for _, id := range ended {
		g.ledger.Remove(id)
	}
	return ended
}

// Forget removes instances whose leases have certainly ended.
func (g *Granter) Forget(now time.Duration, ids []model.InstanceID) {
	for _, id := range ids {
		g.table.Forget(now, id)
		delete(g.sessions, id)
		delete(g.challenges, id)
	}
}

// SetLimits replaces the limits of all targets.
func (g *Granter) SetLimits(limits map[model.TargetID]grant.Limit) { g.ledger.SetLimits(limits) }

// MaxHeld returns the upper bound of what instances hold of a target.
func (g *Granter) MaxHeld(id model.TargetID) view.Grant { return g.ledger.MaxHeld(id) }

// Ended returns the instances whose leases have certainly ended.
func (g *Granter) Ended() []model.InstanceID { return g.table.Ended() }

// InForce returns who has acknowledged a revision and who may use an older one.
func (g *Granter) InForce(now time.Duration, r model.Revision) (acknowledged, missing []model.InstanceID) {
	g.endExpired(now)
	return g.table.InForce(r)
}

// Leases returns the leases that may still be in use.
func (g *Granter) Leases(now time.Duration) []table.Lease { return g.table.Leases(now) }

// Boot returns the process that holds the instance's lease, if this leader has heard from
// it.
func (g *Granter) Boot(id model.InstanceID) (string, bool) { return g.table.Boot(id) }

// AcceptEvidence reports whether the evidence of a renewal is new and records it as
// accepted. Renewals may arrive more than once.
func (g *Granter) AcceptEvidence(r *wire.Renewal) bool {
	s := g.sessions[r.Instance.ID]
	if s == nil || s.boot != r.Boot || r.EvidenceSequence <= s.evidenceSequence {
		return false
	}
	s.evidenceSequence = r.EvidenceSequence
	return true
}

// Package granter is the leader's side of renewals: it joins the table of
// leases with the ledger of grants. It is pure: the caller passes the time on
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

// sessionBits leaves room for the sessions of one term below the term.
const sessionBits = 32

// Granter grants leases and shares of targets for one term of a leader.
type Granter struct {
	self     model.InstanceID
	term     uint64
	table    *table.Table
	ledger   *grant.Ledger
	sessions map[model.InstanceID]*session
	// challenges are sessions offered to holders that start anew.
	challenges map[model.InstanceID]*session
	// numbered counts the sessions of this term.
	numbered uint64
	// onSettled is called once, when all holdings are known and before any grows.
	onSettled func()
	settled   bool
}

// session is what an instance was granted since it had nothing, or since this
// leader heard of it first.
type session struct {
	number uint64
	boot   string
	// evidence is the sequence of the newest evidence that was taken.
	evidence uint64
}

// New returns the Granter of a leader that takes office now. Each known
// instance may use a lease from a predecessor for runOut from now; a lease lasts
// for duration on the holder's clock.
func New(self model.InstanceID, term uint64, now, duration, runOut time.Duration, known []table.Known) *Granter {
	g := &Granter{
		self: self, term: term,
		table: table.New(now, duration, runOut, known), ledger: grant.NewLedger(),
		sessions:   make(map[model.InstanceID]*session),
		challenges: make(map[model.InstanceID]*session),
	}
	for _, k := range known {
		g.ledger.Assume(k.Instance)
	}
	g.ledger.Rebalance()
	return g
}

// OnSettled sets a function that is called once, when it is known what every
// instance holds from earlier leaders and before any share grows.
func (g *Granter) OnSettled(f func()) { g.onSettled = f }

func (g *Granter) settle() {
	if g.settled || !g.ledger.Settled() {
		return
	}
	g.settled = true
	if g.onSettled != nil {
		g.onSettled()
	}
}

// Renew grants a lease or more time on it. The reply lacks the changes of the
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
		return nil, failure.New(failure.Conflict, failure.NotRun, "renew", string(id), "a newer renewal was taken before")
	case r.Reset, outcome == table.Fresh:
		g.ledger.Join(id)
		g.startSession(id, r.Boot)
	case outcome == table.First:
		g.startSession(id, r.Boot)
	}
	s := g.sessions[id]
	if s.number == r.Session {
		g.acknowledge(id, r)
	}
	g.settle()
	return &wire.RenewalReply{
		Leader: g.self, Sequence: r.Sequence, Session: s.number,
		Report: g.ledger.Unknown(id), Grants: g.ledger.Offer(id),
	}, nil
}

// admit reports whether the renewal goes on with the instance's lease, or
// starts anew in answer to a challenge. A renewal that starts anew may be a
// delayed one of a process that has ended or has gone on since. Only the answer
// to a challenge proves that the process lives and holds nothing.
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
	g.numbered++
	return &session{number: g.term<<sessionBits | g.numbered, boot: boot}
}

func (g *Granter) startSession(id model.InstanceID, boot string) {
	delete(g.challenges, id)
	s := g.newSession(boot)
	if old := g.sessions[id]; old != nil && old.boot == boot {
		s.evidence = old.evidence
	}
	g.sessions[id] = s
}

func (g *Granter) acknowledge(id model.InstanceID, r *wire.Renewal) {
	if !g.ledger.Unknown(id) {
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
	g.ledger.Adopt(id, held)
}

// Return ends the lease of a process that handed it back.
func (g *Granter) Return(now time.Duration, id model.InstanceID, boot string) {
	if s := g.sessions[id]; s != nil && s.boot != boot {
		return
	}
	g.table.Return(now, id)
	g.ledger.Drop(id)
	delete(g.sessions, id)
}

// Tick frees the shares of leases that have surely ended, returns their
// holders, and shares the targets out over the present holders.
func (g *Granter) Tick(now time.Duration) []model.InstanceID {
	released := g.release(now)
	g.ledger.Rebalance()
	return released
}

func (g *Granter) release(now time.Duration) []model.InstanceID {
	released := g.table.Release(now)
	for _, id := range released {
		g.ledger.Drop(id)
	}
	return released
}

// Forget removes instances whose leases have surely ended.
func (g *Granter) Forget(now time.Duration, ids []model.InstanceID) {
	for _, id := range ids {
		g.table.Forget(now, id)
		delete(g.sessions, id)
		delete(g.challenges, id)
	}
}

// SetLimits replaces what all targets bear.
func (g *Granter) SetLimits(limits map[model.TargetID]grant.Limit) { g.ledger.SetLimits(limits) }

// Held returns the most that instances may believe to hold of a target.
func (g *Granter) Held(id model.TargetID) view.Grant { return g.ledger.Held(id) }

// Released returns the instances whose leases have surely ended.
func (g *Granter) Released() []model.InstanceID { return g.table.Released() }

// InForce returns who has acknowledged a revision and who may use an older one.
func (g *Granter) InForce(now time.Duration, r model.Revision) (acknowledged, missing []model.InstanceID) {
	g.release(now)
	return g.table.InForce(r)
}

// Leases returns the leases that may be alive.
func (g *Granter) Leases(now time.Duration) []table.Lease { return g.table.Leases(now) }

// TakeEvidence reports whether the evidence of a renewal was not taken yet, and
// notes that it is now. Renewals may arrive more than once.
func (g *Granter) TakeEvidence(r *wire.Renewal) bool {
	s := g.sessions[r.Instance.ID]
	if s == nil || s.boot != r.Boot || r.EvidenceSequence <= s.evidence {
		return false
	}
	s.evidence = r.EvidenceSequence
	return true
}

package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/lease/table"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// session is one term of this instance as leader.
type session struct {
	*Server
	term uint64
	// started and clock are the leader's monotonic clock and the age of the
	// group when the session began.
	started time.Duration
	clock   time.Duration

	lock    sync.Mutex
	table   *table.Table
	ledger  *grant.Ledger
	warmth  *grant.Warmth
	holders map[model.InstanceID]*holder
	// numbered counts the grant sessions of this term.
	numbered uint64
	// list is the platform's list that the limits were taken from.
	list    *platform.List
	batches *batcher
}

// holder is what the session keeps for an instance besides its lease.
type holder struct {
	session uint64
	// evidence is the sequence of the newest evidence that was taken.
	evidence uint64
	boot     string
}

func newSession(s *Server, term uint64) *session {
	n := &session{
		Server: s, term: term, started: s.now(),
		ledger: grant.NewLedger(), warmth: grant.NewWarmth(),
		holders: make(map[model.InstanceID]*holder),
	}
	var known []model.InstanceID
	s.machine.Read(func(st *state.State) {
		n.clock = st.Clock()
		for id := range st.Instances() {
			known = append(known, id)
		}
	})
	n.table = table.New(n.started, s.runOut(), known)
	for _, id := range known {
		n.ledger.Assume(id)
	}
	n.batches = newBatcher(n)
	n.refreshLimits()
	return n
}

// propose carries out a command and turns a refusal into an error.
func (n *session) propose(ctx context.Context, step string, c *state.Command) (*state.Result, error) {
	c.Clock = n.clock + n.now() - n.started
	b, err := c.Encode()
	if err != nil {
		return nil, failure.New(failure.Internal, failure.NotRun, step, "", "%w", err)
	}
	raw, err := n.proposer.Propose(ctx, b)
	if err != nil {
		return nil, err
	}
	result, err := state.DecodeResult(raw)
	if err != nil {
		return nil, failure.New(failure.Internal, failure.Unknown, step, "", "%w", err)
	}
	if result.Refusal != nil {
		return nil, failure.New(result.Refusal.Code, failure.NotRun, step, "", "%s", result.Refusal.Message)
	}
	return result, nil
}

// renew grants a lease or more time on it.
func (n *session) renew(ctx context.Context, r *wire.Renewal) (*wire.RenewalReply, error) {
	if err := n.register(ctx, r.Instance); err != nil {
		return nil, err
	}
	if err := n.takeEvidence(ctx, r); err != nil {
		return nil, err
	}
	reply, err := n.extend(r)
	if err != nil {
		return nil, err
	}
	n.machine.Read(func(s *state.State) { reply.Delta = s.Delta(r.Version) })
	return reply, nil
}

// register records an instance in the replicated state before its first lease,
// so that a later leader knows that the lease may exist.
func (n *session) register(ctx context.Context, i model.Instance) error {
	known := false
	n.machine.Read(func(s *state.State) { known = s.Knows(i) })
	if known {
		return nil
	}
	_, err := n.propose(ctx, "register instance", &state.Command{PutInstance: &state.PutInstance{Instance: i}})
	return err
}

// extend takes the renewal into the table and works out the grants.
func (n *session) extend(r *wire.Renewal) (*wire.RenewalReply, error) {
	id := r.Instance.ID
	n.lock.Lock()
	defer n.lock.Unlock()
	outcome := n.table.Renew(n.now(), table.Renewal{
		Instance: id, Boot: r.Boot, Sequence: r.Sequence, Version: r.Version, Revision: r.Revision,
	})
	switch outcome {
	case table.Stale:
		return nil, failure.New(failure.Conflict, failure.NotRun, "renew", string(id), "a newer renewal was taken before")
	case table.Fresh:
		n.ledger.Join(id)
		n.startSession(id, r)
	case table.First:
		n.startSession(id, r)
	}
	h := n.holders[id]
	if h.session == r.Session {
		n.acknowledge(id, r)
	}
	return &wire.RenewalReply{
		Leader: n.mesh.Self(), Sequence: r.Sequence, Session: h.session,
		Report: n.ledger.Unknown(id), Grants: n.ledger.Offer(id),
	}, nil
}

func (n *session) startSession(id model.InstanceID, r *wire.Renewal) {
	n.numbered++
	h := &holder{session: n.term<<sessionBits | n.numbered, boot: r.Boot}
	if old := n.holders[id]; old != nil && old.boot == r.Boot {
		h.evidence = old.evidence
	}
	n.holders[id] = h
}

// sessionBits leaves room for the sessions of one term below the term.
const sessionBits = 32

func (n *session) acknowledge(id model.InstanceID, r *wire.Renewal) {
	if !n.ledger.Unknown(id) {
		n.ledger.Acknowledge(id, r.GrantSequence)
		return
	}
	if !r.Reported {
		return
	}
	held := make(map[model.TargetID]view.Grant, len(r.Held))
	for _, e := range r.Held {
		held[e.Target] = e.Grant
	}
	n.ledger.Adopt(id, held)
	n.assumeWarmth(held)
}

// returned ends a lease that was handed back.
func (n *session) returned(ctx context.Context, r *wire.Return) (*wire.Empty, error) {
	n.lock.Lock()
	if h := n.holders[r.Instance]; h == nil || h.boot == r.Boot {
		n.table.Return(n.now(), r.Instance)
		n.ledger.Drop(r.Instance)
		delete(n.holders, r.Instance)
	}
	n.lock.Unlock()
	_, err := n.propose(ctx, "forget instance", &state.Command{Forget: &state.Forget{Instances: []model.InstanceID{r.Instance}}})
	return &wire.Empty{}, err
}

// tick releases leases that have run out and follows the platform's list.
func (n *session) tick(ctx context.Context) {
	n.lock.Lock()
	n.release()
	gone := n.unlisted(n.table.Released())
	n.lock.Unlock()
	n.refreshLimits()
	if len(gone) > 0 {
		n.forget(ctx, gone)
	}
}

// release frees the shares of leases that have surely ended. The lock is held.
func (n *session) release() {
	for _, id := range n.table.Release(n.now()) {
		n.ledger.Drop(id)
		events.Emit(events.LeaseRanOut, id)
	}
}

// unlisted returns those of ids that the platform no longer lists.
func (n *session) unlisted(ids []model.InstanceID) []model.InstanceID {
	list := n.platform.List()
	if list == nil || len(list.Instances) == 0 {
		return nil
	}
	listed := make(map[model.InstanceID]bool, len(list.Instances))
	for _, i := range list.Instances {
		listed[i.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id model.InstanceID) bool { return listed[id] })
}

// forget removes released instances from the replicated state and the table.
func (n *session) forget(ctx context.Context, ids []model.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, takeOfficeTimeout)
	defer cancel()
	if _, err := n.propose(ctx, "forget instances", &state.Command{Forget: &state.Forget{Instances: ids}}); err != nil {
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, id := range ids {
		n.table.Forget(n.now(), id)
		delete(n.holders, id)
	}
}

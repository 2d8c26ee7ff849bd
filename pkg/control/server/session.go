package server

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/lease/granter"
	"radishturn.example/radishturn/pkg/lease/table"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/reconfig"
	"radishturn.example/radishturn/pkg/state"
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
	granter *granter.Granter
	warmth  *grant.WarmUp
	// settled is set once it is known what all instances hold.
	settled bool
	// list is the platform's list that the limits were taken from.
	list    *platform.List
	batches *batcher
	// offers are what instances with a disk told; changing is set while the
	// membership changes.
	offers   map[model.InstanceID]reconfig.Offer
	changing atomic.Bool
	// catalog is the list of targets that entries follow.
	catalog *catalog.Catalog
	// costs are what targets cost, as the instances together see them.
	costs *catalog.CostTracker
}

func newSession(s *Server, term uint64) *session {
	n := &session{Server: s, term: term, started: s.now(), warmth: grant.NewWarmUp(), catalog: catalog.New(term), costs: catalog.NewCostTracker(term),
		offers: make(map[model.InstanceID]reconfig.Offer)}
	var known []table.KnownInstance
	s.machine.Read(func(st *state.State) {
		n.clock = st.Clock()
		for id := range st.Instances() {
			recent := n.clock < st.JoinedAt(id)+s.runOut()
			known = append(known, table.KnownInstance{Instance: id, Recent: recent})
		}
	})
	n.granter = granter.New(s.mesh.Self(), term, n.started, s.settings.Lease.Duration.Std(), s.runOut(), known)
	n.granter.OnAllReported(n.settleWarmth)
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
	reply, err := n.extend(r)
	if err != nil {
		return nil, err
	}
	if err := n.takeEvidence(ctx, r); err != nil {
		return nil, err
	}
	renewalsServed.Inc()
	n.machine.Read(func(s *state.State) { reply.Delta = s.Delta(r.Version) })
	n.addCatalog(r, reply)
	reply.Voters = n.voters()
	return reply, nil
}

// addCatalog adds what changed in the list of targets. Holders that read the
// platform's list themselves take no notice of it.
func (n *session) addCatalog(r *wire.Renewal, reply *wire.RenewalReply) {
	if !n.settings.Instance.NamedByAddress {
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	reply.Catalog = n.catalog.Since(r.Catalog, r.CatalogBuckets)
	reply.Dear = n.costs.Since(n.now(), r.Dear)
	n.announceDear()
}

// maxNamedTargets bounds the targets that a line names.
const maxNamedTargets = 8

// announceDear writes a line on targets that became dear or are so no more.
func (n *session) announceDear() {
	changed, dear := n.costs.ChangesToLog(n.now())
	if changed == nil {
		return
	}
	var added []string
	for _, h := range changed.Expensive[:min(len(changed.Expensive), maxNamedTargets)] {
		added = append(added, fmt.Sprintf("%s:%.1f", h.Target, h.Cost))
	}
	events.Emit(events.TargetsExpensive, dear, strings.Join(added, ","), changed.Cleared[:min(len(changed.Cleared), maxNamedTargets)])
}

// register records an instance in the replicated state before its first lease,
// so that a later leader knows that the lease may exist.
func (n *session) register(ctx context.Context, i model.Instance) error {
	known := false
	n.machine.Read(func(s *state.State) { known = s.HasInstance(i) })
	if known {
		return nil
	}
	_, err := n.propose(ctx, "register instance", &state.Command{PutInstance: &state.PutInstance{Instance: i}})
	return err
}

// extend grants more time on the lease and works out the grants.
func (n *session) extend(r *wire.Renewal) (*wire.RenewalReply, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.granter.Renew(n.now(), r)
}

// returned ends a lease that was handed back.
func (n *session) returned(ctx context.Context, r *wire.Return) (*wire.Empty, error) {
	n.lock.Lock()
	n.granter.Return(n.now(), r.Instance, r.Boot)
	n.lock.Unlock()
	_, err := n.propose(ctx, "forget instance", &state.Command{RemoveInstances: &state.RemoveInstances{Instances: []model.InstanceID{r.Instance}}})
	return &wire.Empty{}, err
}

// tick releases leases that have run out and follows the platform's list.
func (n *session) tick(ctx context.Context) {
	n.lock.Lock()
	for _, id := range n.granter.Tick(n.now()) {
		leasesRanOut.Inc()
		events.Emit(events.LeaseExpired, id)
	}
	gone := n.unlisted(n.granter.Released())
	n.lock.Unlock()
	n.refreshLimits()
	n.endQuarantines(ctx)
	n.keepMembers(ctx)
	if len(gone) > 0 {
		n.forget(ctx, gone)
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
	if _, err := n.propose(ctx, "forget instances", &state.Command{RemoveInstances: &state.RemoveInstances{Instances: ids}}); err != nil {
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.granter.Forget(n.now(), ids)
}

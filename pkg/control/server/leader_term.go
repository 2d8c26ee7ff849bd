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

// leaderTerm is the state of this instance during one term as leader.
type leaderTerm struct {
	*Server
	term uint64
	// started is the time on the leader's monotonic clock, and clock the time on
	// the group clock, at the start of the term.
	started time.Duration
	clock   time.Duration

	// termMu guards the fields below, except batches and changing.
	termMu  sync.Mutex
	granter *granter.Granter
	warmth  *grant.WarmUp
	// grantsKnown is set once the grants of all instances are known.
	grantsKnown bool
	// list is the platform's list from which the limits were computed.
	list    *platform.List
	batches *batcher
	// offers are the newest offers of instances with a disk; changing is set while
	// a membership change is in progress.
	offers   map[model.InstanceID]reconfig.Offer
	changing atomic.Bool
	// nextChange is the earliest time of the next membership change.
	nextChange time.Duration
	// learnerLog spaces the events about learners that have not caught up.
	learnerLog learnerLog
	// catalog is the list of targets that the leader distributes to instances.
	catalog *catalog.Catalog
	// refusedTargets logs targets that the catalog does not take.
	refusedTargets *events.ErrorLog
	// costs holds the costs of targets, aggregated over the reports of all instances.
	costs *catalog.CostTracker
	// removing are the instances that are being removed from the replicated state.
	removing map[model.InstanceID]bool
	// lags are the instances that renew without having the newest state.
	lags lags
	// usage is nil unless usage is reported. It has its own lock.
	usage *usageTerm
}

func newLeaderTerm(s *Server, term uint64) *leaderTerm {
	n := &leaderTerm{Server: s, term: term, started: s.now(), warmth: grant.NewWarmUp(), catalog: catalog.New(term), costs: catalog.NewCostTracker(term),
		refusedTargets: events.NewErrorLog(events.PlatformEntryInvalid), offers: make(map[model.InstanceID]reconfig.Offer), lags: make(lags), learnerLog: make(learnerLog), removing: make(map[model.InstanceID]bool)}
	var known []table.KnownInstance
	s.machine.Read(func(st *state.State) {
		n.clock = st.Clock()
		for id := range st.Instances() {
			recent := n.clock < st.JoinedAt(id)+s.leaseLifetime()
			known = append(known, table.KnownInstance{Instance: id, TooNew: recent})
		}
	})
	n.granter = granter.New(s.mesh.Self(), term, n.started, s.settings.Lease.Duration.Std(), s.leaseLifetime(), known)
	n.granter.OnAllReported(n.restoreColdLoads)
	n.batches = newBatcher(n)
	n.usage = newUsageTerm(s, term)
	n.refreshLimits()
	return n
}

// propose runs a command through the replicated log and returns a refusal as an
// error.
func (n *leaderTerm) propose(ctx context.Context, step string, c *state.Command) (*state.Result, error) {
	c.Clock = n.groupClock()
	b, err := c.Encode()
	if err != nil {
		return nil, failure.New(failure.Internal, failure.NotRun, step, "", "%w", err)
	}
	raw, err := n.group.Propose(ctx, b)
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

// renew grants or extends a lease.
func (n *leaderTerm) renew(ctx context.Context, r *wire.Renewal) (*wire.RenewalReply, error) {
	if err := n.register(ctx, r.Instance); err != nil {
		return nil, err
	}
	reply, err := n.extend(r)
	if err != nil {
		return nil, err
	}
	if err := n.recordEvidence(ctx, r); err != nil {
		return nil, err
	}
	n.recordUsage(r, reply)
	renewalsServed.Inc()
	var current uint64
	n.machine.Read(func(s *state.State) { reply.Delta, current = s.Delta(r.Version), s.Version() })
	n.observeLag(r, current)
	n.addCatalog(r, reply)
	reply.Voters = n.voters()
	return reply, nil
}

// observeLag logs an instance that renews, but does not take a change.
func (n *leaderTerm) observeLag(r *wire.Renewal, current uint64) {
	n.termMu.Lock()
	version, log := n.lags.observe(r.Instance.ID, r.Version, current)
	behind := len(n.lags)
	n.termMu.Unlock()
	if log {
		events.Emit(events.InstanceBehind, r.Instance.ID, r.Version, version, behind)
	}
}

// addCatalog adds the changes of the target list and of the target costs to a
// reply. All instances share the setting NamedByAddress; without it each one reads
// the platform's list itself and does not need them.
func (n *leaderTerm) addCatalog(r *wire.Renewal, reply *wire.RenewalReply) {
	if !n.settings.Instance.NamedByAddress {
		return
	}
	n.termMu.Lock()
	defer n.termMu.Unlock()
	reply.Catalog = n.catalog.Since(r.Catalog, r.CatalogBuckets)
	reply.CostHints = n.costs.Since(n.now(), r.CostPosition)
	n.logExpensiveTargets()
}

// maxLoggedTargets bounds the targets listed in one log event.
const maxLoggedTargets = 8

// logExpensiveTargets logs the targets that became expensive, because their cost
// rose above the usual, and those whose cost returned to it.
func (n *leaderTerm) logExpensiveTargets() {
	changed, expensive := n.costs.ChangesToLog(n.now())
	if changed == nil {
		return
	}
	var added []string
	for _, h := range changed.Expensive[:min(len(changed.Expensive), maxLoggedTargets)] {
		added = append(added, fmt.Sprintf("%s:%.1f", h.Target, h.Cost))
	}
	events.Emit(events.HighCostTargetsChanged, expensive, strings.Join(added, ","), changed.Cleared[:min(len(changed.Cleared), maxLoggedTargets)])
}

// register records an instance in the replicated state before its first lease,
// so that a later leader knows that the lease may exist.
func (n *leaderTerm) register(ctx context.Context, i model.Instance) error {
	known := false
	n.machine.Read(func(s *state.State) { known = s.HasInstance(i) })
	if known {
		return nil
	}
	_, err := n.propose(ctx, "register instance", &state.Command{PutInstance: &state.PutInstance{Instance: i}})
	return err
}

// extend extends the lease and computes the grants. While the instance is being removed
// from the replicated state it gets no lease, since a later leader would not know of it.
func (n *leaderTerm) extend(r *wire.Renewal) (*wire.RenewalReply, error) {
	n.termMu.Lock()
	defer n.termMu.Unlock()
	if n.removing[r.Instance.ID] {
		return nil, failure.New(failure.Conflict, failure.NotRun, "renew", string(r.Instance.ID), "the process before is being removed")
	}
	return n.granter.Renew(n.now(), r)
}

// release ends a lease that its holder gave up before it expired. It does nothing if
// another process of the instance holds the lease.
func (n *leaderTerm) release(ctx context.Context, r *wire.Release) (*wire.Empty, error) {
	n.termMu.Lock()
	returned := n.granter.Return(n.now(), r.Instance, r.Boot)
	if returned {
		n.removing[r.Instance] = true
	}
	n.termMu.Unlock()
	if !returned {
		return &wire.Empty{}, nil
	}
	return &wire.Empty{}, n.remove(ctx, "forget instance", []model.InstanceID{r.Instance})
}

// remove removes instances, which the caller has recorded in n.removing, from the
// replicated state.
func (n *leaderTerm) remove(ctx context.Context, step string, ids []model.InstanceID) error {
	_, err := n.propose(ctx, step, &state.Command{RemoveInstances: &state.RemoveInstances{Instances: ids}})
	n.termMu.Lock()
	defer n.termMu.Unlock()
	for _, id := range ids {
		delete(n.removing, id)
	}
	return err
}

// tick expires leases, applies the platform's list, ends quarantines that are due,
// starts the next membership change, and forgets instances whose lease was released
// or has expired and which the platform no longer lists.
func (n *leaderTerm) tick(ctx context.Context) {
	n.termMu.Lock()
	for _, id := range n.granter.Tick(n.now()) {
		leasesExpired.Inc()
		events.Emit(events.LeaseExpired, id)
	}
	gone := n.unlisted(n.granter.Ended())
	for _, id := range gone {
		n.removing[id] = true
	}
	n.termMu.Unlock()
	n.refreshLimits()
	n.endQuarantines(ctx)
	n.reconcileMembers(ctx)
	if len(gone) > 0 {
		n.forget(ctx, gone)
	}
}

// unlisted returns the ids that the platform no longer lists. It returns none if
// the list is missing or has no instances.
func (n *leaderTerm) unlisted(ids []model.InstanceID) []model.InstanceID {
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

// forget removes instances without a lease from the replicated state and the lease
// table.
func (n *leaderTerm) forget(ctx context.Context, ids []model.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if err := n.remove(ctx, "forget instances", ids); err != nil {
		return
	}
	n.termMu.Lock()
	defer n.termMu.Unlock()
	n.granter.Forget(n.now(), ids)
	for _, id := range ids {
		delete(n.lags, id)
	}
}

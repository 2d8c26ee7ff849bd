package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/lease/clock"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// minRenewGap is the shortest time between renewals.
	minRenewGap = 20 * time.Millisecond
	// acknowledgePace is the longest wait before an acknowledgement of grants,
	// as a share of the interval.
	acknowledgePace = 0.5
	// renewJitter spreads the renewals of the fleet, as a share of the interval.
	renewJitter = 0.1
	// returnTimeout bounds the handing back of the lease.
	returnTimeout = 2 * time.Second
)

// Run renews the lease until ctx is done or the lease is handed back.
func (m *Module) Run(ctx context.Context) error {
	renewing, cancel := context.WithCancel(ctx)
	defer cancel()
	m.start(renewing)
	select {
	case <-ctx.Done():
	case <-m.stop:
		cancel()
		<-ctx.Done()
	}
	return nil
}

// start begins the loops, unless the lease was handed back before.
func (m *Module) start(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.renewals.Go(func() { m.renewLoop(ctx) })
	if !m.follows {
		// An instance that goes on with what it has need not ask the others.
		m.renewals.Go(func() { m.watchLoop(ctx) })
	}
}

// halt ends the loops and waits for them.
func (m *Module) halt() {
	m.mu.Lock()
	if !m.stopped {
		m.stopped = true
		close(m.stop)
	}
	m.mu.Unlock()
	m.renewals.Wait()
}

// renewLoop renews in time, and sooner when there is something to tell.
func (m *Module) renewLoop(ctx context.Context) {
	m.contact.succeeded(m.now())
	for {
		m.renew(ctx)
		interval := m.interval()
		jitter := time.Duration(renewJitter * rand.Float64() * float64(interval))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval - jitter):
		case <-m.wake:
			if !sleep(ctx, minRenewGap) {
				return
			}
		case <-m.acknowledge:
			if !sleep(ctx, m.acknowledgePace()) {
				return
			}
		}
	}
}

// eagerRenew is the interval of renewals while the instance cannot serve for
// want of a routing table or of a list of targets.
const eagerRenew = 60 * time.Millisecond

// interval returns the time until the next renewal.
func (m *Module) interval() time.Duration {
	v := m.views.View()
	if m.follows && (v.Routing == nil || v.Catalog == nil) {
		return min(eagerRenew, m.settings.Renew.Std())
	}
	return clock.Pace(m.settings, len(v.Instances))
}

// sleep waits and reports whether ctx is still not done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (m *Module) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.Duration.Std()/2)
	defer cancel()
	request := m.nextRenewal()
	sent := m.now()
	reply, err := m.call(ctx, request)
	if err != nil {
		renewalsFailed.Inc()
		events.Emit(events.RenewalFailed, err)
		if silence, lost := m.contact.failed(m.now(), m.settings.Duration.Std()); lost && m.follows {
			events.Emit(events.ControlUnreached, silence.Milliseconds(), m.views.View().Routing.Version(), err)
		}
		return
	}
	m.contact.succeeded(m.now())
	renewalsOK.Inc()
	renewalTime.Update((m.now() - sent).Seconds())
	m.router.SetReportedMembers(reply.Voters)
	m.take(sent, reply)
}

// relayEvery is how many renewals of an instance that goes on without a lease
// come to one that may use relays. When control is lost for all, each relay
// asks all members in vain.
const relayEvery = 4

func (m *Module) call(ctx context.Context, request *wire.Renewal) (*wire.RenewalReply, error) {
	if m.follows && request.Sequence%relayEvery != 0 {
		return route.CallDirect[wire.Renewal, wire.RenewalReply](ctx, m.router, wire.KindRenew, request)
	}
	return route.Call[wire.Renewal, wire.RenewalReply](ctx, m.router, wire.KindRenew, request)
}

// nextRenewal builds a renewal. Evidence that was sent without an answer is
// sent again under the same sequence.
func (m *Module) nextRenewal() *wire.Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.evidence == nil {
		if m.evidence = m.reporter.take(); m.evidence != nil {
			m.evidenceSequence++
		}
	}
	r := m.holder.next(m.now())
	r.Evidence, r.EvidenceSequence = m.evidence, m.evidenceSequence
	return r
}

func (m *Module) take(sent time.Duration, reply *wire.RenewalReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidence = nil
	held := m.times.Load().state(m.now()) == view.LeaseHeld
	old := m.holder.view
	changed := m.holder.take(m.now(), sent, reply)
	if changed {
		m.learnPeers(reply.Delta)
		m.views.Publish(m.holder.view)
	}
	m.publishTimes()
	if !held && !reply.Challenge {
		events.Emit(events.LeaseGranted, reply.Leader, m.holder.view.Revision)
	}
	if m.holder.view.Revision != old.Revision {
		events.Emit(events.RulesInForce, m.holder.view.Revision)
	}
	if m.follows {
		announceChanges(old, m.holder.view)
	}
	switch {
	case m.holder.report, m.holder.compare, reply.Challenge:
		notify(m.wake)
	case reply.Grants != nil:
		notify(m.acknowledge)
	}
}

// publishTimes gives readers the times of the lease; the lock is held.
func (m *Module) publishTimes() {
	t := m.holder.times
	m.times.Store(&t)
}

// acknowledgePace spreads the acknowledgements of grants, so that a change that
// moves the shares of many instances does not make all renew at once.
func (m *Module) acknowledgePace() time.Duration {
	pace := acknowledgePace * float64(m.interval())
	return minRenewGap + time.Duration(rand.Float64()*pace)
}

// learnPeers tells the mesh where changed instances are reached.
func (m *Module) learnPeers(d *state.Delta) {
	if d == nil {
		return
	}
	for _, i := range d.Instances {
		if i.ID != m.holder.self.ID && i.MeshAddress.IsValid() {
			m.mesh.SetPeer(i.ID, i.MeshAddress)
		}
	}
}

// watchLoop asks the others once the lease has run out, until it is held again.
func (m *Module) watchLoop(ctx context.Context) {
	last := m.Lease()
	for sleep(ctx, m.untilWatch()) {
		var p poll
		now := m.Lease()
		if now == view.LeaseControlLost || now == view.LeaseCutOff {
			p = m.poll(ctx)
			now = m.Lease()
		}
		if now != last && ctx.Err() == nil {
			announce(now, p)
		}
		last = now
	}
}

// untilWatch returns the time until the lease needs a look.
func (m *Module) untilWatch() time.Duration {
	pace := m.settings.Renew.Std() / 2
	return max(min(m.LeaseLeft(), pace), minRenewGap)
}

// poll asks all known instances whether they hold a lease.
func (m *Module) poll(ctx context.Context) poll {
	ctx, cancel := context.WithTimeout(ctx, m.settings.Renew.Std()/2)
	defer cancel()
	pollsTotal.Inc()
	m.mu.Lock()
	p := m.holder.newPoll(m.now())
	instances := m.holder.view.Instances
	m.mu.Unlock()
	answers := make(chan answer, len(instances))
	for _, i := range instances {
		go func() { answers <- m.ask(ctx, i.ID) }()
	}
	for range instances {
		p.count(<-answers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.takePoll(m.now(), p)
	m.publishTimes()
	return p
}

// ask asks an instance how it stands with its lease.
func (m *Module) ask(ctx context.Context, id model.InstanceID) answer {
	reply, err := mesh.Call[wire.Empty, wire.HoldsLeaseReply](ctx, m.mesh, id, wire.KindHoldsLease, &wire.Empty{})
	if err != nil {
		return answer{}
	}
	return answer{reached: true, lost: reply.Lost, membership: reply.Membership}
}

func announce(now view.LeaseState, p poll) {
	switch now {
	case view.LeaseControlLost:
		events.Emit(events.LeaseControlLost, p.reached, p.known)
	case view.LeaseCutOff:
		events.Emit(events.LeaseCutOff, p.reached, p.known)
	}
}

// Drain hands the lease back. Modules that need it have drained before.
func (m *Module) Drain(ctx context.Context) error {
	m.halt()
	m.mu.Lock()
	m.holder.times.returned = true
	m.publishTimes()
	request := &wire.Release{Instance: m.holder.self.ID, Boot: m.holder.boot}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if _, err := route.Call[wire.Release, wire.Empty](ctx, m.router, wire.KindRelease, request); err != nil {
		return err
	}
	events.Emit(events.LeaseReturned)
	return nil
}

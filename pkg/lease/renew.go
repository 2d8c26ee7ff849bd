package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/lease/leasetimes"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// minRenewInterval is the minimum time between renewals.
	minRenewInterval = 20 * time.Millisecond
	// maxAcknowledgementDelay is the longest delay of an acknowledgement of grants,
	// as a fraction of the renewal interval.
	maxAcknowledgementDelay = 0.5
	// renewJitter spreads the renewals of the fleet, as a fraction of the interval.
	renewJitter = 0.1
	// returnTimeout is the timeout for returning the lease.
	returnTimeout = 2 * time.Second
)

// Run renews the lease until ctx is done or the lease is returned.
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

// start starts the loops, unless the lease was already returned.
func (m *Module) start(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.renewals.Go(func() { m.renewLoop(ctx) })
	if !m.configFromLeader {
		// An instance with configFromLeader keeps serving with its last configuration
		// when its lease expires, without polling the others.
		m.renewals.Go(func() { m.pollLoop(ctx) })
	}
}

// stopLoops stops the loops and waits for them.
func (m *Module) stopLoops() {
	m.mu.Lock()
	if !m.stopped {
		m.stopped = true
		close(m.stop)
	}
	m.mu.Unlock()
	m.renewals.Wait()
}

// renewLoop renews at the regular interval, and sooner on renewNow, renewSoon or a
// request to refresh the view.
func (m *Module) renewLoop(ctx context.Context) {
	m.contact.recordSuccess(m.now())
	for {
		m.renew(ctx)
		interval := m.interval()
		jitter := time.Duration(renewJitter * rand.Float64() * float64(interval))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval - jitter):
		case <-m.renewNow:
			if !sleep(ctx, minRenewInterval) {
				return
			}
		case <-m.renewSoon:
			if !sleep(ctx, m.acknowledgementDelay()) {
				return
			}
		case <-m.refresher.wake:
			if !sleep(ctx, m.refresher.delay()) {
				return
			}
		}
	}
}

// startupRenewInterval is the renewal interval while the instance cannot serve
// because it has no routing table or no list of targets.
const startupRenewInterval = 60 * time.Millisecond

// interval returns the time until the next renewal.
func (m *Module) interval() time.Duration {
	v := m.views.View()
	if m.configFromLeader && (v.Routing == nil || v.Catalog == nil) {
		return min(startupRenewInterval, m.settings.Renew.Std())
	}
	return leasetimes.RenewInterval(m.settings, len(v.Instances))
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (m *Module) renew(ctx context.Context) {
	ctx, cancel := withRenewalTimeout(ctx, m.settings.Duration.Std()/2)
	defer cancel()
	defer m.refresher.begin()()
	request := m.nextRenewal()
	sent, sentAt, sentBoot := m.now(), m.lastRenewal.now(), m.usage.add(request)
	defer m.lastRenewal.recordEnd(sentAt)
	reply, err := m.call(ctx, request)
	if err != nil {
		renewalsFailed.Inc()
		events.Emit(events.RenewalFailed, err)
		if sinceSuccess, lost := m.contact.recordFailure(m.now(), m.settings.Duration.Std()); lost && m.configFromLeader {
			events.Emit(events.ControlUnreachable, sinceSuccess.Milliseconds(), m.views.View().Routing.Version(), err)
		}
		return
	}
	m.contact.recordSuccess(m.now())
	renewalsOK.Inc()
	renewalTime.Update((m.now() - sent).Seconds())
	m.router.SetReportedMembers(reply.Voters)
	if m.usage.applyReply(sentBoot, request, reply) {
		notify(m.renewSoon)
	}
	if m.applyReply(sent, reply) {
		m.lastRenewal.recordSuccess(sentAt)
	}
}

// relayEvery is how often an instance with configFromLeader lets a renewal use relays:
// one in relayEvery. A relay is an instance that passes the call on to the leader.
// Relays are used rarely because a relay asks every member of the control group, which
// is useless load when the group has no leader.
const relayEvery = 4

func (m *Module) call(ctx context.Context, request *wire.Renewal) (*wire.RenewalReply, error) {
	if m.configFromLeader && request.Sequence%relayEvery != 0 {
		return route.CallDirect[wire.Renewal, wire.RenewalReply](ctx, m.router, wire.KindRenew, request)
	}
	return route.Call[wire.Renewal, wire.RenewalReply](ctx, m.router, wire.KindRenew, request)
}

// nextRenewal builds a renewal. Evidence that was sent but not acknowledged is
// resent under the same sequence.
func (m *Module) nextRenewal() *wire.Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sentEvidence == nil {
		if m.sentEvidence = m.evidenceBuffer.take(); m.sentEvidence != nil {
			m.evidenceSequence++
		}
	}
	r := m.holder.nextRenewal(m.now())
	r.Evidence, r.EvidenceSequence = m.sentEvidence, m.evidenceSequence
	return r
}

// applyReply applies the reply to a renewal and reports whether the view is current as
// of when the renewal was sent.
func (m *Module) applyReply(sent time.Duration, reply *wire.RenewalReply) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sentEvidence = nil
	held := m.times.Load().state(m.now()) == view.LeaseHeld
	old := m.holder.view
	logOlderState(reply, m.holder)
	changed := m.holder.applyReply(m.now(), sent, reply)
	if changed {
		m.updatePeers(reply.Delta)
		m.views.Publish(m.holder.view)
	}
	m.publishTimes()
	if !held && !reply.Challenge {
		events.Emit(events.LeaseGranted, reply.Leader, m.holder.view.Revision)
	}
	if m.holder.view.Revision != old.Revision {
		events.Emit(events.RulesInForce, m.holder.view.Revision)
	}
	if m.configFromLeader {
		logChanges(old, m.holder.view, m.holder.configVersion)
	}
	switch {
	case m.holder.sendHoldings, m.holder.sendBuckets, reply.Challenge:
		notify(m.renewNow)
	case reply.Grants != nil:
		notify(m.renewSoon)
	}
	return m.holder.isCurrent(reply)
}

// publishTimes publishes the lease times to readers. m.mu must be held.
func (m *Module) publishTimes() {
	t := m.holder.times
	m.times.Store(&t)
}

// acknowledgementDelay returns a random delay for an acknowledgement of grants, so
// that a change of many instances' shares does not make all of them renew at once.
func (m *Module) acknowledgementDelay() time.Duration {
	longest := maxAcknowledgementDelay * float64(m.interval())
	return minRenewInterval + time.Duration(rand.Float64()*longest)
}

// updatePeers passes the mesh addresses of changed instances to the mesh.
func (m *Module) updatePeers(d *state.Delta) {
	if d == nil {
		return
	}
	for _, i := range d.Instances {
		if i.ID != m.holder.self.ID && i.MeshAddress.IsValid() {
			m.mesh.SetPeer(i.ID, i.MeshAddress)
		}
	}
}

// pollLoop polls the other instances while the lease has expired.
func (m *Module) pollLoop(ctx context.Context) {
	last := m.Lease()
	for sleep(ctx, m.untilNextCheck()) {
		var p leasePoll
		current := m.Lease()
		if current == view.LeaseControlLost || current == view.LeaseCutOff {
			p = m.poll(ctx)
			current = m.Lease()
		}
		if current != last && ctx.Err() == nil {
			logLeaseState(current, p)
		}
		last = current
	}
}

// untilNextCheck returns the time until the next check of the lease.
func (m *Module) untilNextCheck() time.Duration {
	checkInterval := m.settings.Renew.Std() / 2
	return max(min(m.LeaseLeft(), checkInterval), minRenewInterval)
}

// poll asks all known instances whether they have lost their lease.
func (m *Module) poll(ctx context.Context) leasePoll {
	ctx, cancel := context.WithTimeout(ctx, m.settings.Renew.Std()/2)
	defer cancel()
	pollsTotal.Inc()
	m.mu.Lock()
	p := m.holder.newPoll(m.now())
	instances := m.holder.view.Instances
	m.mu.Unlock()
	answers := make(chan leaseAnswer, len(instances))
	for _, i := range instances {
		go func() { answers <- m.askInstance(ctx, i.ID) }()
	}
	for range instances {
		p.add(<-answers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.applyPoll(m.now(), p)
	m.publishTimes()
	return p
}

// askInstance asks an instance for the state of its lease.
func (m *Module) askInstance(ctx context.Context, id model.InstanceID) leaseAnswer {
	reply, err := mesh.Call[wire.Empty, wire.LeaseStateReply](ctx, m.mesh, id, wire.KindHoldsLease, &wire.Empty{})
	if err != nil {
		return leaseAnswer{}
	}
	return leaseAnswer{reached: true, lost: reply.Lost, instancesVersion: reply.InstancesVersion}
}

func logLeaseState(now view.LeaseState, p leasePoll) {
	switch now {
	case view.LeaseControlLost:
		events.Emit(events.LeaseControlLost, p.reached, p.known)
	case view.LeaseCutOff:
		events.Emit(events.LeaseCutOff, p.reached, p.known)
	}
}

// Drain is the module's shutdown step: it stops the renewals and returns the lease.
// Modules that need the lease have shut down before.
func (m *Module) Drain(ctx context.Context) error {
	m.stopLoops()
	if m.usage != nil {
		// The newest counts would be lost with the process.
		m.renew(ctx)
	}
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

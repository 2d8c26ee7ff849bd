package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/reconfig"
	"radishturn.example/radishturn/pkg/replica"
)

const (
	// offerInterval is the interval at which an instance with a disk offers itself
	// as a member.
	offerInterval = 400 * time.Millisecond
	// changeTimeout bounds one membership change.
	changeTimeout = 4 * time.Second
	// changeRetryDelay is the delay after a membership change that failed.
	changeRetryDelay = 500 * time.Millisecond
)

// recordOffer stores the newest offer of an instance with a disk.
func (n *leaderTerm) recordOffer(_ context.Context, o *wire.Offer) (*wire.OfferReply, error) {
	n.termMu.Lock()
	before := n.offers[o.Member.Instance]
	n.offers[o.Member.Instance] = reconfig.NextOffer(before, n.now(), o.Member, o.Leaving, o.DiskFull)
	n.termMu.Unlock()
	return &wire.OfferReply{Voters: n.voters()}, nil
}

// reconcileMembers starts the next membership change unless one is in progress.
func (n *leaderTerm) reconcileMembers(ctx context.Context) {
	n.logLearners()
	if n.changing.Load() {
		return
	}
	change := n.decideChange()
	if change.Kind == reconfig.None {
		return
	}
	n.changing.Store(true)
	go func() {
		defer n.changing.Store(false)
		n.runChange(ctx, change)
	}()
}

func (n *leaderTerm) decideChange() reconfig.Change {
	status := n.group.Status()
	n.termMu.Lock()
	defer n.termMu.Unlock()
	now := n.now()
	if now < n.nextChange {
		return reconfig.Change{}
	}
	return reconfig.Decide(now, n.decisionInput(status))
}

// decisionInput returns the input of a decision on members. The caller holds termMu.
func (n *leaderTerm) decisionInput(status replica.Status) reconfig.Input {
	var caughtUp []replica.Member
	for _, l := range status.LearnerProgress {
		if l.CaughtUp {
			caughtUp = append(caughtUp, l.Member)
		}
	}
	return reconfig.Input{
		Voters: status.Voters, Learners: status.Learners, CaughtUp: caughtUp,
		DesiredVoters: n.settings.Control.Voters, Offers: n.offers, ListeningSince: n.started,
	}
}

// logLearners writes events for learners that have not caught up.
func (n *leaderTerm) logLearners() {
	status := n.group.Status()
	now := n.now()
	n.termMu.Lock()
	defer n.termMu.Unlock()
	waiting := reconfig.VotersToReplace(now, n.decisionInput(status))
	n.learnerLog.observe(now, status, waiting)
}

// runChange makes one membership change and emits events for its start and its
// failure.
func (n *leaderTerm) runChange(ctx context.Context, c reconfig.Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	events.Emit(events.MembershipChanging, c.Old.String(), c.New.String(), c.Reason)
	if err := n.applyChange(ctx, c); err != nil {
		events.Emit(events.MembershipChangeFailed, c.Old.String(), c.New.String(), err)
		n.delayNextChange()
	}
}

func (n *leaderTerm) delayNextChange() {
	n.termMu.Lock()
	defer n.termMu.Unlock()
	n.nextChange = n.now() + changeRetryDelay
}

func (n *leaderTerm) applyChange(ctx context.Context, c reconfig.Change) error {
	switch c.Kind {
	case reconfig.AddLearner:
		return n.group.AddLearner(ctx, c.New)
	case reconfig.Promote:
		return n.group.Promote(ctx, c.New)
	case reconfig.ReplaceVoter:
		return n.group.ReplaceByLearner(ctx, c.Old, c.New)
	default:
		return n.group.Remove(ctx, c.Old)
	}
}

// offerLoop offers this instance's disk to the leader until ctx is done.
func (s *Server) offerLoop(ctx context.Context) {
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	for {
		s.offer(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) offer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*offerInterval)
	defer cancel()
	status := s.group.Status()
	request := &wire.Offer{Member: status.Self, Leaving: s.leaving.Load(), DiskFull: status.DiskFull}
	reply, err := route.Call[wire.Offer, wire.OfferReply](ctx, s.router, wire.KindOffer, request)
	if err != nil {
		events.Emit(events.MemberOfferFailed, err)
		return
	}
	s.router.SetReportedMembers(reply.Voters)
}

// Drain tells the leader that this instance is leaving, now and with each later offer.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	if s.canBeMember() {
		s.offer(ctx)
	}
	return nil
}

// canBeMember reports whether this instance offers itself as a member.
func (s *Server) canBeMember() bool {
	return s.settings.Control.Voters > 0 && s.settings.DataFolder != "" && s.group.Status().Self.Instance != ""
}

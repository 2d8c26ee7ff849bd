package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/route"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/reconfig"
)

const (
	// offerInterval is how often an instance with a disk offers to be a member.
	offerInterval = 400 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = 4 * time.Second
)

// offered notes that an instance with a disk is there.
func (n *session) offered(_ context.Context, o *wire.Offer) (*wire.OfferReply, error) {
	n.lock.Lock()
	n.offers[o.Member.Instance] = reconfig.Offer{Member: o.Member, ReceivedAt: n.now(), Leaving: o.Leaving}
	n.lock.Unlock()
	return &wire.OfferReply{Voters: n.voters()}, nil
}

// keepMembers makes the next change of the membership, one at a time.
func (n *session) keepMembers(ctx context.Context) {
	if n.changing.Load() {
		return
	}
	status := n.proposer.Status()
	n.lock.Lock()
	change := reconfig.Next(n.now(), reconfig.Group{
		Voters: status.Voters, Learners: status.Learners,
		DesiredVoters: n.settings.Control.Voters, Offers: n.offers, ListeningSince: n.started,
	})
	n.lock.Unlock()
	if change.Kind == reconfig.None {
		return
	}
	n.changing.Store(true)
	go func() {
		defer n.changing.Store(false)
		n.changeMembers(ctx, change)
	}()
}

func (n *session) changeMembers(ctx context.Context, c reconfig.Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	events.Emit(events.MembershipChanging, c.Old.String(), c.Next.String(), c.Reason)
	if err := n.changeMember(ctx, c); err != nil {
		events.Emit(events.MembershipChangeFailed, c.Old.String(), c.Next.String(), err)
	}
}

func (n *session) changeMember(ctx context.Context, c reconfig.Change) error {
	switch c.Kind {
	case reconfig.AddLearner:
		return n.proposer.AddLearner(ctx, c.Next)
	case reconfig.Promote:
		return n.proposer.Promote(ctx, c.Next)
	case reconfig.ReplaceVoter:
		return n.proposer.Replace(ctx, c.Old, c.Next)
	default:
		return n.proposer.Remove(ctx, c.Old)
	}
}

// offerLoop offers this instance's disk to the leader until ctx is done.
func (s *Server) offerLoop(ctx context.Context) {
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	for {
		s.offer(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) offer(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*offerInterval)
	defer cancel()
	request := &wire.Offer{Member: s.proposer.Status().Self, Leaving: leaving}
	reply, err := route.Call[wire.Offer, wire.OfferReply](ctx, s.router, wire.KindOffer, request)
	if err != nil {
		events.Emit(events.MemberOfferFailed, err)
		return
	}
	s.router.LearnMembers(reply.Voters)
}

// Drain tells the leader that this instance leaves.
func (s *Server) Drain(ctx context.Context) error {
	if s.keepsMembers() {
		s.offer(ctx, true)
	}
	return nil
}

// keepsMembers reports whether this instance offers itself as a member.
func (s *Server) keepsMembers() bool {
	return s.settings.Control.Voters > 0 && s.settings.DataFolder != "" && s.proposer.Status().Self.Instance != ""
}

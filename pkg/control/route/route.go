// Package route passes requests to the leader of the control group: directly
// where it can be reached, otherwise through another instance.
package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

const (
	// minAttempt is the shortest time given to one attempt.
	minAttempt = 150 * time.Millisecond
	// maxAttempt is the longest time given to one attempt.
	maxAttempt = 2 * time.Second
	// pause is the wait between rounds in which no leader answered.
	pause = 50 * time.Millisecond
	// relaysPerRound bounds the relays that one round tries.
	relaysPerRound = 2
	// relayMemory is how long a relay that worked is tried first.
	relayMemory = 5 * time.Second
)

// Router finds the leader. Requests may reach the leader more than once, so
// every kind that goes through it has to be idempotent.
type Router struct {
	mesh    mesh.Mesh
	members func() []model.InstanceID

	mu     sync.Mutex
	leader model.InstanceID
	// relay worked last, while the leader could not be reached directly.
	relay      model.InstanceID
	relayUntil time.Time
}

// New returns a Router. Members returns those who may lead.
func New(m mesh.Mesh, members func() []model.InstanceID) *Router {
	return &Router{mesh: m, members: members}
}

// Call sends a typed request to the leader and decodes the typed reply. Errors
// are *failure.Error; ran not-run means that no leader has received it.
func Call[Request, Reply any](ctx context.Context, r *Router, kind mesh.Kind, request *Request) (*Reply, error) {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return nil, failure.New(failure.Internal, failure.NotRun, "encode "+string(kind), "", "%w", err)
	}
	raw, err := r.Call(ctx, kind, payload)
	if err != nil {
		return nil, err
	}
	reply := new(Reply)
	if err := mesh.Decode(raw, reply); err != nil {
		return nil, failure.New(failure.MismatchedReply, failure.Unknown, "decode "+string(kind), "", "%w", err)
	}
	return reply, nil
}

// Call sends a request to the leader, through a relay if need be, until it is
// answered or ctx is done.
func (r *Router) Call(ctx context.Context, kind mesh.Kind, payload []byte) ([]byte, error) {
	return r.call(ctx, kind, payload, true)
}

// Direct is like Call but uses no relay.
func (r *Router) Direct(ctx context.Context, kind mesh.Kind, payload []byte) ([]byte, error) {
	return r.call(ctx, kind, payload, false)
}

func (r *Router) call(ctx context.Context, kind mesh.Kind, payload []byte, relays bool) ([]byte, error) {
	c := &attempts{router: r, kind: kind, payload: payload, ran: failure.NotRun}
	for {
		raw, done, err := c.round(ctx, relays)
		if done {
			return raw, err
		}
		select {
		case <-ctx.Done():
			return nil, failure.New(failure.NoQuorum, c.ran, string(kind), "", "no leader answered: %w", c.lastError(ctx))
		case <-time.After(pause):
		}
	}
}

// attempts is one request on its way to the leader.
type attempts struct {
	router  *Router
	kind    mesh.Kind
	payload []byte
	// ran is unknown once an attempt may have reached the leader.
	ran  failure.Ran
	last error
}

func (c *attempts) lastError(ctx context.Context) error {
	if c.last != nil {
		return c.last
	}
	return ctx.Err()
}

// round tries the likely leader, then its relay, then the other members, and
// then other relays. It is done once a leader has answered.
func (c *attempts) round(ctx context.Context, relays bool) (raw []byte, done bool, err error) {
	relay := c.router.knownRelay()
	if relays && relay != "" {
		if raw, done, err := c.tryRelay(ctx, relay); done {
			return raw, true, err
		}
	}
	tried := make(map[model.InstanceID]bool)
	for next := c.router.nextMember(tried); next != "" && ctx.Err() == nil; next = c.router.nextMember(tried) {
		tried[next] = true
		if raw, done, err := c.try(ctx, next); done {
			c.router.answered(next)
			return raw, true, err
		}
	}
	if !relays {
		return nil, false, nil
	}
	for _, id := range c.router.relays(tried) {
		if ctx.Err() != nil {
			break
		}
		if raw, done, err := c.tryRelay(ctx, id); done {
			c.router.relayed(id)
			return raw, true, err
		}
	}
	return nil, false, nil
}

func (c *attempts) try(ctx context.Context, to model.InstanceID) (raw []byte, done bool, err error) {
	ctx, cancel := attemptContext(ctx)
	defer cancel()
	raw, err = c.router.mesh.Call(ctx, to, c.kind, c.payload)
	return raw, c.settled(err, to), err
}

func (c *attempts) tryRelay(ctx context.Context, relay model.InstanceID) (raw []byte, done bool, err error) {
	ctx, cancel := attemptContext(ctx)
	defer cancel()
	request := &wire.Relay{Kind: c.kind, Payload: c.payload}
	reply, err := mesh.Call[wire.Relay, wire.RelayReply](ctx, c.router.mesh, relay, wire.KindRelay, request)
	if err != nil {
		if c.settled(err, relay) {
			return nil, true, err
		}
		c.router.relayFailed(relay)
		return nil, false, err
	}
	return reply.Payload, true, nil
}

// attemptContext leaves half of the time for further attempts.
func attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := maxAttempt
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(maxAttempt, max(minAttempt, time.Until(deadline)/2))
	}
	return context.WithTimeout(ctx, limit)
}

// settled reports whether err is the answer of a leader. Otherwise it notes
// what the attempt proves and who leads.
func (c *attempts) settled(err error, peer model.InstanceID) bool {
	if err == nil {
		return true
	}
	switch failure.CodeOf(err) {
	case failure.NotLeader, failure.PeerUnreachable, failure.NoQuorum:
	default:
		return true
	}
	c.last = err
	if failure.RanOf(err) != failure.NotRun {
		c.ran = failure.Unknown
	}
	c.router.heard(err, peer)
	return false
}

// heard learns the leader from a member that does not lead.
func (r *Router) heard(err error, peer model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == peer {
		r.leader = ""
	}
	if failure.CodeOf(err) == failure.NotLeader {
		if hint := model.InstanceID(failure.PeerOf(err)); hint != "" && hint != peer {
			r.leader = hint
		}
	}
}

func (r *Router) answered(leader model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = leader
}

func (r *Router) relayed(relay model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay, r.relayUntil = relay, time.Now().Add(relayMemory)
}

func (r *Router) relayFailed(relay model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relay == relay {
		r.relay = ""
	}
}

func (r *Router) knownRelay() model.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.relayUntil) {
		r.relay = ""
	}
	return r.relay
}

// nextMember returns the likely leader or, if it was tried, another member.
func (r *Router) nextMember(tried map[model.InstanceID]bool) model.InstanceID {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	if leader != "" && !tried[leader] {
		return leader
	}
	members := r.members()
	for _, i := range rand.Perm(len(members)) {
		if !tried[members[i]] {
			return members[i]
		}
	}
	return ""
}

// relays returns some peers that were not tried, in random order.
func (r *Router) relays(tried map[model.InstanceID]bool) []model.InstanceID {
	peers := slices.DeleteFunc(r.mesh.Peers(), func(id model.InstanceID) bool {
		return id == r.mesh.Self()
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	// Members come last: those that can be reached have answered already.
	slices.SortStableFunc(peers, func(a, b model.InstanceID) int { return order(tried[a]) - order(tried[b]) })
	return peers[:min(len(peers), relaysPerRound)]
}

func order(tried bool) int {
	if tried {
		return 1
	}
	return 0
}

// Serve answers requests that other instances want relayed.
func (r *Router) Serve(ctx context.Context, from model.InstanceID, request *wire.Relay) (*wire.RelayReply, error) {
	if !wire.LeaderKinds[request.Kind] {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "relay", string(from), "kind %q is not relayed", request.Kind)
	}
	raw, err := r.Direct(ctx, request.Kind, request.Payload)
	if err != nil {
		return nil, fmt.Errorf("relay for %s: %w", from, err)
	}
	return &wire.RelayReply{Payload: raw}, nil
}

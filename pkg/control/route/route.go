// Package route sends requests to the leader of the control group: directly if
// the leader is reachable, otherwise through another instance as a relay.
package route

import (
	"context"
	"fmt"
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
	// hedgeDelay is the time after which the next attempt starts although one is
	// in flight, since a slow leader cannot be told from a lost message.
	hedgeDelay = 250 * time.Millisecond
	// roundBackoff is the initial delay between rounds in which no leader answered.
	roundBackoff = 50 * time.Millisecond
	// relaysPerRound bounds the relays tried in one round.
	relaysPerRound = 2
	// relayTTL is how long a relay that succeeded is tried first.
	relayTTL = 5 * time.Second
)

// Router sends requests to the leader and tracks who it is. A request may reach
// the leader more than once, so every kind sent through it must be idempotent.
type Router struct {
	mesh    mesh.Mesh
	members func() []model.InstanceID

	mu     sync.Mutex
	leader model.InstanceID
	// relay is the last relay that succeeded while the leader was not reachable
	// directly.
	relay       model.InstanceID
	relayExpiry time.Time
	// reportedMembers are the control members that the leader last reported.
	reportedMembers []model.InstanceID
}

// New returns a Router. Members returns the instances that may lead; duplicates
// are allowed.
func New(m mesh.Mesh, members func() []model.InstanceID) *Router {
	return &Router{mesh: m, members: members}
}

// Call encodes a request, sends it to the leader and decodes the reply. Errors are
// *failure.Error; not-run means that no leader has received the request.
func Call[Request, Reply any](ctx context.Context, r *Router, kind mesh.Kind, request *Request) (*Reply, error) {
	return call[Request, Reply](ctx, r.Call, kind, request)
}

// CallDirect is like Call but uses no relay.
func CallDirect[Request, Reply any](ctx context.Context, r *Router, kind mesh.Kind, request *Request) (*Reply, error) {
	return call[Request, Reply](ctx, r.CallDirect, kind, request)
}

func call[Request, Reply any](ctx context.Context, send func(context.Context, mesh.Kind, []byte) ([]byte, error), kind mesh.Kind, request *Request) (*Reply, error) {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return nil, failure.New(failure.Internal, failure.NotRun, "encode "+string(kind), "", "%w", err)
	}
	raw, err := send(ctx, kind, payload)
	if err != nil {
		return nil, err
	}
	reply := new(Reply)
	if err := mesh.Decode(raw, reply); err != nil {
		return nil, failure.New(failure.MismatchedReply, failure.Unknown, "decode "+string(kind), "", "%w", err)
	}
	return reply, nil
}

// Call sends a request to the leader, through a relay if necessary, and tries
// until a leader answers or ctx is done.
func (r *Router) Call(ctx context.Context, kind mesh.Kind, payload []byte) ([]byte, error) {
	return r.call(ctx, kind, payload, true)
}

// CallDirect is like Call but uses no relay.
func (r *Router) CallDirect(ctx context.Context, kind mesh.Kind, payload []byte) ([]byte, error) {
	return r.call(ctx, kind, payload, false)
}

func (r *Router) call(ctx context.Context, kind mesh.Kind, payload []byte, relays bool) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &request{
		router: r, kind: kind, payload: payload, relays: relays,
		tried: make(map[attempt]bool), inFlight: make(map[attempt]bool), answers: make(chan answer),
	}
	return c.run(ctx)
}

// SetReportedMembers stores the control members that the leader reported. They
// are asked before those from the settings, which may no longer exist.
func (r *Router) SetReportedMembers(ids []model.InstanceID) {
	if len(ids) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedMembers = ids
}

// possibleLeaders returns the instances that may lead, without duplicates.
func (r *Router) possibleLeaders() []model.InstanceID {
	r.mu.Lock()
	ids := slices.Clone(r.reportedMembers)
	r.mu.Unlock()
	for _, id := range r.members() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// cachedLeader returns the likely leader and the relay to use, if any.
func (r *Router) cachedLeader() (leader, relay model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.relayExpiry) {
		r.relay = ""
	}
	return r.leader, r.relay
}

// recordSuccess stores the leader or relay of an attempt that a leader answered.
func (r *Router) recordSuccess(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.relay {
		r.leader, r.relay = a.to, ""
		return
	}
	if r.relay != a.to {
		r.relay, r.relayExpiry = a.to, time.Now().Add(relayTTL)
	}
}

// recordFailure clears the leader or relay of a failed attempt, and takes the
// likely leader from the reply of a member that does not lead.
func (r *Router) recordFailure(a attempt, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.relay {
		if r.relay == a.to {
			r.relay = ""
		}
		return
	}
	if r.leader == a.to {
		r.leader = ""
	}
	hint := model.InstanceID(failure.PeerOf(err))
	if failure.CodeOf(err) == failure.NotLeader && hint != "" && hint != a.to {
		r.leader = hint
	}
}

// Serve forwards a request of another instance to the leader. It uses no further
// relay.
func (r *Router) Serve(ctx context.Context, from model.InstanceID, request *wire.RelayRequest) (*wire.RelayReply, error) {
	if !wire.LeaderKinds[request.Kind] {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "relay", string(from), "kind %q is not relayed", request.Kind)
	}
	raw, err := r.CallDirect(ctx, request.Kind, request.Payload)
	if err != nil {
		return nil, fmt.Errorf("relay for %s: %w", from, err)
	}
	return &wire.RelayReply{Payload: raw}, nil
}

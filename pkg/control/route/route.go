// Package route passes requests to the leader of the control group: directly
// where it can be reached, otherwise through another instance.
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
	// patience is how long one attempt is alone; after it the next one starts
	// beside it, since a slow leader and a lost message look the same.
	patience = 250 * time.Millisecond
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
	// learned are the control members that the leader named last.
	learned []model.InstanceID
}

// New returns a Router. Members returns those who may lead, each once or more.
func New(m mesh.Mesh, members func() []model.InstanceID) *Router {
	return &Router{mesh: m, members: members}
}

// Call sends a typed request to the leader and decodes the typed reply. Errors
// are *failure.Error; ran not-run means that no leader has received it.
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

// Call sends a request to the leader, through a relay if need be, until it is
// answered or ctx is done.
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

// SetReportedMembers notes the control members that the leader names. They are asked
// first; those from the settings may be gone by then.
func (r *Router) SetReportedMembers(ids []model.InstanceID) {
	if len(ids) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learned = ids
}

// mayLead returns the instances that may lead, each once.
func (r *Router) mayLead() []model.InstanceID {
	r.mu.Lock()
	ids := slices.Clone(r.learned)
	r.mu.Unlock()
	for _, id := range r.members() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// known returns the likely leader and the relay to use, if any.
func (r *Router) known() (leader, relay model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.relayUntil) {
		r.relay = ""
	}
	return r.leader, r.relay
}

// answered notes the way on which a leader answered.
func (r *Router) answered(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.relay {
		r.leader, r.relay = a.to, ""
		return
	}
	if r.relay != a.to {
		r.relay, r.relayUntil = a.to, time.Now().Add(relayMemory)
	}
}

// failed notes a way that did not lead to a leader, and learns the leader from
// a member that does not lead.
func (r *Router) failed(a attempt, err error) {
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

// Serve answers requests that other instances want relayed.
func (r *Router) Serve(ctx context.Context, from model.InstanceID, request *wire.Relay) (*wire.RelayReply, error) {
	if !wire.LeaderKinds[request.Kind] {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "relay", string(from), "kind %q is not relayed", request.Kind)
	}
	raw, err := r.CallDirect(ctx, request.Kind, request.Payload)
	if err != nil {
		return nil, fmt.Errorf("relay for %s: %w", from, err)
	}
	return &wire.RelayReply{Payload: raw}, nil
}

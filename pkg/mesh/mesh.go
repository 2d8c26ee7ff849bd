// Package mesh carries typed messages between instances: CBOR over QUIC streams
// with mutual TLS. A request and its reply use one stream; streams are
// independent, so requests may be reordered, and a lost connection loses the
// messages in flight.
package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
)

// Kind names a type of request. Each kind has at most one handler.
type Kind string

// Mesh sends requests to other instances and serves theirs.
type Mesh interface {
	// Self returns the name under which peers know this instance.
	Self() model.InstanceID
	// SetPeer sets the address of an instance. A changed address closes the
	// connection; the next one goes to the new address.
	SetPeer(id model.InstanceID, address netip.AddrPort)
	// Peers returns the instances with a known address, in no particular order.
	Peers() []model.InstanceID
	// Call sends a request and waits for the reply. An error is a
	// *failure.Error: ran not-run means that the request was not sent, or that the
	// peer states that it did not run.
	Call(ctx context.Context, to model.InstanceID, kind Kind, request cbor.RawMessage) (cbor.RawMessage, error)
	// Handle sets the handler of a kind. A request that arrives before fails with
	// code bad-request, so handlers are set before the mesh runs.
	Handle(kind Kind, handler Handler)
}

// Handler serves requests of one kind. It may be called concurrently.
type Handler func(ctx context.Context, from model.InstanceID, request cbor.RawMessage) (cbor.RawMessage, error)

// Call sends a typed request and decodes the typed reply.
func Call[Request, Reply any](ctx context.Context, m Mesh, to model.InstanceID, kind Kind, request *Request) (*Reply, error) {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return nil, failure.New(failure.Internal, failure.NotRun, "encode "+string(kind), string(to), "%w", err)
	}
	raw, err := m.Call(ctx, to, kind, payload)
	if err != nil {
		return nil, err
	}
	reply := new(Reply)
	if err := decodeMode.Unmarshal(raw, reply); err != nil {
		return nil, failure.New(failure.MismatchedReply, failure.Unknown, "decode "+string(kind), string(to), "%w", err)
	}
	return reply, nil
}

// Handle serves requests of a kind with a typed handler.
func Handle[Request, Reply any](m Mesh, kind Kind, handler func(ctx context.Context, from model.InstanceID, request *Request) (*Reply, error)) {
	m.Handle(kind, func(ctx context.Context, from model.InstanceID, raw cbor.RawMessage) (cbor.RawMessage, error) {
		request := new(Request)
		if err := decodeMode.Unmarshal(raw, request); err != nil {
			return nil, failure.New(failure.BadRequest, failure.NotRun, "decode "+string(kind), string(from), "%w", err)
		}
		reply, err := handler(ctx, from, request)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(reply)
	})
}

// decodeMode limits the cost of decoding a message.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("mesh: decode options: %v", err))
	}
	return mode
}

// Decode decodes a message with the limits of the mesh.
func Decode(raw []byte, message any) error { return decodeMode.Unmarshal(raw, message) }

// requestMessage is the only message that the calling side sends on a stream.
type requestMessage struct {
	Kind    Kind            `cbor:"1,keyasint"`
	Payload cbor.RawMessage `cbor:"2,keyasint"`
	// Padding makes a short request longer; see newRequest.
	Padding []byte `cbor:"3,keyasint,omitempty"`
}

// minRequestBytes is the length of the shortest request. QUIC answers packets of up to
// 42 bytes with no stateless reset (RFC 9000, section 10.3), so a shorter request would
// not find out that the peer's process has ended.
const minRequestBytes = 64

// newRequest returns the message for a request.
func newRequest(kind Kind, payload cbor.RawMessage) *requestMessage {
	r := &requestMessage{Kind: kind, Payload: payload}
	if missing := minRequestBytes - len(kind) - len(payload); missing > 0 {
		r.Padding = make([]byte, missing)
	}
	return r
}

// replyMessage is the only message that is sent back on a stream.
type replyMessage struct {
	Payload cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Failure *wireFailure    `cbor:"2,keyasint,omitempty"`
}

// wireFailure carries a failure.Error between instances.
type wireFailure struct {
	Code    failure.Code `cbor:"1,keyasint"`
	Ran     failure.Ran  `cbor:"2,keyasint"`
	Step    string       `cbor:"3,keyasint"`
	Peer    string       `cbor:"4,keyasint"`
	Message string       `cbor:"5,keyasint"`
}

func toWire(err error) *wireFailure {
	var e *failure.Error
	if !errors.As(err, &e) {
		return &wireFailure{Code: failure.Internal, Ran: failure.Unknown, Message: err.Error()}
	}
	w := &wireFailure{Code: e.Code, Ran: e.Ran, Step: e.Step, Peer: e.Peer}
	if e.Err != nil {
		w.Message = e.Err.Error()
	}
	return w
}

func (w *wireFailure) toError() error {
	return failure.New(w.Code, w.Ran, w.Step, w.Peer, "%s", w.Message)
}

// dispatcher holds the handlers by kind.
type dispatcher struct {
	mu       sync.RWMutex
	handlers map[Kind]Handler
}

func (d *dispatcher) register(kind Kind, handler Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handlers[kind] = handler
}

func (d *dispatcher) serve(ctx context.Context, from model.InstanceID, e *requestMessage) *replyMessage {
	d.mu.RLock()
	handler := d.handlers[e.Kind]
	d.mu.RUnlock()
	if handler == nil {
		err := failure.New(failure.BadRequest, failure.NotRun, "serve", string(from), "no handler for kind %q", e.Kind)
		return &replyMessage{Failure: toWire(err)}
	}
	payload, err := handler(ctx, from, e.Payload)
	if err != nil {
		return &replyMessage{Failure: toWire(err)}
	}
	return &replyMessage{Payload: payload}
}

package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Order is an order for one target.
type Order struct {
	Request         model.RequestID
	IdempotencyKey  string
	Body            targetproto.OrderRequest
	RemainingMillis int64
}

// OrderResult is the end of one attempt to run an order.
type OrderResult struct {
	Kind  Kind
	Meta  Meta
	Reply *targetproto.OrderReply
	// Err is nil for KindOK. Its Ran is NotRun only with a proof.
	Err *failure.Error
}

// errNotAllowed is returned by the guarded connection in place of the first write.
var errNotAllowed = errors.New("not allowed any more")

// Order sends an order on a new connection. allowed is called right before the
// first byte; if it is false nothing is sent. net/http replays requests with an
// Idempotency-Key on reused connections, so an order never uses one.
func (c *Client) Order(ctx context.Context, o *Order, allowed func() bool) OrderResult {
	const step = "place order"
	body, err := json.Marshal(o.Body)
	if err != nil {
		return orderFailure(KindFailed, failure.BadRequest, failure.NotRun, step, c.id, err)
	}
	guard := &guardedDial{client: c, allowed: allowed}
	transport := &http.Transport{DialContext: guard.dial, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(c.orderRequest(ctx, o, body))
	if err != nil {
		return c.orderTransportFailure(ctx, guard, step, err)
	}
	return c.readOrderReply(o, step, response)
}

// orderRequest leaves GetBody empty, so that the transport cannot send the body twice.
func (c *Client) orderRequest(ctx context.Context, o *Order, body []byte) *http.Request {
	return (&http.Request{
		Method: http.MethodPost, URL: c.orderURL, Host: c.orderURL.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{
			targetproto.HeaderRequest:        {string(o.Request)},
			targetproto.HeaderAttempt:        {"1"},
			targetproto.HeaderDeadline:       {strconv.FormatInt(o.RemainingMillis, 10)},
			targetproto.HeaderIdempotencyKey: {o.IdempotencyKey},
			"Content-Type":                   {"application/json"},
		},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}).WithContext(ctx)
}

func (c *Client) orderTransportFailure(ctx context.Context, g *guardedDial, step string, err error) OrderResult {
	wrote, refused := g.finish()
	if refused {
		return orderFailure(KindBusy, failure.LeaseExpired, failure.NotRun, step, c.id, errNotAllowed)
	}
	if wrote {
		kind, code := KindReset, failure.OutcomeUnknown
		if ctx.Err() != nil {
			kind = KindCancelled
		}
		return orderFailure(kind, code, failure.Unknown, step, c.id, err)
	}
	switch {
	case errors.Is(err, errConnectionsUsed):
		return orderFailure(KindBusy, failure.Overloaded, failure.NotRun, step, c.id, err)
	case ctx.Err() != nil:
		return orderFailure(KindCancelled, failure.DeadlineExceeded, failure.NotRun, step, c.id, err)
	}
	return orderFailure(KindUnreachable, failure.PeerUnreachable, failure.NotRun, step, c.id, err)
}

func orderFailure(k Kind, code failure.Code, ran failure.Ran, step string, id model.TargetID, err error) OrderResult {
	return OrderResult{Kind: k, Err: failure.New(code, ran, step, string(id), "%w", err)}
}

func (c *Client) readOrderReply(o *Order, step string, response *http.Response) OrderResult {
	defer response.Body.Close()
	result := Result{Meta: metaOf(response.Header)}
	if response.StatusCode != http.StatusOK {
		c.readRefusal(&result, step, response)
		if result.Err.Ran != failure.NotRun {
			result.Err.Code = failure.OutcomeUnknown
		}
		return OrderResult{Kind: result.Kind, Meta: result.Meta, Err: result.Err}
	}
	reply := new(targetproto.OrderReply)
	err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply)
	if err == nil {
		err = verifyOrderReply(o, c.leaf, reply)
	}
	if err != nil {
		return orderFailure(KindMismatched, failure.OutcomeUnknown, failure.Unknown, step, c.id, err)
	}
	return OrderResult{Meta: result.Meta, Reply: reply}
}

func verifyOrderReply(o *Order, leaf model.LeafID, reply *targetproto.OrderReply) error {
	if reply.Request != o.Request || reply.Leaf != leaf {
		return fmt.Errorf("reply for request %q of leaf %s", reply.Request, reply.Leaf)
	}
	return nil
}

// guardedDial opens one connection whose first write asks for permission.
type guardedDial struct {
	client  *Client
	allowed func() bool

	mu      sync.Mutex
	started bool
	denied  bool
}

func (g *guardedDial) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.client.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}

// start reports whether a write may go on.
func (g *guardedDial) start() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.denied {
		return g.started
	}
	g.started = g.allowed()
	g.denied = !g.started
	return g.started
}

// finish forbids a first write from now on, since a cancelled round trip may
// still hold a goroutine that is about to write. It reports whether a write was
// begun, and whether it was refused.
func (g *guardedDial) finish() (wrote, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused = g.denied
	g.denied = true
	return g.started, refused
}

type guardedConn struct {
	net.Conn
	guard *guardedDial
}

// Write sends p once the guard has given permission.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.guard.start() {
		return 0, errNotAllowed
	}
	return c.Conn.Write(p)
}

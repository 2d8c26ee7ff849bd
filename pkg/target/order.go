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

// OrderResult is the result of one attempt to run an order.
type OrderResult struct {
	Kind  Kind
	Meta  Meta
	Reply *targetproto.OrderReply
	// Err is nil for KindOK. Its Ran is NotRun only if that is proven.
	Err *failure.Error
}

// errSendNotAllowed is returned by guardedConn.Write if sending is not permitted.
var errSendNotAllowed = errors.New("sending the order is no longer allowed")

// Order sends an order on a new connection. It calls allowed immediately before
// the first byte is sent; if allowed returns false, nothing is sent. An order
// never uses an existing connection, because on those net/http may retry requests
// that have an Idempotency-Key.
func (c *Client) Order(ctx context.Context, o *Order, allowed func() bool) OrderResult {
	const step = "place order"
	body, err := json.Marshal(o.Body)
	if err != nil {
		return orderFailure(KindFailed, failure.BadRequest, failure.NotRun, step, c.id, err)
	}
	guard := &guardedDialer{client: c, allowed: allowed}
	transport := &http.Transport{DialContext: guard.dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(c.orderRequest(ctx, o, body))
	if err != nil {
		return c.orderTransportFailure(ctx, guard, step, err)
	}
	return c.readOrderReply(o, step, response)
}

// orderRequest builds the HTTP request. GetBody is left nil so that the transport
// cannot send the body twice.
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

func (c *Client) orderTransportFailure(ctx context.Context, g *guardedDialer, step string, err error) OrderResult {
	wrote, refused := g.forbidFirstWrite()
	if refused {
		return orderFailure(KindBusy, failure.LeaseExpired, failure.NotRun, step, c.id, errSendNotAllowed)
	}
	if wrote {
		kind, code := KindReset, failure.OutcomeUnknown
		if ctx.Err() != nil {
			kind = KindCancelled
		}
		return orderFailure(kind, code, failure.Unknown, step, c.id, err)
	}
	switch {
	case errors.Is(err, errNoFreeConnection):
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
	result := Result{Meta: metaFromHeader(response.Header)}
	if response.StatusCode != http.StatusOK {
		c.readErrorReply(&result, step, response)
		if result.Err.Ran != failure.NotRun {
			result.Err.Code = failure.OutcomeUnknown
		}
		return OrderResult{Kind: result.Kind, Meta: result.Meta, Err: result.Err}
	}
	reply := new(targetproto.OrderReply)
	err := c.decodeBody(response, reply)
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

// guardedDialer opens one connection and calls allowed before the first write on
// it.
type guardedDialer struct {
	client  *Client
	allowed func() bool

	mu        sync.Mutex
	permitted bool
	denied    bool
}

func (g *guardedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.client.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}

// permitWrite reports whether a write may proceed. The first call decides for all
// later ones.
func (g *guardedDialer) permitWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permitted || g.denied {
		return g.permitted
	}
	g.permitted = g.allowed()
	g.denied = !g.permitted
	return g.permitted
}

// forbidFirstWrite denies the first write from now on, because after a cancelled
// round trip a goroutine of the transport may still be about to write. It reports
// whether a write has begun and whether one was refused.
func (g *guardedDialer) forbidFirstWrite() (wrote, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused = g.denied
	g.denied = true
	return g.permitted, refused
}

type guardedConn struct {
	net.Conn
	guard *guardedDialer
}

// Write sends p if the guard permits it.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.guard.permitWrite() {
		return 0, errSendNotAllowed
	}
	return c.Conn.Write(p)
}

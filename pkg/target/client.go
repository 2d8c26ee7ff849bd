// Package target implements the client of the HTTP protocol of package
// targetproto. Package exchange is for targets that a platform reaches with its
// own wire encoding. The client limits the open connections to each target to
// the number granted to this instance and verifies every reply against its
// request.
package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/statusline"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// maxReplyBytes limits the body of a reply.
	maxReplyBytes = 8 << 20
	// maxHeadBytes limits the head of a reply.
	maxHeadBytes = 64 << 10
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 90 * time.Second
	// connectionBufferBytes is the size of the read and write buffers.
	connectionBufferBytes = 4 << 10
)

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	id       model.TargetID
	leaf     model.LeafID
	leafName string
	address  netip.AddrPort
	// memory bounds the replies that are read at a time, over all clients of the process;
	// nil means without limit.
	memory *membudget.Budget

	queryURL  *url.URL
	orderURL  *url.URL
	healthURL *url.URL

	openConnections atomic.Int64

	mu           sync.Mutex
	grant        int
	spare        spareConnection
	openingSpare bool
	closed       bool
	transport    atomic.Pointer[http.Transport]
}

// NewClient returns a client of t with a grant of zero connections. Replies that are being
// read take memory, which may be nil.
func NewClient(t model.Target, memory *membudget.Budget) *Client {
	c := &Client{
		id:        t.ID,
		leaf:      t.Leaf,
		leafName:  t.Leaf.String(),
		address:   t.Address,
		memory:    memory,
		queryURL:  targetURL(t.Address, targetproto.QueryPath(t.Leaf)),
		orderURL:  targetURL(t.Address, targetproto.OrderPath(t.Leaf)),
		healthURL: targetURL(t.Address, targetproto.HealthPath),
	}
	c.transport.Store(c.newTransport(1))
	return c
}

func targetURL(address netip.AddrPort, path string) *url.URL {
	return &url.URL{Scheme: "http", Host: address.String(), Path: path}
}

// SetGrant sets the number of connections that the client may hold open. A change
// closes the idle connections.
func (c *Client) SetGrant(connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connections == c.grant {
		return
	}
	c.grant = connections
	old := c.transport.Swap(c.newTransport(max(connections, 1)))
	old.CloseIdleConnections()
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int { return int(c.openConnections.Load()) }

// Close closes the idle connections; those in use are closed after their request.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if conn := c.takeSpare(); conn != nil {
		_ = conn.Close()
	}
	c.transport.Load().CloseIdleConnections()
}

func (c *Client) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     connections,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// errNoFreeConnection is returned by dial while every granted connection is open.
var errNoFreeConnection = errors.New("all granted connections are open")

// dial opens a connection if the grant allows one more. Connections of a
// transport that SetGrant has replaced count as well.
func (c *Client) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if conn := c.takeSpare(); conn != nil {
		return conn, nil
	}
	if err := c.reserveConnection(); err != nil {
		return nil, &dialError{err}
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		c.openConnections.Add(-1)
		return nil, &dialError{err}
	}
	return &countedConn{Conn: statusline.NewConn(conn), client: c}, nil
}

func (c *Client) reserveConnection() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openConnections.Load() >= int64(c.grant) {
		return errNoFreeConnection
	}
	c.openConnections.Add(1)
	return nil
}

// dialError marks errors that occurred before any byte was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return fmt.Sprintf("dial: %v", e.err) }
func (e *dialError) Unwrap() error { return e.err }

// countedConn decrements the client's count of open connections when it is closed.
type countedConn struct {
	net.Conn
	client *Client
	closed atomic.Bool
}

// Close closes the connection; only the first call changes the count. The count is
// lowered once the connection is closed, so that the target never sees another one
// before.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.client.openConnections.Add(-1)
	}
	return err
}

// Query sends a leaf query and verifies the reply. q.Header is shared by the
// leaves of one request, so it is never modified.
func (c *Client) Query(ctx context.Context, q *Query) Result {
	request := (&http.Request{
		Method:        http.MethodPost,
		URL:           c.queryURL,
		Host:          c.queryURL.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        q.Header,
		Body:          io.NopCloser(bytes.NewReader(q.Body)),
		ContentLength: int64(len(q.Body)),
		GetBody: func() (io.ReadCloser, error) {
			return io.NopCloser(bytes.NewReader(q.Body)), nil
		},
	}).WithContext(ctx)
	response, err := c.transport.Load().RoundTrip(request)
	if err != nil {
		return c.queryFailure(ctx, err)
	}
	result := c.readQueryReply(q, response)
	if result.Kind == KindReset && ctx.Err() != nil {
		return c.queryFailure(ctx, ctx.Err())
	}
	return result
}

// queryFailure classifies a transport error. Cancelling a request closes its
// connection, so in that case it also opens a spare one as a replacement.
func (c *Client) queryFailure(ctx context.Context, err error) Result {
	result := c.transportFailure(ctx, "query leaf", err)
	if result.Kind == KindCancelled {
		c.refillSpare()
	}
	return result
}

// Health requests the health report of the target.
func (c *Client) Health(ctx context.Context) (*targetproto.Health, error) {
	request := (&http.Request{
		Method: http.MethodGet, URL: c.healthURL, Host: c.healthURL.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
	}).WithContext(ctx)
	response, err := c.transport.Load().RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("read health of %s: %w", c.id, err)
	}
	return c.readHealth(response)
}

func (c *Client) transportFailure(ctx context.Context, step string, err error) Result {
	kind, code, ran := KindReset, failure.TargetFailed, failure.Unknown
	var dial *dialError
	switch {
	case errors.As(err, &dial) && errors.Is(err, errNoFreeConnection):
		kind, code, ran = KindBusy, failure.Overloaded, failure.NotRun
	case ctx.Err() != nil:
		kind, code = KindCancelled, failure.DeadlineExceeded
	case errors.As(err, &dial):
		kind, code, ran = KindUnreachable, failure.PeerUnreachable, failure.NotRun
	}
	return Result{Kind: kind, Err: failure.New(code, ran, step, string(c.id), "%w", err)}
}

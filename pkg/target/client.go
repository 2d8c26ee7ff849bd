// Package target is the client of the target protocol. It keeps the open
// connections to each target within this instance's grant and verifies every
// reply against its request.
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
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// maxReplyBytes bounds the body of one reply of a leaf.
	maxReplyBytes = 8 << 20
	// idleTimeout closes connections that no request has used.
	idleTimeout = 90 * time.Second
	// connectionBufferBytes is the size of the read and write buffers.
	connectionBufferBytes = 4 << 10
)

// Client sends requests to one target. It is safe for many goroutines.
type Client struct {
	id      model.TargetID
	leaf    model.LeafID
	leafTag string
	address netip.AddrPort

	queryURL  *url.URL
	orderURL  *url.URL
	healthURL *url.URL

	open atomic.Int64

	mu        sync.Mutex
	grant     int
	spare     spare
	refilling bool
	closed    bool
	transport atomic.Pointer[http.Transport]
}

// NewClient returns a client of t without any connection granted.
func NewClient(t model.Target) *Client {
	c := &Client{
		id:        t.ID,
		leaf:      t.Leaf,
		leafTag:   t.Leaf.String(),
		address:   t.Address,
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

// SetGrant bounds the connections that the client holds open. Connections
// above a smaller grant are closed once they are idle.
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
func (c *Client) OpenConnections() int { return int(c.open.Load()) }

// Close closes the idle connections; those in use close after their request.
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
	}
}

// errConnectionsUsed is returned by dial while every granted connection is open.
var errConnectionsUsed = errors.New("every granted connection is open")

// dial opens a connection within the grant. The count also covers connections
// of a transport that SetGrant has replaced.
func (c *Client) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if conn := c.takeSpare(); conn != nil {
		return conn, nil
	}
	if err := c.reserve(); err != nil {
		return nil, &dialError{err}
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		c.open.Add(-1)
		return nil, &dialError{err}
	}
	return &countedConn{Conn: conn, client: c}, nil
}

func (c *Client) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open.Load() >= int64(c.grant) {
		return errConnectionsUsed
	}
	c.open.Add(1)
	return nil
}

// dialError marks failures that arose before any byte was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return fmt.Sprintf("dial: %v", e.err) }
func (e *dialError) Unwrap() error { return e.err }

// countedConn lowers the count of open connections when it is closed.
type countedConn struct {
	net.Conn
	client *Client
	closed atomic.Bool
}

// Close closes the connection.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.client.open.Add(-1)
	}
	return c.Conn.Close()
}

// Query runs a leaf query and verifies the reply. The headers are shared
// between the leaves of one request and are only read.
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

// queryFailure also opens a connection in place of one that a cancelled
// request has closed.
func (c *Client) queryFailure(ctx context.Context, err error) Result {
	result := c.transportFailure(ctx, "query leaf", err)
	if result.Kind == KindCancelled {
		c.refill()
	}
	return result
}

// Health reads the health hint of the target.
func (c *Client) Health(ctx context.Context) (*targetproto.Health, error) {
	request := (&http.Request{
		Method: http.MethodGet, URL: c.healthURL, Host: c.healthURL.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
	}).WithContext(ctx)
	response, err := c.transport.Load().RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("read health of %s: %w", c.id, err)
	}
	return readHealth(c.id, response)
}

func (c *Client) transportFailure(ctx context.Context, step string, err error) Result {
	kind, code, ran := KindReset, failure.TargetFailed, failure.Unknown
	var dial *dialError
	switch {
	case errors.As(err, &dial) && errors.Is(err, errConnectionsUsed):
		kind, code, ran = KindBusy, failure.Overloaded, failure.NotRun
	case ctx.Err() != nil:
		kind, code = KindCancelled, failure.DeadlineExceeded
	case errors.As(err, &dial):
		kind, code, ran = KindUnreachable, failure.PeerUnreachable, failure.NotRun
	}
	return Result{Kind: kind, Err: failure.New(code, ran, step, string(c.id), "%w", err)}
}

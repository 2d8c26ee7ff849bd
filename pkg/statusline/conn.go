package statusline

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// phase is what a Conn expects to read.
type phase int

const (
	// body is all that does not matter here.
	body phase = iota
	// statusLine is the beginning of a reply.
	statusLine
	// interimHead is the rest of an interim head, after which another one begins.
	interimHead
	// failed is set once a malformed status line was read.
	failed
)

// maxLineBytes of a status line are looked at.
const maxLineBytes = prefixBytes + len(" \n")

// Conn is a client's connection that carries one request at a time. It checks the status
// line of the reply to each request. A malformed reply is replaced by bytes that no HTTP
// client accepts, since an error before the first byte would make net/http send the
// request again.
type Conn struct {
	net.Conn
	// requested is set when a request begins, and cleared when its reply does.
	requested atomic.Bool
	phase     phase
	// line is the part of the current line that matters.
	line []byte
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, line: make([]byte, 0, maxLineBytes)} }

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if beginsRequest(p) {
		c.requested.Store(true)
	}
	return c.Conn.Write(p)
}

// maxMethodBytes is the length of the longest method.
const maxMethodBytes = 7

// beginsRequest reports whether a write begins a request. A reply may begin before its
// request is written to the end, so that other writes say nothing about what is read.
func beginsRequest(p []byte) bool {
	for i, b := range p[:min(len(p), maxMethodBytes+1)] {
		if b < 'A' || b > 'Z' {
			return i > 0 && bytes.HasPrefix(p[i:], []byte(" /"))
		}
	}
	return false
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.phase == failed {
		return 0, ErrMalformed
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.phase == body && c.requested.Swap(false) {
		c.begin(statusLine)
	}
	if c.phase != body {
		c.check(p[:n])
	}
	if c.phase == failed {
		clear(p[:n])
	}
	return n, err
}

func (c *Conn) begin(p phase) { c.phase, c.line = p, c.line[:0] }

// check follows the bytes of heads until that of the final reply begins.
func (c *Conn) check(p []byte) {
	for _, b := range p {
		if b == '\n' {
			c.endLine()
		} else if len(c.line) < maxLineBytes {
			c.line = append(c.line, b)
		}
		if c.phase == statusLine && len(c.line) == maxLineBytes {
			c.checkLine(c.line)
		}
		if c.phase == body || c.phase == failed {
			return
		}
	}
}

func (c *Conn) endLine() {
	line := bytes.TrimSuffix(c.line, []byte("\r"))
	switch {
	case c.phase == statusLine:
		c.checkLine(line)
	case len(line) == 0:
		c.begin(statusLine)
		return
	}
	c.line = c.line[:0]
}

// checkLine checks a status line of which at least the part that matters was read. An
// interim one is looked at again at its end, in the phase of its head.
func (c *Conn) checkLine(line []byte) {
	status, err := Parse(line)
	switch {
	case err != nil:
		c.phase = failed
	case Interim(status):
		c.phase = interimHead
	default:
		c.phase = body
	}
}

// DialFunc opens a connection, as that of http.Transport does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport returns net/http's default transport with strict status lines. It is for
// plain HTTP/1.1.
func Transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	dial := DialFunc(t.DialContext)
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return t
}

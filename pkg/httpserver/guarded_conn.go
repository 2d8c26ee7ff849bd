package httpserver

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/clientlimit"
)

// http2Preface begins a connection of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2.0")

// deadlinesToHead is the number of read deadlines that the HTTP server sets from the end of
// a request until it reads the next head: one for the idle time, one for the head.
const deadlinesToHead = 2

const (
	// writeTimeout limits the time in which a client takes the bytes of one write, so that
	// a client that does not read its answer cannot hold it.
	writeTimeout = 10 * time.Second
	// minWriteRate, in bytes a second, adds to writeTimeout for long writes: a reply of
	// 8 MiB may share a link of 20 Mbit/s with others.
	minWriteRate = 256 << 10
	// maxTimedBytes bounds the length of a write that adds to its time.
	maxTimedBytes = 64 << 20
)

// timeToTake returns the time in which a client takes n bytes.
func timeToTake(n int) time.Duration {
	return writeTimeout + time.Duration(min(n, maxTimedBytes))*time.Second/minWriteRate
}

// guardedConn counts what a client holds through its connection.
type guardedConn struct {
	net.Conn
	guard *guard
	entry *clientlimit.Conn
	// inRequest is set from the end of a head until its request was answered.
	inRequest atomic.Bool
	// requests counts the requests of HTTP/2 in progress.
	requests atomic.Int64
	http2    atomic.Bool
	// arrived counts those of them that have arrived whole, and windowHeld is set once
	// the window for bodies is accounted for. The guard's lock protects both.
	arrived    int
	windowHeld bool
	// frames counts the requests of HTTP/2 as they are read. reserved is the number of
	// those that are accounted for and have not begun, or never will, since the HTTP server
	// answers them itself; the guard's lock protects it.
	frames   frameCounter
	reserved int64
	progress progress
	// head counts the bytes since the last request. allowed is the size of a head that is
	// accounted for.
	head, allowed atomic.Int64
	// lines counts the lines of the head; begun is set once another head may begin.
	lines lineCounter
	begun atomic.Bool
	// idleDeadlines counts down the read deadlines since the connection became idle.
	idleDeadlines atomic.Int32
	// matched counts the bytes of http2Preface read so far; -1 if others came.
	matched int
	// partial is set once a part of a head was read.
	partial   atomic.Bool
	closeOnce sync.Once
	// unread is set if the last request was answered before its whole body was read, and the
	// connection is to be closed after it.
	unread atomic.Bool
}

// NetConn returns the connection beneath.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.head.Load() > 0 && !c.inRequest.Load() && !c.http2.Load() {
		c.notePartial()
	}
	n, err := c.Conn.Read(p)
	if c.inRequest.Load() && !c.http2.Load() {
		c.lines.countAfter(p[:n])
		return n, err
	}
	if c.matched >= 0 && c.matched < len(http2Preface) {
		c.matchPreface(p[:n])
	}
	if c.matched >= 0 {
		c.reserveStreams(c.frames.count(p[:n]))
	}
	head := c.head.Add(int64(n))
	if err != nil && head > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.report.headRefused(headTimeout)
	}
	if before := head - int64(n); before <= c.guard.maxHead && head > c.guard.maxHead && !c.http2.Load() {
		c.guard.report.headRefused(headTooLong)
	}
	if !c.growHead(c.headSize(head, p[:n])) {
		_ = c.Close()
		return 0, errEvicted
	}
	return n, err
}

// SetReadDeadline implements net.Conn. It accounts for the part of a head that the HTTP
// server has read together with the request before it, and decodes now.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	if c.idleDeadlines.Load() > 0 && c.idleDeadlines.Add(-1) == 0 && c.head.Load() == 0 && !c.beginBufferedHead() {
		_ = c.Close()
		return errEvicted
	}
	return c.Conn.SetReadDeadline(t)
}

// beginBufferedHead accounts for a head of which a part has been read, and reports whether
// there was room.
func (c *guardedConn) beginBufferedHead() bool {
	c.notePartial()
	c.begun.Store(false)
	c.lines = c.lines.next()
	c.head.Store(bufferBytes)
	return c.growHead(bufferBytes + lineBytes*c.lines.lines)
}

// notePartial notes that a part of a head has arrived.
func (c *guardedConn) notePartial() {
	if !c.partial.Swap(true) {
		c.guard.update(func(t *clientlimit.Table) { t.Partial(c.entry) })
	}
}

// matchPreface notes whether the connection uses HTTP/2.
func (c *guardedConn) matchPreface(p []byte) {
	p = p[:min(len(p), len(http2Preface)-c.matched)]
	if !bytes.HasPrefix(http2Preface[c.matched:], p) {
		c.matched = -1
		return
	}
	if c.matched += len(p); c.matched == len(http2Preface) {
		c.http2.Store(true)
		if !c.grow(http2Bytes) {
			_ = c.Close()
		}
	}
}

// headSize returns the size of a head of n bytes, of which p are the last. The HTTP
// server refuses a head that is too long.
func (c *guardedConn) headSize(n int64, p []byte) int64 {
	size := min(n, c.guard.maxHead)
	if c.http2.Load() {
		return size
	}
	if c.begun.Swap(false) {
		c.lines = lineCounter{}
	}
	return size + lineBytes*c.lines.count(p)
}

// growHead accounts for a head of a size and reports whether there was room.
func (c *guardedConn) growHead(size int64) bool {
	allowed := c.allowed.Load()
	if size <= allowed {
		return true
	}
	next := allowed
	for next < size {
		next += min(next, maxHeadStep)
	}
	if c.http2.Load() {
		// Fewer bytes are those of control frames.
		c.notePartial()
	}
	if !c.grow(headFactor * (next - allowed)) {
		return false
	}
	c.allowed.Store(next)
	return true
}

// grow accounts for n more bytes and reports whether there was room.
func (c *guardedConn) grow(n int64) (ok bool) {
	c.guard.update(func(t *clientlimit.Table) { ok = t.Grow(c.entry, n) })
	return ok
}

func (c *guardedConn) shrink(n int64) {
	c.guard.update(func(t *clientlimit.Table) { t.Shrink(c.entry, n) })
}

// begin notes that the head of a request of HTTP/1.1 has arrived, and whether all of the
// request has. It fails if the connection was evicted before.
func (c *guardedConn) begin(whole bool) (ok bool) {
	c.beginHead()
	c.guard.update(func(t *clientlimit.Table) { ok = t.Begin(c.entry, whole) })
	return ok
}

// beginHead notes that the next bytes are not those of the head that has arrived.
func (c *guardedConn) beginHead() {
	c.inRequest.Store(true)
	c.partial.Store(false)
	c.resetHead()
}

func (c *guardedConn) resetHead() {
	c.head.Store(0)
	c.begun.Store(true)
}

// complete notes that the whole request has arrived.
func (c *guardedConn) complete() {
	c.guard.update(func(t *clientlimit.Table) { t.Complete(c.entry) })
}

// becomeIdle notes that no request is in progress, unless one of HTTP/2 has begun
// meanwhile: that one is counted before it takes the table's lock.
func (c *guardedConn) becomeIdle() {
	base := c.guard.base
	if c.http2.Load() {
		base += http2Bytes
	}
	c.guard.update(func(t *clientlimit.Table) {
		if c.requests.Load() > 0 {
			return
		}
		c.inRequest.Store(false)
		c.partial.Store(false)
		c.resetHead()
		c.allowed.Store(bufferBytes)
		c.windowHeld = false
		if !c.http2.Load() {
			c.idleDeadlines.Store(deadlinesToHead)
		}
		t.Idle(c.entry, base+c.reserved*streamBytes)
	})
}

// stalled reports whether the client takes no answer to its request, or to any of those
// of HTTP/2.
func (c *guardedConn) stalled() bool {
	requests := int64(1)
	if c.http2.Load() {
		requests = c.requests.Load()
	}
	return c.progress.stalled(requests)
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(timeToTake(len(p))))
	if !c.http2.Load() {
		c.progress.begin(len(p))
		defer c.progress.end()
	}
	n, err := c.Conn.Write(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.report.answerNotRead()
	}
	return n, err
}

// CloseWrite tells the client that nothing more comes, as net/http does before it closes a
// connection on which bytes may arrive.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// closeDelay is how long a connection stays open for writing by the client after an answer
// to a request that was not read to its end. Closing it at once would reset it, and the
// client could lose the answer.
const closeDelay = 500 * time.Millisecond

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	if c.unread.Swap(false) && c.CloseWrite() == nil {
		time.Sleep(closeDelay)
	}
	c.closeOnce.Do(func() {
		c.guard.update(func(t *clientlimit.Table) { t.Close(c.entry) })
	})
	return c.Conn.Close()
}

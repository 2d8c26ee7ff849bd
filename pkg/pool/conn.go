package pool

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
)

const (
	// readBufferBytes holds a usual reply.
	readBufferBytes = 2 << 10
	// requestBytes holds a usual request.
	requestBytes = 512
	// maxReplyBytes bounds the body of one reply.
	maxReplyBytes = 8 << 20
	// maxForeignReplies is how many replies to earlier requests are passed over
	// before the connection is given up.
	maxForeignReplies = 3
	// inlineWriteBytes is the longest request that is written by the caller's
	// goroutine; a longer one could block it.
	inlineWriteBytes = 8 << 10
	// writeTimeout bounds the writing of one request.
	writeTimeout = 5 * time.Second
	// keepAliveMargin is how long before the target closes an idle connection it
	// is used no more.
	keepAliveMargin = 500 * time.Millisecond
)

// Errors of an attempt.
var (
	// ErrNotSent means that no byte of the request left this instance.
	ErrNotSent = errors.New("the request was not sent")
	// ErrAbandoned means that this instance gave the attempt up.
	ErrAbandoned = errors.New("the attempt was given up")
)

// Result is how an attempt ended.
type Result struct {
	Reply *exchange.Reply
	// Err is set if there is no reply. It wraps ErrNotSent if the request
	// certainly did not run.
	Err error
}

// Attempt is one sending of a request to one target. Done is called once, from
// any goroutine.
type Attempt struct {
	Request *exchange.Request
	Order   exchange.Order
	Done    func(Result)

	// conn is set once the attempt has a connection.
	conn atomic.Pointer[conn]
	// abandoned is set once the attempt may no longer be sent.
	abandoned atomic.Bool
}

// Abandon closes the attempt's connection unless the reply comes within linger.
func (a *Attempt) Abandon(linger time.Duration) {
	if linger <= 0 {
		a.abandon()
		return
	}
	time.AfterFunc(linger, a.abandon)
}

func (a *Attempt) abandon() {
	a.abandoned.Store(true)
	if c := a.conn.Load(); c != nil && c.current() == a {
		c.fail(ErrAbandoned)
	}
}

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	pool *Pool
	net  net.Conn
	br   *bufio.Reader
	// uses counts the attempts that were started.
	uses atomic.Int64
	// replied is set with the first reply.
	replied atomic.Bool

	mu sync.Mutex
	// attempt is in progress; nil while the connection is idle.
	attempt *Attempt
	// writing is set while a request is being written.
	writing bool
	// releaseAfterWrite is set if the reply came before the request was written
	// to its end; no other request may follow until it is.
	releaseAfterWrite bool
	// foreign counts replies that were passed over since the last good one.
	foreign int
	closed  bool
	// usableUntil is when the target may close the idle connection; zero means
	// that it does not say.
	usableUntil time.Time
}

// start sends an attempt over the idle connection. It returns false if the
// connection is closed; nothing was sent then.
func (c *conn) start(a *Attempt) bool {
	c.mu.Lock()
	if c.closed || c.attempt != nil {
		c.mu.Unlock()
		return false
	}
	c.attempt, c.writing = a, true
	c.uses.Add(1)
	a.conn.Store(c)
	c.mu.Unlock()
	encoded := c.pool.codec.AppendRequest(make([]byte, 0, requestBytes), a.Request, a.Order)
	if len(encoded) > inlineWriteBytes {
		go c.write(encoded)
		return true
	}
	c.write(encoded)
	return true
}

func (c *conn) write(encoded []byte) {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(encoded)
	c.mu.Lock()
	c.writing = false
	release := c.releaseAfterWrite
	c.releaseAfterWrite = false
	c.mu.Unlock()
	switch {
	case err != nil:
		c.fail(fmt.Errorf("write request to %s: %w", c.pool.address, err))
	case release:
		c.pool.release(c)
	}
}

// readLoop reads replies until the connection ends. Between requests it waits
// for the target to close the connection.
func (c *conn) readLoop() {
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.fail(fmt.Errorf("read reply of %s: %w", c.pool.address, err))
			return
		}
		if !c.readReply() {
			return
		}
	}
}

// readReply reads one reply and reports whether the connection can be used on.
func (c *conn) readReply() bool {
	a := c.current()
	expect := exchange.Expect{MaxBody: maxReplyBytes}
	if a != nil {
		expect.Method, expect.Header = a.Request.Method, a.Request.WantHeader
	}
	reply, err := c.pool.codec.ReadReply(c.br, expect)
	if err != nil {
		c.fail(fmt.Errorf("read reply of %s: %w", c.pool.address, err))
		return false
	}
	if a == nil || reply.ID != "" && reply.ID != a.Request.ID {
		return c.discardReply(reply)
	}
	return c.finish(a, reply)
}

// discardReply drops a reply that belongs to no request in progress.
func (c *conn) discardReply(reply *exchange.Reply) bool {
	c.pool.foreign.Inc()
	c.foreign++
	if reply.Close || c.foreign > maxForeignReplies {
		c.fail(fmt.Errorf("connection to %s carries surplus replies", c.pool.address))
		return false
	}
	return true
}

// finish hands the reply over and frees the connection.
func (c *conn) finish(a *Attempt, reply *exchange.Reply) bool {
	c.foreign = 0
	c.replied.Store(true)
	c.mu.Lock()
	if c.attempt != a {
		c.mu.Unlock()
		return false
	}
	reusable := !reply.Close && !c.closed
	c.attempt = nil
	c.closed = !reusable
	c.releaseAfterWrite = reusable && c.writing
	release := reusable && !c.writing
	c.usableUntil = time.Time{}
	if reply.KeepAlive > 0 {
		c.usableUntil = time.Now().Add(reply.KeepAlive - keepAliveMargin)
	}
	c.mu.Unlock()
	switch {
	case release:
		c.pool.release(c)
	case !reusable:
		_ = c.net.Close()
		c.pool.remove(c)
	}
	a.Done(Result{Reply: reply})
	return reusable
}

func (c *conn) current() *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt
}

// fail closes the connection and ends the attempt in progress.
func (c *conn) fail(err error) {
	c.mu.Lock()
	a := c.attempt
	wasClosed := c.closed
	c.attempt, c.closed = nil, true
	c.mu.Unlock()
	if !wasClosed {
		_ = c.net.Close()
	}
	c.pool.remove(c)
	if !c.replied.Load() {
		c.pool.resetGuard.recordError(err)
	}
	if a != nil {
		a.Done(Result{Err: err})
	}
}

// usable reports whether an idle connection may carry another request.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.attempt == nil && (c.usableUntil.IsZero() || now.Before(c.usableUntil))
}

// connectError wraps the failure to connect; the request was not sent.
func connectError(id model.TargetID, address string, err error) error {
	return fmt.Errorf("connect to %s at %s: %w: %w", id, address, ErrNotSent, err)
}

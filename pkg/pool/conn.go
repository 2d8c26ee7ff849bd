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
	"radishturn.example/radishturn/pkg/membudget"
)

const (
	// readBufferBytes is large enough for a typical reply.
	readBufferBytes = 2 << 10
	// requestBytes is large enough for a typical request.
	requestBytes = 512
	// maxReplyBytes bounds the body of a reply to a request that states no other bound.
	maxReplyBytes = 8 << 20
	// maxForeignBytes bounds the body of a foreign reply.
	maxForeignBytes = 64 << 10
	// maxForeignReplies is the number of consecutive foreign replies that are
	// discarded before the connection is closed. A foreign reply is one that does not
	// belong to the request in progress, such as a late reply to an earlier request.
	maxForeignReplies = 3
	// inlineWriteBytes is the maximum size of a request that is written on the
	// caller's goroutine; a larger one could block it.
	inlineWriteBytes = 8 << 10
	// writeTimeout bounds the writing of one request.
	writeTimeout = 5 * time.Second
	// keepAliveMargin is how long before the target would close an idle connection
	// it is no longer used.
	keepAliveMargin = 500 * time.Millisecond
)

// Errors of an attempt.
var (
	// ErrNotSent means that no byte of the request left this instance. It is also
	// the reason with which idle and surplus connections are closed.
	ErrNotSent = errors.New("request was not sent")
	// ErrAbandoned means that this instance abandoned the attempt.
	ErrAbandoned = errors.New("attempt was abandoned")
	// ErrWithdrawn means that the target must no longer be sent the request; see
	// Attempt.Withdrawn.
	ErrWithdrawn = errors.New("request was withdrawn while it waited for a connection")
)

// Result is the result of an attempt.
type Result struct {
	Reply *exchange.Reply
	// Err is set if there is no reply. It wraps ErrNotSent if the request
	// certainly did not run.
	Err error
}

// Attempt is one attempt to send a request to one target. Done is called once, on
// any goroutine.
type Attempt struct {
	Request *exchange.Request
	Params  exchange.TargetParams
	Done    func(Result)
	// Withdrawn reports whether the request must no longer be sent. It is called right
	// before the request is written if it has waited for a connection; nil means never.
	Withdrawn func() bool

	// conn is set once the attempt has a connection.
	conn atomic.Pointer[conn]
	// abandoned is set once the attempt must not be sent any more.
	abandoned atomic.Bool
	// reused is set if the attempt was started on an idle connection.
	reused bool
	// memory is what the reply takes of the process's memory for messages.
	memory membudget.Reservation
	// outgoing is what the request takes until it is written, and held its bytes, which
	// are guarded by the mutex of the pool.
	outgoing membudget.Reservation
	held     int
}

// unwanted returns why an attempt that has waited for a connection must not be sent, or
// nil.
func (a *Attempt) unwanted() error {
	switch {
	case a.abandoned.Load():
		return ErrAbandoned
	case a.Withdrawn != nil && a.Withdrawn():
		return ErrWithdrawn
	}
	return nil
}

// Reused reports whether the attempt was sent on a connection that was open already. It
// may be called from Done on.
func (a *Attempt) Reused() bool { return a.reused }

// Release returns the memory that the reply takes. It is called once the reply is no
// longer used, or its result is no longer waited for.
func (a *Attempt) Release() { a.memory.Release() }

// Abandon closes the attempt's connection unless the reply arrives within linger.
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
	// br reads from reader.
	br     *bufio.Reader
	reader *replyReader
	// uses counts the attempts that were started.
	uses atomic.Int64
	// replied is set by the first reply.
	replied atomic.Bool

	mu sync.Mutex
	// attempt is the attempt in progress; nil while the connection is idle.
	attempt *Attempt
	// sent is when the attempt in progress began.
	sent time.Time
	// writing is set while a request is being written.
	writing bool
	// releaseAfterWrite is set if the reply arrived before the request was fully
	// written; the connection cannot be reused until it is.
	releaseAfterWrite bool
	// foreign counts the foreign replies since the last reply to a request in
	// progress.
	foreign int
	// receiving is set while bytes arrive although no request is in progress.
	receiving bool
	// reading is what the reply that is being read takes of the process's memory.
	reading *membudget.Reservation
	closed  bool
	// usableUntil is when the idle connection must no longer be used, because the
	// target may close it; zero if the target has stated no time.
	usableUntil time.Time
}

// start sends an attempt over the idle connection. It returns false, and sends
// nothing, if the connection is closed or in use.
func (c *conn) start(a *Attempt) bool {
	c.mu.Lock()
	if c.closed || c.receiving || c.attempt != nil {
		c.mu.Unlock()
		return false
	}
	c.attempt, c.writing, c.sent = a, true, time.Now()
	c.uses.Add(1)
	a.conn.Store(c)
	c.mu.Unlock()
	encoded := c.pool.codec.AppendRequest(make([]byte, 0, requestBytes), a.Request, a.Params)
	if len(encoded) > inlineWriteBytes {
		go c.write(a, encoded)
		return true
	}
	c.write(a, encoded)
	return true
}

func (c *conn) write(a *Attempt, encoded []byte) {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(encoded)
	c.pool.releaseRequest(a)
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

// readLoop reads replies until the connection ends. Between requests it detects
// that the target closes the connection.
func (c *conn) readLoop() {
	for {
		c.reader.begin(0)
		if _, err := c.br.Peek(1); err != nil {
			c.fail(fmt.Errorf("read reply from %s: %w", c.pool.address, err))
			return
		}
		if !c.readReply() {
			return
		}
	}
}

// readReply reads one reply and reports whether to read another one.
func (c *conn) readReply() bool {
	reading := new(membudget.Reservation)
	a := c.receive(reading)
	expect := replyOptions(a)
	expect.Space = membudget.Space{Budget: c.pool.memory, Reservation: reading, Assured: a != nil}
	c.reader.begin(expect.MaxBody)
	reply, err := c.pool.codec.ReadReply(c.br, expect)
	if err != nil {
		reading.Release()
		c.recordCut(a, err)
		c.fail(fmt.Errorf("read reply from %s: %w", c.pool.address, err))
		return false
	}
	if a == nil || reply.ID != "" && reply.ID != a.Request.ID {
		reading.Release()
		return c.discardForeignReply(reply)
	}
	if c.truncated(reply, c.sentAt()) {
		reading.Release()
		c.fail(fmt.Errorf("read reply from %s: %w", c.pool.address, errTruncated))
		return false
	}
	return c.finish(a, reply, reading)
}

// replyOptions returns how the reply to an attempt is read, or foreign bytes if there is
// none.
func replyOptions(a *Attempt) exchange.ReplyOptions {
	if a == nil {
		return exchange.ReplyOptions{MaxBody: maxForeignBytes}
	}
	o := exchange.ReplyOptions{Method: a.Request.Method, WantHeader: a.Request.WantHeader, MaxBody: maxReplyBytes}
	if a.Request.MaxReplyBytes > 0 {
		o.MaxBody = a.Request.MaxReplyBytes
	}
	return o
}

// discardForeignReply discards a foreign reply and reports whether the connection
// stays open.
func (c *conn) discardForeignReply(reply *exchange.Reply) bool {
	c.pool.foreign.Inc()
	c.mu.Lock()
	c.receiving = false
	c.mu.Unlock()
	c.foreign++
	if reply.Close || c.foreign > maxForeignReplies {
		c.fail(fmt.Errorf("connection to %s ended by a foreign reply", c.pool.address))
		return false
	}
	return true
}

// finish delivers the reply, which takes the memory that reading holds, and releases the
// connection.
func (c *conn) finish(a *Attempt, reply *exchange.Reply, reading *membudget.Reservation) bool {
	c.foreign = 0
	c.replied.Store(true)
	c.mu.Lock()
	if c.attempt != a {
		c.mu.Unlock()
		reading.Release()
		return false
	}
	a.memory.Adopt(reading)
	reusable := !reply.Close && !c.closed
	c.attempt = nil
	c.closed = !reusable
	c.releaseAfterWrite = reusable && c.writing
	release := reusable && !c.writing
	// What came after the reply belongs to no request that is yet to start.
	c.receiving = c.br.Buffered() > 0
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

// receive returns the attempt in progress, to which the bytes that arrive belong. If
// there is none, no attempt may start until they are read. Their memory is held by
// reading, and returned when the connection fails.
func (c *conn) receive(reading *membudget.Reservation) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.receiving = c.attempt == nil
	return c.attempt
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
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
	reading := c.reading
	c.mu.Unlock()
	if reading != nil {
		reading.Release()
	}
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
	return !c.closed && !c.receiving && c.attempt == nil && (c.usableUntil.IsZero() || now.Before(c.usableUntil))
}

package pool

import (
	"bufio"
	"net"
	"time"
)

// openConnection opens a connection; the caller has already called beginOpening. While
// resets are expected, it returns once the connection has outlived the time within which
// one arrives.
func (p *Pool) openConnection() (*conn, error) {
	p.opened.Inc()
	began := time.Now()
	raw, err := p.dialTarget(p.address, connectTimeout)
	opening := time.Since(began)
	c, limited, err := p.addConnection(raw, err)
	if err != nil {
		err = p.openFailed(err)
		p.freed()
		return nil, err
	}
	if !limited && !p.resetGuard.Active() {
		c.leaveTrial()
		return c, nil
	}
	wait := time.NewTimer(resetWait(opening))
	defer wait.Stop()
	select {
	case <-c.ended:
		return nil, c.endedUnused()
	case <-wait.C:
	}
	c.accept()
	if limited {
		p.resetGuard.recordLimit()
	}
	return c, nil
}

// testAfter opens a connection after a pause if the pool has none then. It shows whether a
// target that has reset a connection on which a request was sent is alive or has ended,
// perhaps by the request.
func (p *Pool) testAfter(pause time.Duration) {
	time.AfterFunc(pause, func() {
		if p.Connections() > 0 {
			p.resetGuard.recordLimit()
			return
		}
		// The result is recorded by openConnection.
		_ = p.Preconnect()
	})
}

// addConnection adds a connection that was opened to the pool. limited is set if the
// target has reset connections.
func (p *Pool) addConnection(raw net.Conn, dialErr error) (c *conn, limited bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if dialErr != nil {
		return nil, false, dialErr
	}
	if p.closed {
		_ = raw.Close()
		return nil, false, net.ErrClosed
	}
	reader := &replyReader{conn: raw}
	c = &conn{pool: p, net: raw, reader: reader, br: bufio.NewReaderSize(reader, readBufferBytes), ended: make(chan struct{})}
	c.trial.opened = time.Now()
	p.open[c] = true
	go c.readLoop()
	return c, p.limiter.limited(), nil
}

// canOpen reports whether a new connection may be opened. p.mu must be held.
func (p *Pool) canOpen(now time.Time) bool {
	return !p.closed && len(p.open)+p.opening < p.limit && p.limiter.allows(now)
}

// beginOpening counts a connection as opening. p.mu must be held.
func (p *Pool) beginOpening() {
	p.opening++
	p.limiter.begin()
}

// OpenPause returns how long no new connection may be opened since the target has reset
// one; 0 if one may be opened.
func (p *Pool) OpenPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.limiter.allows(now) {
		return 0
	}
	return max(p.limiter.pauseLeft(now), minResetWait)
}

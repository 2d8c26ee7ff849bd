package target

import (
	"context"
	"net"
	"time"
)

const (
	// spareTimeout bounds the dial of a spare connection.
	spareTimeout = time.Second
	// spareMaxAge is how long a spare connection is kept before it may have been
	// closed by the target.
	spareMaxAge = 10 * time.Second
)

// spare is a connection that was opened ahead of its use. Cancelling a request
// closes its connection, and targets take milliseconds to accept another one;
// a spare keeps the next request from waiting for that.
type spare struct {
	conn   net.Conn
	opened time.Time
}

// takeSpare returns the spare connection, if there is one that is young enough.
func (c *Client) takeSpare() net.Conn {
	c.mu.Lock()
	s := c.spare
	c.spare = spare{}
	c.mu.Unlock()
	if s.conn == nil || time.Since(s.opened) < spareMaxAge {
		return s.conn
	}
	_ = s.conn.Close()
	return nil
}

// refill opens a spare connection in the background after one was closed,
// unless there is one, or one is being opened.
func (c *Client) refill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.refilling || c.spare.conn != nil || c.open.Load() >= int64(c.grant) {
		return
	}
	c.refilling = true
	c.open.Add(1)
	go c.openSpare()
}

func (c *Client) openSpare() {
	ctx, cancel := context.WithTimeout(context.Background(), spareTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address.String())
	c.mu.Lock()
	c.refilling = false
	keep := err == nil && !c.closed
	if keep {
		c.spare = spare{conn: &countedConn{Conn: conn, client: c}, opened: time.Now()}
	}
	c.mu.Unlock()
	if keep {
		return
	}
	c.open.Add(-1)
	if err == nil {
		_ = conn.Close()
	}
}

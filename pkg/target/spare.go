package target

import (
	"context"
	"net"
	"time"

	"radishturn.example/radishturn/pkg/statusline"
)

const (
	// spareDialTimeout limits the dial of a spare connection.
	spareDialTimeout = time.Second
	// spareMaxAge is the age from which a spare connection is no longer used,
	// because the target may have closed it.
	spareMaxAge = 10 * time.Second
)

// spareConnection is a connection that was opened ahead of its use. Cancelling a
// request closes its connection, and targets take milliseconds to accept another
// one; with a spare connection the next request does not wait for that.
type spareConnection struct {
	conn   net.Conn
	opened time.Time
}

// takeSpare returns the spare connection, or nil if there is none or it is older
// than spareMaxAge.
func (c *Client) takeSpare() net.Conn {
	c.mu.Lock()
	s := c.spare
	c.spare = spareConnection{}
	c.mu.Unlock()
	if s.conn == nil || time.Since(s.opened) < spareMaxAge {
		return s.conn
	}
	_ = s.conn.Close()
	return nil
}

// refillSpare opens a spare connection in the background, unless one is present
// or being opened, the client is closed, or the grant is used up.
func (c *Client) refillSpare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.openingSpare || c.spare.conn != nil || c.openConnections.Load() >= int64(c.grant) {
		return
	}
	c.openingSpare = true
	c.openConnections.Add(1)
	go c.openSpare()
}

func (c *Client) openSpare() {
	ctx, cancel := context.WithTimeout(context.Background(), spareDialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address.String())
	c.mu.Lock()
	c.openingSpare = false
	keep := err == nil && !c.closed
	if keep {
		c.spare = spareConnection{conn: &countedConn{Conn: statusline.NewConn(conn), client: c}, opened: time.Now()}
	}
	c.mu.Unlock()
	if keep {
		return
	}
	c.openConnections.Add(-1)
	if err == nil {
		_ = conn.Close()
	}
}

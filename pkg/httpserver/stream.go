package httpserver

import "radishturn.example/radishturn/pkg/clientlimit"

// stream is one request of HTTP/2 in progress. Its connection is incomplete while it has
// requests, none of which has arrived whole.
type stream struct {
	conn *guardedConn
	// arrived is set once the whole request has arrived; the guard's lock protects it.
	arrived bool
	// reserved is what was accounted for when its first frame was read.
	reserved int64
}

// begin notes that the head of the request has arrived, and whether all of it has. It
// fails if the connection was evicted before.
func (s *stream) begin(whole bool) (ok bool) {
	c := s.conn
	c.beginHead()
	c.guard.update(func(t *clientlimit.Table) {
		if whole {
			s.countArrived(1)
		}
		if c.reserved > 0 {
			c.reserved--
			s.reserved = streamBytes
		}
		ok = t.Begin(c.entry, c.arrived > 0)
	})
	return ok
}

// complete notes that the whole request has arrived.
func (s *stream) complete() {
	s.conn.guard.update(func(t *clientlimit.Table) {
		if !s.arrived {
			s.countArrived(1)
		}
		t.Complete(s.conn.entry)
	})
}

// end notes that the request has ended.
func (s *stream) end() {
	c := s.conn
	c.guard.update(func(t *clientlimit.Table) {
		if s.arrived {
			s.countArrived(-1)
		}
		if c.requests.Load() > 1 && c.arrived == 0 {
			t.Begin(c.entry, false)
		}
	})
	c.endHTTP2()
}

func (s *stream) countArrived(n int) {
	s.arrived = n > 0
	s.conn.arrived += n
}

// reserveStreams accounts for n requests whose first frames were read, up to the number
// that may be in progress. Those for which there is no room are refused when they begin.
func (c *guardedConn) reserveStreams(n int64) {
	if n == 0 {
		return
	}
	c.guard.update(func(t *clientlimit.Table) {
		n = min(n, maxHTTP2Requests-c.reserved)
		if t.Grow(c.entry, n*streamBytes) {
			c.reserved += n
		}
	})
}

// holdWindow accounts for the bytes of bodies that the HTTP server holds for one
// connection, until it is idle, and reports whether there was room.
func (c *guardedConn) holdWindow() (ok bool) {
	c.guard.update(func(t *clientlimit.Table) {
		ok = c.windowHeld || t.Grow(c.entry, http2BodyBytes)
		c.windowHeld = ok
	})
	return ok
}

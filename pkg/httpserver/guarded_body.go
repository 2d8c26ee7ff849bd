package httpserver

import (
	"errors"
	"io"
)

// guardedBody notes when the body of a request has arrived, or is cut.
type guardedBody struct {
	io.ReadCloser
	conn *guardedConn
	// arrived is called when the whole body was read.
	arrived func()
	done    bool
	// read counts the bytes, of which allowed are accounted for until the request ends.
	read, allowed int64
}

func newGuardedBody(body io.ReadCloser, c *guardedConn, arrived func()) *guardedBody {
	return &guardedBody{ReadCloser: body, conn: c, arrived: arrived, allowed: bufferBytes}
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if !b.grow() {
		return 0, errEvicted
	}
	if err != nil && !b.done {
		b.done = true
		b.end(err)
	}
	return n, err
}

// grow accounts for the bytes read and reports whether there was room. A handler that
// collects them holds up to twice as many.
func (b *guardedBody) grow() bool {
	next := b.allowed
	for next < b.read {
		next *= 2
	}
	if next > b.allowed && !b.conn.grow(next-b.allowed) {
		return false
	}
	b.allowed = next
	return true
}

func (b *guardedBody) end(err error) {
	if !errors.Is(err, io.EOF) {
		b.conn.guard.report.bodyRefused(err)
		return
	}
	b.arrived()
	if !b.conn.guard.keepBodies {
		b.release()
	}
}

// release returns what is accounted for.
func (b *guardedBody) release() {
	b.conn.shrink(b.allowed - bufferBytes)
	b.allowed = bufferBytes
}

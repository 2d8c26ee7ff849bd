package pool

import (
	"net"

	"radishturn.example/radishturn/pkg/exchange"
)

const (
	// headAllowance is how many bytes of a reply may be read besides its body, for the
	// head and the framing of short bodies.
	headAllowance = 64 << 10
	// bodyAllowance times the maximum length of the body bounds the bytes of a reply,
	// since the framing of a body in chunks takes space too.
	bodyAllowance = 2
)

// replyReader reads replies from a connection and bounds the bytes of each one,
// whatever they are: a reply to a request, or bytes that nobody asked for. It is used by
// the connection's read loop alone.
type replyReader struct {
	conn net.Conn
	// left is how many bytes of the current reply may still be read.
	left int64
}

// begin starts a new reply whose body has at most maxBody bytes.
func (r *replyReader) begin(maxBody int) { r.left = headAllowance + bodyAllowance*int64(maxBody) }

// Read implements io.Reader.
func (r *replyReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, exchange.ErrReplyTooLong
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

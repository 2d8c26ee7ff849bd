package pool

import (
	"errors"
	"net"

	"radishturn.example/radishturn/pkg/membudget"
)

const (
	// headAllowance is how many bytes of a reply may be read besides its body, for the
	// head and the framing of short bodies.
	headAllowance = 64 << 10
	// bodyAllowance times the maximum length of the body bounds the bytes of a reply,
	// since the framing of a body in chunks takes space too.
	bodyAllowance = 2
	// unreservedBytes is how much of a reply is read without a reservation.
	unreservedBytes = 32 << 10
)

// errReplyTooLong means that the target sent more bytes than a reply may have, such as
// a head or a body without an end.
var errReplyTooLong = errors.New("reply is too long")

// replyReader reads replies from a connection and bounds the bytes of each one,
// whatever they are: a reply to a request, or bytes that nobody asked for. The bytes of
// long replies are reserved in the memory budget of the process. It is used by the
// connection's read loop alone.
type replyReader struct {
	conn net.Conn
	// memory is the budget of the process.
	memory *membudget.Budget
	// attempt is the attempt whose reply is read; nil while there is none.
	attempt *Attempt
	// left is how many bytes of the current reply may still be read; read counts
	// those that were.
	left, read int64
}

// begin starts a new reply whose body has at most maxBody bytes.
func (r *replyReader) begin(a *Attempt, maxBody int) {
	r.attempt = a
	r.left, r.read = headAllowance+bodyAllowance*int64(maxBody), 0
}

// Read implements io.Reader.
func (r *replyReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errReplyTooLong
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.read += int64(n)
	if r.attempt == nil || r.read <= unreservedBytes {
		return n, err
	}
	if full := r.attempt.memory.Grow(r.memory, int64(n)); full != nil {
		return 0, full
	}
	return n, err
}

// Package exchange defines requests to targets and their replies, independent of
// the wire encoding, which a platform supplies as a Codec. Targets that speak the
// protocol of package targetproto are reached with package target instead.
package exchange

import (
	"bufio"
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a caller's request as it is sent to targets.
type Request struct {
	// ID identifies the caller's request; targets repeat it in replies.
	ID     model.RequestID
	Method string
	Host   string
	// URI is the path and query string as the caller sent them.
	URI string
	// Header holds the end-to-end header fields.
	Header []Field
	Body   []byte
	// WantHeader requests the header fields of the reply.
	WantHeader bool
	// MaxReplyBytes bounds the body of a reply; 0 means that the pool's bound applies.
	MaxReplyBytes int
	// Encoded is the part that is the same for all targets, set by Codec.Prepare.
	Encoded []byte
}

// TargetParams holds the parameters of a request that differ by target.
type TargetParams struct {
	// Target is the only target that may run the request.
	Target model.TargetID
	// Timeout limits how long the target may work on the request.
	Timeout time.Duration
}

// Load is the load that a target reports.
type Load struct {
	// Known is false if the reply did not state the load.
	Known bool
	// Running and Waiting count requests; MaxRunning is the target's limit of
	// Running.
	Running, Waiting, MaxRunning int
	// Pace is how long work takes at the target now, as a multiple of the usual time; 0
	// if not stated.
	Pace float64
}

// Reply is a target's reply.
type Reply struct {
	Status int
	// Header holds the end-to-end header fields.
	Header []Field
	Body   []byte
	// ID repeats the ID of the request.
	ID model.RequestID
	// Signature proves that the target itself produced the reply; empty if there is
	// none.
	Signature string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if the request was addressed to another target. It was not
	// run.
	WrongTarget bool
	// Leaving is set if the target states that it is going to stop.
	Leaving bool
	// RetryAfter is how long the target wants no request after one that it did not run;
	// 0 if not stated.
	RetryAfter time.Duration
	Load       Load
	// Close is set if the target closes the connection after the reply.
	Close bool
	// UntilClose is set if the body ended with the connection, so that nothing shows
	// whether the target sent all of it.
	UntilClose bool
	// KeepAlive is how long an idle connection stays open; 0 if not stated.
	KeepAlive time.Duration
}

// OK reports whether the reply is a success that the target itself produced.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.NotRun }

// ReplyOptions controls how a reply is read.
type ReplyOptions struct {
	// Method is the method of the request; replies to some methods have no body.
	Method string
	// MaxBody is the maximum length of the body in bytes.
	MaxBody int
	// WantHeader requests Reply.Header.
	WantHeader bool
	// Space is the room for the body.
	Space membudget.Space
}

// ErrReplyTooLong means that a target sent more bytes than a reply may have, such as a
// head or a body without an end.
var ErrReplyTooLong = errors.New("reply is too long")

// Codec encodes requests and decodes replies. It is stateless.
type Codec interface {
	// Prepare encodes the part that is the same for all targets into r.Encoded. It
	// must be called before the first AppendRequest.
	Prepare(r *Request)
	// AppendRequest appends the encoded request to dst.
	AppendRequest(dst []byte, r *Request, o TargetParams) []byte
	// ReadReply reads one complete reply.
	ReadReply(br *bufio.Reader, e ReplyOptions) (*Reply, error)
}

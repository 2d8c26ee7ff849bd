// Package exchange defines what a target is sent and what it replies,
// independent of how either is encoded.
package exchange

import (
	"bufio"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a caller's request as targets receive it.
type Request struct {
	// ID is the caller's name for this attempt; targets repeat it in replies.
	ID     model.RequestID
	Method string
	Host   string
	// URI is the path and query as the caller sent them.
	URI string
	// Header holds the fields that go from end to end.
	Header []Field
	Body   []byte
	// WantHeader asks for the header of the reply.
	WantHeader bool
	// Encoded is what Codec.Prepare worked out for all targets.
	Encoded []byte
}

// TargetParams is what one target is told beside the request.
type TargetParams struct {
	// Target is the only one that may run the request.
	Target model.TargetID
	// Timeout is how long the target may work on it.
	Timeout time.Duration
}

// Load is what a target tells of its work.
type Load struct {
	// Known is false if the reply did not tell.
	Known bool
	// Running and Waiting count requests; Slots bounds Running.
	Running, Waiting, Slots int
}

// Reply is a target's reply.
type Reply struct {
	Status int
	// Header holds the fields that go from end to end.
	Header []Field
	Body   []byte
	// ID repeats the request's.
	ID model.RequestID
	// Signature proves that the target made this reply; empty if there is none.
	Signature string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if the request named another target. It was not run.
	WrongTarget bool
	Load        Load
	// Close is set if the target closes the connection after the reply.
	Close bool
	// KeepAlive is how long an idle connection stays open; 0 if not stated.
	KeepAlive time.Duration
}

// OK reports whether the reply is a complete success of the target itself.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.NotRun }

// ReplyOptions says what a reply may be.
type ReplyOptions struct {
	// Method is the request's; some have replies without a body.
	Method string
	// MaxBody bounds the body in bytes.
	MaxBody int
	// WantHeader asks for Reply.Header.
	WantHeader bool
}

// Codec encodes requests and decodes replies. It holds no state.
type Codec interface {
	// Prepare encodes what is the same for all targets into r.Encoded. It comes
	// before the first AppendRequest.
	Prepare(r *Request)
	AppendRequest(dst []byte, r *Request, o TargetParams) []byte
	// ReadReply reads one whole reply.
	ReadReply(br *bufio.Reader, e ReplyOptions) (*Reply, error)
}

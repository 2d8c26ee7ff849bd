package target

import (
	"errors"
	"fmt"
	json "github.com/segmentio/encoding/json"
	"io"
	"net/http"
	"strconv"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Kind classifies the result of one request to a target.
type Kind int

// Kinds of results.
const (
	// KindOK is a verified reply.
	KindOK Kind = iota
	// KindShed is a refusal by an overloaded target; not run.
	KindShed
	// KindDraining is a refusal by a target that is about to stop; not run.
	KindDraining
	// KindNotHeld is a refusal by a target that does not hold the snapshot; not run.
	KindNotHeld
	// KindBusy means that every granted connection is in use, or that sending the
	// order was no longer allowed; not run.
	KindBusy
	// KindUnreachable means that no connection could be made; not run.
	KindUnreachable
	// KindReset means that the exchange failed after a connection existed, so that
	// the request may have run.
	KindReset
	// KindFailed is a reply with an error status.
	KindFailed
	// KindMismatched is a reply that does not match its request.
	KindMismatched
	// KindCancelled means that this instance cancelled the request.
	KindCancelled
)

var kindNames = [...]string{
	"ok", "shed", "draining", "not-held", "busy", "unreachable", "reset", "failed", "mismatched", "cancelled",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// NotRun reports whether the kind proves that the target did not run the request.
func (k Kind) NotRun() bool { return k >= KindShed && k <= KindUnreachable }

// Query is one leaf's part of a caller's request.
type Query struct {
	Request  model.RequestID
	Snapshot model.SnapshotID
	// Documents is the leaf's document count in model.Snapshot.Leaves.
	Documents int
	// Header holds the protocol headers; see NewHeader.
	Header http.Header
	Body   []byte
}

// Meta holds what a target reports about itself in the headers of a reply.
type Meta struct {
	Version model.VersionID
	Boot    model.BootID
	State   targetproto.State
}

// Result is the result of one request to a target.
type Result struct {
	Kind  Kind
	Meta  Meta
	Reply *targetproto.QueryReply
	// Err is nil for KindOK.
	Err *failure.Error
}

// NewHeader returns the headers of a leaf query.
func NewHeader(request model.RequestID, snapshot model.SnapshotID, route model.Route, attempt int, remainingMillis int64) http.Header {
	return http.Header{
		targetproto.HeaderRequest:  {string(request)},
		targetproto.HeaderAttempt:  {strconv.Itoa(attempt)},
		targetproto.HeaderDeadline: {strconv.FormatInt(remainingMillis, 10)},
		targetproto.HeaderSnapshot: {string(snapshot)},
		targetproto.HeaderRoute:    {string(route)},
		"Content-Type":             {"application/json"},
	}
}

func (c *Client) readQueryReply(q *Query, response *http.Response) Result {
	defer response.Body.Close()
	result := Result{Meta: metaFromHeader(response.Header)}
	if response.StatusCode != http.StatusOK {
		c.readErrorReply(&result, "query leaf", response)
		return result
	}
	if err := c.verifyHeader(q, response); err != nil {
		c.setMismatch(&result, err)
		return result
	}
	reply := new(targetproto.QueryReply)
	switch err := c.decodeBody(response, reply); {
	case errors.Is(err, errBodyInvalid):
		c.setMismatch(&result, err)
		return result
	case err != nil:
		result.Kind = KindReset
		result.Err = failure.New(failure.TargetFailed, failure.Unknown, "query leaf", string(c.id), "%w", err)
		return result
	}
	if err := VerifyReply(q, c.leaf, reply); err != nil {
		c.setMismatch(&result, err)
		return result
	}
	result.Reply = reply
	return result
}

func (c *Client) setMismatch(result *Result, err error) {
	result.Kind = KindMismatched
	result.Err = failure.New(failure.MismatchedReply, failure.Unknown, "verify reply", string(c.id), "%w", err)
}

func metaFromHeader(h http.Header) Meta {
	return Meta{
		Version: model.VersionID(h.Get(targetproto.HeaderVersion)),
		Boot:    model.BootID(h.Get(targetproto.HeaderBoot)),
		State:   targetproto.State(h.Get(targetproto.HeaderState)),
	}
}

// readErrorReply classifies a reply with an error status. Only the refusal header
// proves that the request was not run; a 503 without it may come from any server.
func (c *Client) readErrorReply(result *Result, step string, response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, connectionBufferBytes)
	refusal := targetproto.Refusal(response.Header.Get(targetproto.HeaderRefusal))
	code, ran := failure.TargetFailed, failure.NotRun
	switch {
	case response.StatusCode == http.StatusConflict && refusal == targetproto.RefusalNotHeld:
		result.Kind, code = KindNotHeld, failure.NotHeld
	case response.StatusCode == http.StatusServiceUnavailable && refusal == targetproto.RefusalShed:
		result.Kind, code = KindShed, failure.TargetShed
	case response.StatusCode == http.StatusServiceUnavailable && refusal == targetproto.RefusalDraining:
		result.Kind, code = KindDraining, failure.Draining
	default:
		result.Kind, ran = KindFailed, failure.Unknown
	}
	result.Err = failure.New(code, ran, step, string(c.id), "status %d %s", response.StatusCode, refusal)
}

func (c *Client) verifyHeader(q *Query, response *http.Response) error {
	h := response.Header
	for _, name := range []string{targetproto.HeaderRequest, targetproto.HeaderSnapshot, targetproto.HeaderLeaf} {
		if n := len(h.Values(name)); n > 1 {
			return fmt.Errorf("reply with %d fields %s", n, name)
		}
	}
	if got := h.Get(targetproto.HeaderRequest); got != string(q.Request) {
		return fmt.Errorf("reply for request %q", got)
	}
	if got := h.Get(targetproto.HeaderSnapshot); got != string(q.Snapshot) {
		return fmt.Errorf("reply from snapshot %q instead of %q", got, q.Snapshot)
	}
	if got := h.Get(targetproto.HeaderLeaf); got != c.leafName {
		return fmt.Errorf("reply of leaf %q", got)
	}
	if response.ContentLength < 0 || response.ContentLength > maxReplyBytes {
		return fmt.Errorf("reply with content length %d", response.ContentLength)
	}
	return nil
}

// VerifyReply checks the body of a leaf's reply against its request and the
// document count in model.Snapshot.Leaves.
func VerifyReply(q *Query, leaf model.LeafID, reply *targetproto.QueryReply) error {
	switch {
	case reply.Request != q.Request:
		return fmt.Errorf("body for request %q", reply.Request)
	case reply.Snapshot != q.Snapshot:
		return fmt.Errorf("body from snapshot %q instead of %q", reply.Snapshot, q.Snapshot)
	case reply.Leaf != leaf:
		return fmt.Errorf("body of leaf %s", reply.Leaf)
	case reply.Documents != q.Documents:
		return fmt.Errorf("%d of %d documents searched", reply.Documents, q.Documents)
	}
	return nil
}

// errBodyInvalid means that a whole body could not be decoded.
var errBodyInvalid = errors.New("decode reply")

// decodeBody reads the body to its end, so that the transport can reuse the connection,
// and decodes it. The value counts only once the whole body has arrived: an object alone
// does not show that its reply is complete.
func (c *Client) decodeBody(response *http.Response, into any) error {
	reserved := new(membudget.Reservation)
	defer reserved.Release()
	length := int(min(response.ContentLength, maxReplyBytes+1))
	space := membudget.Space{Budget: c.memory, Reservation: reserved, Assured: true}
	body, err := membudget.ReadAll(response.Body, length, maxReplyBytes, space)
	if err != nil {
		return fmt.Errorf("read reply: %w", err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", errBodyInvalid, err)
	}
	return nil
}

func (c *Client) readHealth(response *http.Response) (*targetproto.Health, error) {
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read health of %s: status %d", c.id, response.StatusCode)
	}
	health := new(targetproto.Health)
	if err := c.decodeBody(response, health); err != nil {
		return nil, fmt.Errorf("read health of %s: %w", c.id, err)
	}
	return health, nil
}

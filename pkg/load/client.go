package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Headers of the caller API.
const (
	headerCaller  = "Radishturn-Caller"
	headerTimeout = "Request-Timeout"
)

const (
	maxResponseBytes = 16 << 20
	maxIdlePerEntry  = 1024
	// responseGrace is how long the client waits for an answer after the deadline
	// of the request.
	responseGrace = 2 * time.Second
)

// Outcome codes that the load tool assigns itself; all others are codes of the
// caller API.
const (
	// CodeOK is an answer with status 200.
	CodeOK failure.Code = "ok"
	// CodeNotConnected means that no connection was established, so the request
	// did not run.
	CodeNotConnected failure.Code = "caller-not-connected"
	// CodeLostAnswer means that the connection failed before the whole answer
	// was read.
	CodeLostAnswer failure.Code = "caller-lost-answer"
	// CodeTimeout means that no answer came within the deadline plus
	// responseGrace.
	CodeTimeout failure.Code = "caller-timeout"
	// CodeHungUp means that the caller cancelled the request as planned.
	CodeHungUp failure.Code = "caller-hung-up"
	// CodeMalformed means that the answer does not follow the caller API, or that
	// the request could not be built.
	CodeMalformed failure.Code = "caller-malformed-answer"
)

// problem is the body of an error response of the caller API.
type problem struct {
	Code         failure.Code    `json:"code"`
	Ran          failure.Ran     `json:"ran"`
	Step         string          `json:"step"`
	Peer         string          `json:"peer"`
	RequestID    model.RequestID `json:"requestId"`
	RetryAfterMs int64           `json:"retryAfterMs"`
}

// queryRequest is the body of a query request of the caller API.
type queryRequest struct {
	Query       string      `json:"query"`
	Route       model.Route `json:"route,omitempty"`
	Limit       int         `json:"limit"`
	MinCoverage float64     `json:"minCoverage"`
}

// outcome is the result of sending one request to one entry.
type outcome struct {
	arrival   *arrival
	entry     netip.AddrPort
	code      failure.Code
	ran       failure.Ran
	requestID model.RequestID
	step      string
	answer    *query.Answer
	result    *order.Result
	err       error
}

// entryClient is a client of the caller API.
type entryClient struct {
	client *http.Client
	load   *Load
}

func newEntryClient(l *Load) *entryClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: l.Timeout.Std() + responseGrace}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEntry,
		DisableCompression:  true,
	}
	return &entryClient{client: &http.Client{Transport: transport}, load: l}
}

func (c *entryClient) close() { c.client.CloseIdleConnections() }

// send sends the request to an entry and returns the outcome.
func (c *entryClient) send(ctx context.Context, a *arrival, entry netip.AddrPort) outcome {
	o := outcome{arrival: a, entry: entry}
	wait := c.load.Timeout.Std() + responseGrace
	if a.hangUp {
		wait = c.load.HangUpAfter.Std()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request, err := c.newRequest(ctx, a, entry)
	if err != nil {
		o.code, o.ran, o.err = CodeMalformed, failure.NotRun, err
		return o
	}
	response, err := c.client.Do(request)
	if err != nil {
		o.setTransportError(err)
		return o
	}
	defer response.Body.Close() // the body was only read, so an error of Close loses nothing
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		o.setTransportError(err)
		return o
	}
	o.setResponse(response.StatusCode, body)
	return o
}

func (c *entryClient) newRequest(ctx context.Context, a *arrival, entry netip.AddrPort) (*http.Request, error) {
	var body any = queryRequest{Query: a.query, Route: a.route, Limit: c.load.Limit, MinCoverage: c.load.MinCoverage}
	path := "query"
	if a.kind == kindOrder {
		path, body = "orders", targetproto.OrderRequest{LeafKey: a.leafKey, Order: "order " + a.key}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	url := fmt.Sprintf("http://%s/v1/collections/%s/%s", entry, c.load.Collection, path)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot resend the body, so it never retries a
	// request on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerTimeout, strconv.FormatInt(c.load.Timeout.Std().Milliseconds(), 10))
	if a.caller != "" {
		request.Header.Set(headerCaller, string(a.caller))
	}
	if a.kind == kindOrder {
		request.Header.Set(targetproto.HeaderIdempotencyKey, a.key)
	}
	return request, nil
}

// setTransportError records that no complete answer was received.
func (o *outcome) setTransportError(err error) {
	o.err = err
	o.code, o.ran = CodeLostAnswer, failure.Unknown
	var opError *net.OpError
	switch {
	case errors.As(err, &opError) && opError.Op == "dial":
		o.code, o.ran = CodeNotConnected, failure.NotRun
	case errors.Is(err, context.DeadlineExceeded) && o.arrival.hangUp:
		o.code = CodeHungUp
	case errors.Is(err, context.DeadlineExceeded):
		o.code = CodeTimeout
	}
}

// setResponse records the outcome that the response states.
func (o *outcome) setResponse(status int, body []byte) {
	if status != http.StatusOK {
		o.setProblem(status, body)
		return
	}
	o.code, o.ran = CodeOK, failure.DidRun
	var err error
	if o.arrival.kind == kindOrder {
		o.result = new(order.Result)
		err = json.Unmarshal(body, o.result)
		o.requestID = o.result.RequestID
	} else {
		o.answer = new(query.Answer)
		err = json.Unmarshal(body, o.answer)
		o.requestID = o.answer.RequestID
	}
	if err != nil {
		o.code, o.ran, o.err = CodeMalformed, failure.Unknown, err
	}
}

func (o *outcome) setProblem(status int, body []byte) {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" || p.Ran == "" {
		o.code, o.ran = CodeMalformed, failure.Unknown
		o.err = fmt.Errorf("response with status %d lacks code or ran: %.200s", status, body)
		return
	}
	o.code, o.ran, o.requestID, o.step = p.Code, p.Ran, p.RequestID, p.Step
}

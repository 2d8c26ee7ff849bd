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
	maxAnswerBytes = 16 << 20
	idlePerEntry   = 1024
	// answerGrace is how long after its deadline an answer is waited for.
	answerGrace = 2 * time.Second
)

// Codes of outcomes that the load tool itself sees; the others are those of
// the caller API.
const (
	// CodeOK is an answer with status 200.
	CodeOK failure.Code = "ok"
	// CodeNotConnected means that no connection was made, so nothing ran.
	CodeNotConnected failure.Code = "caller-not-connected"
	// CodeLostAnswer means that the connection broke before the answer.
	CodeLostAnswer failure.Code = "caller-lost-answer"
	// CodeTimeout means that no answer came within the deadline and a grace.
	CodeTimeout failure.Code = "caller-timeout"
	// CodeHungUp means that the caller hung up as planned.
	CodeHungUp failure.Code = "caller-hung-up"
	// CodeMalformed means that the answer is not what the caller API says.
	CodeMalformed failure.Code = "caller-malformed-answer"
)

// problem is the body of an error of the caller API.
type problem struct {
	Code         failure.Code    `json:"code"`
	Ran          failure.Ran     `json:"ran"`
	Step         string          `json:"step"`
	Peer         string          `json:"peer"`
	RequestID    model.RequestID `json:"requestId"`
	RetryAfterMs int64           `json:"retryAfterMs"`
}

// queryBody is the body of a query of the caller API.
type queryBody struct {
	Query       string      `json:"query"`
	Route       model.Route `json:"route,omitempty"`
	Limit       int         `json:"limit"`
	MinCoverage float64     `json:"minCoverage"`
}

// outcome is what became of one request at one entry.
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

// caller speaks the caller API.
type caller struct {
	client *http.Client
	load   *Load
}

func newCaller(l *Load) *caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: l.Timeout.Std() + answerGrace}).DialContext,
		MaxIdleConnsPerHost: idlePerEntry,
		DisableCompression:  true,
	}
	return &caller{client: &http.Client{Transport: transport}, load: l}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// send sends the request to an entry and returns what became of it.
func (c *caller) send(ctx context.Context, a *arrival, entry netip.AddrPort) outcome {
	o := outcome{arrival: a, entry: entry}
	wait := c.load.Timeout.Std() + answerGrace
	if a.hangUp {
		wait = c.load.HangUpAfter.Std()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request, err := c.request(ctx, a, entry)
	if err != nil {
		o.code, o.ran, o.err = CodeMalformed, failure.NotRun, err
		return o
	}
	response, err := c.client.Do(request)
	if err != nil {
		o.lost(err)
		return o
	}
	defer response.Body.Close() // only read from
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		o.lost(err)
		return o
	}
	o.read(response.StatusCode, body)
	return o
}

func (c *caller) request(ctx context.Context, a *arrival, entry netip.AddrPort) (*http.Request, error) {
	var body any = queryBody{Query: a.query, Route: a.route, Limit: c.load.Limit, MinCoverage: c.load.MinCoverage}
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
	// Without GetBody net/http never sends a request twice on its own.
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

// lost notes that no answer came.
func (o *outcome) lost(err error) {
	o.err = err
	o.code, o.ran = CodeLostAnswer, failure.Unknown
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		o.code, o.ran = CodeNotConnected, failure.NotRun
	case errors.Is(err, context.DeadlineExceeded) && o.arrival.hangUp:
		o.code = CodeHungUp
	case errors.Is(err, context.DeadlineExceeded):
		o.code = CodeTimeout
	}
}

// read takes over what an answer says.
func (o *outcome) read(status int, body []byte) {
	if status != http.StatusOK {
		o.readProblem(status, body)
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

func (o *outcome) readProblem(status int, body []byte) {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" || p.Ran == "" {
		o.code, o.ran = CodeMalformed, failure.Unknown
		o.err = fmt.Errorf("status %d without code or ran: %.200s", status, body)
		return
	}
	o.code, o.ran, o.requestID, o.step = p.Code, p.Ran, p.RequestID, p.Step
}

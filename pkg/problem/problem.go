// Package problem writes failures as application/problem+json, the format in
// which callers and operators receive every error.
package problem

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Details is the body of an error reply.
type Details struct {
	Status    int             `json:"status"`
	Title     string          `json:"title"`
	Detail    string          `json:"detail,omitempty"`
	Code      failure.Code    `json:"code"`
	Ran       failure.Ran     `json:"ran"`
	Step      string          `json:"step,omitempty"`
	Peer      string          `json:"peer,omitempty"`
	RequestID model.RequestID `json:"requestId,omitempty"`
	// RetryAfterMs is in milliseconds; 0 means not stated.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

var statusOf = map[failure.Code]int{
	failure.BadRequest:        http.StatusBadRequest,
	failure.TooLarge:          http.StatusRequestEntityTooLarge,
	failure.UnknownCollection: http.StatusNotFound,
	failure.UnknownLeaf:       http.StatusNotFound,
	failure.NotFound:          http.StatusNotFound,
	failure.DeadlineExceeded:  http.StatusGatewayTimeout,
	failure.Overloaded:        http.StatusServiceUnavailable,
	failure.CallerLimit:       http.StatusTooManyRequests,
	failure.Quarantined:       http.StatusUnprocessableEntity,
	failure.NoSnapshot:        http.StatusServiceUnavailable,
	failure.CoverageTooLow:    http.StatusServiceUnavailable,
	failure.LeaseExpired:      http.StatusServiceUnavailable,
	failure.Draining:          http.StatusServiceUnavailable,
	failure.NoQuorum:          http.StatusServiceUnavailable,
	failure.NotLeader:         http.StatusServiceUnavailable,
	failure.Conflict:          http.StatusConflict,
	failure.KeyReused:         http.StatusUnprocessableEntity,
	failure.Unauthorized:      http.StatusForbidden,
	failure.TargetFailed:      http.StatusBadGateway,
	failure.MismatchedReply:   http.StatusBadGateway,
	failure.TargetShed:        http.StatusServiceUnavailable,
	failure.NotHeld:           http.StatusServiceUnavailable,
	failure.NoTarget:          http.StatusServiceUnavailable,
	failure.PeerUnreachable:   http.StatusServiceUnavailable,
	failure.OutcomeUnknown:    http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a failure code.
func Status(code failure.Code) int {
	if status, ok := statusOf[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From returns the problem details of err for the request id.
func From(err error, id model.RequestID) Details {
	code := failure.CodeOf(err)
	d := Details{
		Status:    Status(code),
		Title:     http.StatusText(Status(code)),
		Detail:    err.Error(),
		Code:      code,
		Ran:       failure.RanOf(err),
		RequestID: id,
	}
	var e *failure.Error
	if errors.As(err, &e) {
		d.Detail = cause(e)
		d.Step = e.Step
		d.Peer = e.Peer
		d.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	return d
}

// cause returns the text of a failure without its step, peer and code, which
// Details has separate fields for.
func cause(e *failure.Error) string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// Write sends err as the response, as a problem document. Retry-After is rounded
// up to whole seconds.
func Write(c echo.Context, err error, id model.RequestID) error {
	d := From(err, id)
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	if d.RetryAfterMs > 0 {
		seconds := (d.RetryAfterMs + time.Second.Milliseconds() - 1) / time.Second.Milliseconds()
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.Blob(d.Status, ContentType, body)
}

// HandleError is an echo error handler. Errors of echo itself, such as an unknown
// path, are reported as not run.
func HandleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var h *echo.HTTPError
	if errors.As(err, &h) {
		err = fromHTTP(h)
	}
	_ = Write(c, err, "")
}

func fromHTTP(h *echo.HTTPError) error {
	code := failure.BadRequest
	switch h.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		code = failure.NotFound
	case http.StatusRequestEntityTooLarge:
		code = failure.TooLarge
	}
	return failure.New(code, failure.NotRun, "route", "", "%v", h.Message)
}

// Decode reads a JSON body of at most limit bytes into the value that into
// points to. It rejects unknown fields and trailing data.
func Decode(c echo.Context, limit int64, into any) error {
	if c.Request().ContentLength > limit {
		return decodeFailure(&http.MaxBytesError{Limit: limit})
	}
	r := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeFailure(err)
	}
	if decoder.More() {
		return failure.New(failure.BadRequest, failure.NotRun, "read body", "", "more than one JSON value")
	}
	return nil
}

func decodeFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.TooLarge, failure.NotRun, "read body", "", "body is longer than %d bytes", tooLarge.Limit)
	}
	return failure.New(failure.BadRequest, failure.NotRun, "read body", "", "%w", err)
}

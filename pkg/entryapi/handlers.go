package entryapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/problem"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Headers of the caller API.
const (
	headerCaller         = "Radishturn-Caller"
	headerRequestTimeout = "Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = time.Minute
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// maxNameBytes bounds a caller's name and a route.
	maxNameBytes = 128
	// maxLimit bounds the number of hits in one answer.
	maxLimit     = 1000
	defaultLimit = 10
)

// queryBody is the body of a query. MinCoverage is a pointer because an absent
// value differs from zero.
type queryBody struct {
	Query       string      `json:"query"`
	Route       model.Route `json:"route"`
	Limit       int         `json:"limit"`
	MinCoverage *float64    `json:"minCoverage"`
}

// newRequestID returns an ID that begins with this instance's ID, so that any
// instance can tell which one served the request.
func (m *Module) newRequestID() model.RequestID {
	return model.RequestID(string(m.settings.Instance.ID) + "." + uuid.NewString())
}

func (m *Module) query(c echo.Context) error {
	started := time.Now()
	id := m.newRequestID()
	request, err := m.readQuery(c, id, started)
	if err == nil {
		request.Deadline, err = m.admit(request.Collection, request.Deadline, true)
	}
	if err != nil {
		return problem.Write(c, err, id)
	}
	answer, err := m.queries.Query(c.Request().Context(), request)
	m.recordQuery(request, answer, started, err)
	if err != nil {
		return problem.Write(c, err, id)
	}
	return sendAnswer(c, answer)
}

func (m *Module) readQuery(c echo.Context, id model.RequestID, started time.Time) (query.Request, error) {
	collection, deadline, err := m.readCollectionAndDeadline(c, started)
	if err != nil {
		return query.Request{}, err
	}
	body := queryBody{Limit: defaultLimit}
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return query.Request{}, readError(c, err)
	}
	if err := checkQuery(body); err != nil {
		return query.Request{}, err
	}
	// A negative MinCoverage selects the default of the collection.
	request := query.Request{
		ID:          id,
		Collection:  collection.ID,
		Caller:      model.CallerID(c.Request().Header.Get(headerCaller)),
		Route:       body.Route,
		Query:       body.Query,
		Limit:       body.Limit,
		MinCoverage: -1,
		Deadline:    deadline,
	}
	if body.MinCoverage != nil {
		request.MinCoverage = *body.MinCoverage
	}
	return request, nil
}

func checkQuery(b queryBody) error {
	switch {
	case b.Query == "":
		return badRequest("query is empty")
	case b.Limit < 1 || b.Limit > maxLimit:
		return badRequest("limit %d is not between 1 and %d", b.Limit, maxLimit)
	case len(b.Route) > maxNameBytes:
		return badRequest("route is longer than %d bytes", maxNameBytes)
	case b.MinCoverage != nil && (*b.MinCoverage < 0 || *b.MinCoverage > 1):
		return badRequest("minCoverage %g is not between 0 and 1", *b.MinCoverage)
	}
	return nil
}

func (m *Module) order(c echo.Context) error {
	started := time.Now()
	id := m.newRequestID()
	request, err := m.readOrder(c, id, started)
	if err == nil {
		request.Deadline, err = m.admit(request.Collection, request.Deadline, false)
	}
	if err != nil {
		return problem.Write(c, err, id)
	}
	result, err := m.orders.Place(c.Request().Context(), request)
	m.recordOrder(request, started, err)
	if err != nil {
		return problem.Write(c, err, id)
	}
	return c.JSON(http.StatusOK, result)
}

func (m *Module) readOrder(c echo.Context, id model.RequestID, started time.Time) (order.Request, error) {
	collection, deadline, err := m.readCollectionAndDeadline(c, started)
	if err != nil {
		return order.Request{}, err
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		return order.Request{}, badRequest("an order requires an %s header of 1 to %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	// The body is passed to the target unchanged.
	var body targetproto.OrderRequest
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return order.Request{}, readError(c, err)
	}
	if body.LeafKey == "" || body.Order == "" {
		return order.Request{}, badRequest("leafKey and order must not be empty")
	}
	return order.Request{
		ID:             id,
		Collection:     collection.ID,
		Caller:         model.CallerID(c.Request().Header.Get(headerCaller)),
		IdempotencyKey: key,
		Body:           body,
		Deadline:       deadline,
	}, nil
}

// readCollectionAndDeadline reads the collection and the deadline of a query or an
// order, and checks the length of the caller's name.
func (m *Module) readCollectionAndDeadline(c echo.Context, started time.Time) (settings.Collection, time.Time, error) {
	id := model.CollectionID(c.Param("collection"))
	collection, ok := m.settings.CollectionByID(id)
	if !ok {
		return collection, time.Time{}, failure.New(failure.UnknownCollection, failure.NotRun, "read request", "", "unknown collection %q", id)
	}
	if caller := c.Request().Header.Get(headerCaller); len(caller) > maxNameBytes {
		return collection, time.Time{}, badRequest("%s is longer than %d bytes", headerCaller, maxNameBytes)
	}
	timeout, err := readTimeout(c.Request().Header.Get(headerRequestTimeout), collection.Deadline.Std())
	return collection, started.Add(timeout), err
}

// readTimeout parses a timeout in milliseconds; if text is empty, it returns
// fallback.
func readTimeout(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, badRequest("%s %q is not a positive number of milliseconds", headerRequestTimeout, text)
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout), nil
}

func badRequest(format string, args ...any) error {
	return failure.New(failure.BadRequest, failure.NotRun, "read request", "", format, args...)
}

func (m *Module) healthz(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (m *Module) readyz(c echo.Context) error {
	if reason := m.notReadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

package entryapi

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn/pkg/httpserver"
	"radishturn.example/radishturn/pkg/query"
)

// sendAnswer sends the answer to a query, which counts against the memory for clients
// until the caller has taken it. Without room the connection is closed: a status would
// have to tell whether the query has run.
func sendAnswer(c echo.Context, answer *query.Answer) error {
	body, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	release, ok := httpserver.Hold(c.Request().Context(), len(body))
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer release()
	return c.JSONBlob(http.StatusOK, append(body, '\n'))
}

// metrics sends the metrics of the process.
func (m *Module) metrics(c echo.Context) error {
	var page bytes.Buffer
	metrics.WritePrometheus(&page, true)
	release, ok := httpserver.Hold(c.Request().Context(), page.Len())
	if !ok {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer release()
	return c.Blob(http.StatusOK, "text/plain; charset=utf-8", page.Bytes())
}

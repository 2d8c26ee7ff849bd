package entryapi

import (
	"time"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/shutdown"
)

// admit refuses a request that may not end before a planned stop does. It returns the
// deadline of others, which a planned stop moves forward.
func (m *Module) admit(id model.CollectionID, deadline time.Time, repeatable bool) (time.Time, error) {
	collection, _ := m.settings.CollectionByID(id)
	now := time.Now()
	timeout, ok := m.server.Admit(shutdown.Request{
		Timeout: deadline.Sub(now), Expected: collection.Objectives.Latency.Std(), Repeatable: repeatable,
	})
	if !ok {
		return time.Time{}, shutdown.Refuse()
	}
	return now.Add(timeout), nil
}

// readError returns the error of reading a request: a refusal if a planned stop ended
// the read, otherwise err.
func readError(c echo.Context, err error) error {
	if shutdown.IsStopping(c.Request().Context()) {
		return shutdown.Refuse()
	}
	return err
}

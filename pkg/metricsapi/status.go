package metricsapi

import (
	"encoding/json"
	"sync"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn"
)

// StatusPath is the HTTP path of the status of the process: a JSON object with a
// section for each module that adds one.
const StatusPath = "/status"

// StatusSections holds the function for each section of the status. The functions
// are called when the status is requested.
type StatusSections struct {
	mu      sync.Mutex
	readers map[string]func() any
}

// AddStatusSection adds a section to the status, in roles that serve one. The
// function is called from several goroutines.
func AddStatusSection(c *radishturn.Context, section string, read func() any) {
	s, err := radishturn.Require[*StatusSections](c)
	if err != nil {
		// The role serves no status.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[section] = read
}

// readAll returns the current content of all sections.
func (s *StatusSections) readAll() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]any, len(s.readers))
	for name, read := range s.readers {
		all[name] = read()
	}
	return all
}

func (s *StatusSections) serve(c echo.Context) error {
	page, err := json.Marshal(s.readAll())
	if err != nil {
		return err
	}
	return send(c, echo.MIMEApplicationJSON, append(page, '\n'))
}

package metricsapi

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn"
)

// StatusPath is where the process tells what it believes, as JSON: an object
// with a section for each module that reports.
const StatusPath = "/status"

// StatusSections are the parts of the status. Each is read when it is asked for.
type StatusSections struct {
	mu      sync.Mutex
	reports map[string]func() any
}

// AddStatusSection adds a section in the roles that have a status. The function is called
// from the goroutines of HTTP handlers.
func AddStatusSection(c *radishturn.Context, section string, read func() any) {
	s, err := radishturn.Require[*StatusSections](c)
	if err != nil {
		// The role has no address for metrics.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[section] = read
}

// read returns all sections.
func (s *StatusSections) read() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]any, len(s.reports))
	for name, read := range s.reports {
		all[name] = read()
	}
	return all
}

func (s *StatusSections) serve(c echo.Context) error { return c.JSON(http.StatusOK, s.read()) }

package metricsapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/settings"
)

func TestStatusHasASectionForEachModuleThatReports(t *testing.T) {
	g := NewWithT(t)
	c := radishturn.NewContext(&settings.Settings{})
	AddStatusSection(c, "early", func() any { return 0 }) // no status is provided yet
	g.Expect(new(Module).Provision(c)).To(Succeed())
	n := 0
	AddStatusSection(c, "count", func() any { n++; return n })
	sections, err := radishturn.Require[*StatusSections](c)
	g.Expect(err).NotTo(HaveOccurred())
	for want := range 2 {
		w := httptest.NewRecorder()
		g.Expect(sections.serve(echo.New().NewContext(httptest.NewRequest(http.MethodGet, StatusPath, nil), w))).To(Succeed())
		g.Expect(w.Body.String()).To(MatchJSON([]string{`{"count":1}`, `{"count":2}`}[want]))
	}
}

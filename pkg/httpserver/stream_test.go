package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

// beginStream begins a request of HTTP/2 on a connection.
func beginStream(c *guardedConn, whole bool) *stream {
	c.requests.Add(1)
	s := &stream{conn: c}
	Expect(s.begin(whole)).To(BeTrue())
	return s
}

var _ = Describe("The requests of HTTP/2", func() {
	var g *guard
	var c *guardedConn

	BeforeEach(func() {
		g = newGuard("test", DefaultLimits.With(ShareMain, membudget.New(2<<20)), false)
		c = admitPipe(g)
		c.http2.Store(true)
	})

	// flood opens connections with a request each until there is no room.
	flood := func() {
		for more := admitPipe(g); more != nil; more = admitPipe(g) {
			Expect(more.begin(true)).To(BeTrue())
		}
	}
	kept := func() bool { return c.begin(true) }

	// Guards against clients whose bodies do not come, and whose connections keep others out.
	It("give way to others while none of them has arrived whole", func() {
		beginStream(c, false)
		flood()
		Expect(kept()).To(BeFalse())
	})

	It("are not cut while one of them has arrived whole", func() {
		beginStream(c, false)
		beginStream(c, true)
		flood()
		Expect(kept()).To(BeTrue())
	})

	It("are not cut once a body has arrived", func() {
		s := beginStream(c, false)
		s.complete()
		flood()
		Expect(kept()).To(BeTrue())
	})

	It("give way again once those that arrived have ended", func() {
		beginStream(c, false)
		s := beginStream(c, true)
		s.end()
		flood()
		Expect(kept()).To(BeFalse())
	})

	// Guards against many streams with unread answers, which held far more than their heads.
	It("count their buffers and their bodies until they end", func() {
		const bodyBytes, leastStreamBytes = 100 << 10, 11 << 10
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", bodyBytes)))
		before := g.budget.Used()
		c.serveHTTP2(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			Expect(g.budget.Used() - before).To(BeNumerically(">=", leastStreamBytes+http2BodyBytes))
			_, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(g.budget.Used() - before).To(BeNumerically(">=", leastStreamBytes+bodyBytes))
		}), httptest.NewRecorder(), r)
		Expect(g.budget.Used() - before).To(BeEquivalentTo(http2Bytes))
	})
})

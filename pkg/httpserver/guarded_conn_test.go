package httpserver

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

// admitPipe returns a guarded connection without a client.
func admitPipe(g *guard) *guardedConn {
	c, peer := net.Pipe()
	DeferCleanup(c.Close)
	DeferCleanup(peer.Close)
	return g.admit(c)
}

var _ = Describe("A connection of HTTP/2", func() {
	// Guards against a request that is cut, since another one that ended as it began left
	// the connection idle.
	It("is not evicted while a request is in progress", func() {
		g := newGuard("test", DefaultLimits.With(ShareMain, membudget.New(2<<20)), false)
		c := admitPipe(g)
		c.http2.Store(true)
		c.requests.Add(1)
		Expect(c.begin(true)).To(BeTrue())
		// The first request has ended, and a second one begins before that is noted.
		c.requests.Add(-1)
		c.requests.Add(1)
		Expect(c.begin(true)).To(BeTrue())
		c.becomeIdle()
		for more := admitPipe(g); more != nil; more = admitPipe(g) {
			Expect(more.begin(true)).To(BeTrue())
		}
		Expect(c.begin(true)).To(BeTrue())
		c.endHTTP2()
		Expect(admitPipe(g)).NotTo(BeNil())
		Expect(c.begin(true)).To(BeFalse())
	})
})

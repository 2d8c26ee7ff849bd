package httpserver

import (
	"net"
	"net/http/httptest"
	"strconv"
	"time"

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

// deadlines records the deadline of writes, which succeed.
type deadlines struct {
	net.Conn
	httptest.ResponseRecorder
	last time.Time
}

func (d *deadlines) SetWriteDeadline(t time.Time) error { d.last = t; return nil }
func (d *deadlines) Write(p []byte) (int, error)        { return len(p), nil }

// Guards against a long reply that is cut, since it shares the link with others.
var _ = DescribeTable("The time in which a client takes an answer depends on its length",
	func(write func(d *deadlines, p []byte)) {
		d := new(deadlines)
		write(d, make([]byte, 100))
		Expect(time.Until(d.last)).To(BeNumerically("<=", writeTimeout+time.Second))
		write(d, make([]byte, 8<<20))
		Expect(time.Until(d.last)).To(BeNumerically(">", 2*writeTimeout))
	},
	Entry("over HTTP/1.1", func(d *deadlines, p []byte) {
		_, _ = (&guardedConn{Conn: d}).Write(p)
	}),
	Entry("over HTTP/2", func(d *deadlines, p []byte) {
		d.Header().Set("Content-Length", strconv.Itoa(len(p)))
		_, _ = (&deadlineWriter{ResponseWriter: d}).Write(p)
	}),
)

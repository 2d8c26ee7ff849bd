package httpserver_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/httpserver"
)

var _ = Describe("Waiting", func() {
	// serveWaiting serves one request, calls inHandler, and returns what Waiting then
	// reports.
	serveWaiting := func(send func(net.Conn)) bool {
		GinkgoHelper()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		send(conn)
		waits := make(chan bool, 1)
		server := httpserver.New("test", l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			waits <- httpserver.Waiting(r.Context())()
		}), httpserver.DefaultLimits)
		go func() { _ = server.Run(GinkgoT().Context()) }()
		DeferCleanup(server.Close)
		var result bool
		Eventually(waits, 5*time.Second).Should(Receive(&result))
		return result
	}
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

	It("reports a client that waits", func() {
		Expect(serveWaiting(func(c net.Conn) { _, _ = io.WriteString(c, request) })).To(BeTrue())
	})
	It("does not report one that has closed, from the first moment on", func() {
		Expect(serveWaiting(func(c net.Conn) {
			_, _ = io.WriteString(c, request)
			_ = c.Close()
		})).To(BeFalse())
	})
	It("does not report one that has closed with more bytes unread", func() {
		Expect(serveWaiting(func(c net.Conn) {
			_, _ = io.WriteString(c, request+request)
			_ = c.Close()
		})).To(BeFalse())
	})
	It("does not report one that has reset the connection", func() {
		Expect(serveWaiting(func(c net.Conn) {
			_, _ = io.WriteString(c, request)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})).To(BeFalse())
	})
})

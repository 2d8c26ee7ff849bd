package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"radishturn.example/radishturn/pkg/httpserver"
)

func TestHTTPServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpserver")
}

// serve runs a server with short limits and returns its address and the number
// of requests whose whole body was received.
func serve() (address string, completed *int) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	completed = new(int)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			*completed++
		}
	})
	limits := httpserver.Limits{MaxHeaderBytes: 4096, HeaderTimeout: 50 * time.Millisecond, RequestTimeout: 100 * time.Millisecond, IdleTimeout: time.Second}
	s := httpserver.New("test", l, handler, limits)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(s.Run(ctx)).To(Succeed())
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String(), completed
}

var _ = Describe("Server", func() {
	DescribeTable("closes connections of slow clients and leaks no goroutine", func(sent string) {
		leaks := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(leaks) }, 5*time.Second).Should(Succeed())
		})
		address, completed := serve()
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, sent)
		Expect(err).NotTo(HaveOccurred())
		// The read returns only when the server closes the connection.
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(*completed).To(BeZero())
	},
		Entry("in the headers", "POST / HTTP/1.1\r\nHost: a\r\nX-"),
		Entry("in the body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"),
	)
})

package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/httpserver"
)

// Guards against clients that hold a connection with a body that is refused and does not
// arrive: the answer waited for 256 KiB of it.
var _ = Describe("An answer to a request with a long body", func() {
	// refuseAll starts a server that refuses all bodies, and returns its address.
	refuseAll := func() string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := httpserver.New("test", l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}), httpserver.DefaultLimits)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		return l.Addr().String()
	}

	// Guards against a reset of the connection in place of the answer.
	It("reaches a client that sends all of it and then closes", func() {
		address := refuseAll()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for range 20 {
			response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("a", 2<<20)))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		}
	})

	It("is sent before the body arrives", func() {
		c, err := net.DialTimeout("tcp4", refuseAll(), time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(httpserver.DefaultLimits.RequestTimeout / 2))).To(Succeed())
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8589934592\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})
})

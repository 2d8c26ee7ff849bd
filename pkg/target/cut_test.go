package target_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

// startRawTarget sends the first cut bytes of text to each request,
// and then closes or resets the connection.
func startRawTarget(text string, cut *atomic.Int64, reset bool) *target.Client {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text[:cut.Load()])
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	c := newClient(l.Addr())
	DeferCleanup(c.Close)
	return c
}

// framings returns replies with a head and a body, by how the end of the body is stated.
func framings(head, body string) map[string]string {
	return map[string]string{
		"a length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":   fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		"neither":  head + "\r\n" + body,
	}
}

var _ = Describe("a reply that is cut after any byte", func() {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: s1\r\n%s: %s\r\n",
		targetproto.HeaderRequest, targetproto.HeaderSnapshot, targetproto.HeaderLeaf, leaf)
	for how, reset := range map[string]bool{"closes": false, "resets": true} {
		It("is no part of a query if the target "+how, func() {
			for _, text := range framings(head, validReply()) {
				cut := new(atomic.Int64)
				c := startRawTarget(text, cut, reset)
				for n := range text {
					cut.Store(int64(n))
					// The client may close its connection after the result.
					Eventually(c.OpenConnections, time.Second, 100*time.Microsecond).Should(BeZero())
					result := sendQuery(c)
					Expect(result.Kind).NotTo(Equal(target.KindOK), "after %q", text[:n])
					Expect(result.Reply).To(BeNil())
					Expect(result.Err.Ran).NotTo(Equal(failure.NotRun), "after %q", text[:n])
				}
			}
		})

		It("leaves the outcome of an order unknown if the target "+how, func() {
			body, err := json.Marshal(targetproto.OrderReply{Request: "r-1", Leaf: leaf})
			Expect(err).NotTo(HaveOccurred())
			for _, text := range framings(head, string(body)) {
				cut := new(atomic.Int64)
				c := startRawTarget(text, cut, reset)
				for n := range text {
					cut.Store(int64(n))
					// The client may close its connection after the result.
					Eventually(c.OpenConnections, time.Second, 100*time.Microsecond).Should(BeZero())
					result := c.Order(context.Background(), &target.Order{Request: "r-1", IdempotencyKey: "k", RemainingMillis: 1000}, func() bool { return true })
					Expect(result.Reply).To(BeNil(), "after %q", text[:n])
					Expect(result.Err.Ran).To(Equal(failure.Unknown), "after %q", text[:n])
				}
			}
		})
	}
})

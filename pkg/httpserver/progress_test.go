package httpserver_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

// Guards against clients that take no answers and keep others out until their time is over.
var _ = Describe("Clients that take no answers", func() {
	It("give way to others when there is no room", func() {
		// These clients have 34 s for an answer, which sockets do not hold.
		const answerBytes, within = 6 << 20, 15 * time.Second
		g := serveGuarded(membudget.New(2<<20), answerBytes)
		// One address may have 30 connections with this memory.
		for i := range 30 {
			c := g.dial()
			Expect(c.(*net.TCPConn).SetReadBuffer(1)).To(Succeed())
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			Eventually(g.ran.Load).Should(BeEquivalentTo(i + 1))
		}
		ask := func() int {
			c, err := net.Dial("tcp4", g.address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			status, _ := exchange(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			return status
		}
		Eventually(ask).WithTimeout(within).Should(Equal(http.StatusOK))
	})
})

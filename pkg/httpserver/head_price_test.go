package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

const (
	// heldPerLine is the least that the shortest header line holds once it is decoded.
	heldPerLine = 100
	// smallestMB is the memory of the smallest process, in MiB.
	smallestMB = 184
)

// shortLinesHead returns a head of up to n bytes with as many distinct lines as fit, and
// their number.
func shortLinesHead(n int) (head string, lines int) {
	var text strings.Builder
	_, _ = text.WriteString("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n")
	for ; text.Len() < n-16; lines++ {
		_, _ = fmt.Fprintf(&text, "%x:\r\n", lines)
	}
	_, _ = text.WriteString("\r\n")
	return text.String(), lines
}

// serveWhile serves connections, and checks what they hold once a request runs.
func serveWhile(limits Limits, running func(used int64)) (address string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := New("test", l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { running(limits.Memory.Used()) }), limits)
	go func() { _ = s.Run(GinkgoT().Context()) }()
	DeferCleanup(s.Close)
	return l.Addr().String()
}

func statusOf(address, request string) int {
	c, err := net.Dial("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, request)
	Expect(err).NotTo(HaveOccurred())
	var status int
	_, err = fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	Expect(err).NotTo(HaveOccurred())
	return status
}

var _ = Describe("A head of many short lines", func() {
	// Guards against heads that hold many times what is accounted for.
	DescribeTable("counts what it holds once it is decoded", func(before string) {
		head, lines := shortLinesHead(DefaultLimits.MaxHeaderBytes)
		var used atomic.Int64
		address := serveWhile(DefaultLimits.With(ShareMain, membudget.ForProcess(smallestMB)), used.Store)
		Expect(statusOf(address, before+head+"b")).To(Equal(http.StatusOK))
		Eventually(used.Load).Should(BeNumerically(">", heldPerLine*lines))
	},
		Entry("as the first request", ""),
		Entry("read together with the request before it", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
	)

	// Guards against heads without an end that are read together with the request before.
	It("counts what its beginning holds after another request", func() {
		const buffered = 4 << 10
		first := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		head, lines := shortLinesHead(buffered - len(first))
		limits := DefaultLimits.With(ShareMain, membudget.ForProcess(smallestMB))
		address := serveWhile(limits, func(int64) {})
		c, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, first+strings.TrimSuffix(head, "\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(limits.Memory.Used).Should(BeNumerically(">", heldPerLine*lines))
	})

	// Guards against a limit that a request of legal size meets.
	DescribeTable("is served if it is the only request", func(share int) {
		head, _ := shortLinesHead(DefaultLimits.MaxHeaderBytes)
		address := serveWhile(DefaultLimits.With(share, membudget.ForProcess(smallestMB)), func(int64) {})
		Expect(statusOf(address, head+"b")).To(Equal(http.StatusOK))
	},
		Entry("at a main listener", ShareMain),
		Entry("at another listener", ShareSide),
	)
})

var _ = DescribeTable("Header lines are counted up to the end of the head", func(lines int, reads ...string) {
	var c lineCounter
	var n int64
	for _, p := range reads {
		n = c.count([]byte(p))
	}
	Expect(n).To(BeEquivalentTo(lines))
},
	Entry("in one read", 2, "GET / HTTP/1.1\r\na:b\r\n\r\nbody\nbody\n"),
	Entry("in parts of lines", 2, "GET / HT", "TP/1.1\r", "\na:b\r\n", "\r", "\nbody\n"),
	Entry("with bare line feeds", 3, "GET / HTTP/1.1\na:\n", "b:\n\nbody\n"),
)

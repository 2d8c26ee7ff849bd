package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"radishturn.example/radishturn/pkg/membudget"
)

const (
	// expandedValue is the length of a header value that the table of HPACK keeps, and
	// expandedLines is how many lines of a head repeat it with a byte each.
	expandedValue, expandedLines = 3900, 14
	// resetRequests is how many requests one client sends and resets.
	resetRequests = 3 * maxHTTP2Requests
)

// headWithLines returns the block of a head with a number of lines, which is much longer
// once it is decoded.
func headWithLines(e *hpack.Encoder, block *bytes.Buffer, lines int) []byte {
	block.Reset()
	fields := []hpack.HeaderField{
		{Name: ":method", Value: http.MethodGet}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: "/"}, {Name: ":authority", Value: "a"},
	}
	for range lines {
		fields = append(fields, hpack.HeaderField{Name: "cookie", Value: strings.Repeat("x", expandedValue)})
	}
	for _, f := range fields {
		Expect(e.WriteField(f)).To(Succeed())
	}
	return block.Bytes()
}

// resetExpandedHeads returns what a client sends to begin requests and to reset them. The
// first have short heads, and occupy all handlers.
func resetExpandedHeads() []byte {
	var out, block bytes.Buffer
	_, _ = out.WriteString(http2.ClientPreface)
	e, f := hpack.NewEncoder(&block), http2.NewFramer(&out, nil)
	Expect(f.WriteSettings()).To(Succeed())
	for i := range uint32(resetRequests) {
		lines := 0
		if i >= maxHTTP2Requests {
			lines = expandedLines
		}
		head := http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: headWithLines(e, &block, lines), EndStream: true, EndHeaders: true}
		Expect(f.WriteHeaders(head)).To(Succeed())
		Expect(f.WriteRSTStream(head.StreamID, http2.ErrCodeCancel)).To(Succeed())
	}
	return out.Bytes()
}

// Guards against heads that are decoded, and kept until a handler begins, without being
// accounted for.
var _ = It("closes connections with many expanded heads of HTTP/2, or accounts for them", func() {
	limits := DefaultLimits.With(ShareMain, membudget.ForProcess(smallestMB))
	limits.MaxHeaderBytes = 64 << 10
	release := make(chan struct{})
	defer close(release)
	address := serveWhile(limits, func(int64) { <-release })
	c, err := net.Dial("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = c.Write(resetExpandedHeads())
	Expect(err).NotTo(HaveOccurred())
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	waiting := int64(resetRequests-maxHTTP2Requests) * expandedLines * expandedValue
	Eventually(func() bool {
		select {
		case <-closed:
			return true
		default:
			return limits.Memory.Used() >= waiting
		}
	}).WithTimeout(3 * time.Second).Should(BeTrue())
})

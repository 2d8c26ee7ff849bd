package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

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

	// serveShort serves short answers and counts the handlers that have ended.
	serveShort := func(limits Limits) (client net.Conn, ended *atomic.Int64) {
		ended = new(atomic.Int64)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := New("test", l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "short")
			ended.Add(1)
		}), limits)
		go func() { _ = s.Run(GinkgoT().Context()) }()
		DeferCleanup(s.Close)
		client, err = net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		return client, ended
	}

	const streams = 50

	// Guards against requests that hold buffers, and count nothing, until their clients
	// take a short answer.
	It("count until a short answer is taken", func() {
		limits := DefaultLimits.With(ShareMain, membudget.New(64<<20))
		client, ended := serveShort(limits)
		_, err := client.Write(requestsWithoutWindow(streams, 0))
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended.Load).Should(BeEquivalentTo(streams))
		Consistently(limits.Memory.Used).Should(BeNumerically(">", streams*streamBytes))
		Expect(client.Close()).To(Succeed())
		Eventually(limits.Memory.Used, 5*time.Second).Should(BeZero())
	})

	// Guards against answers of the HTTP server itself, which hold as much and have no handler.
	It("count if they are refused for the length of their heads", func() {
		limits := DefaultLimits.With(ShareMain, membudget.New(64<<20))
		client, ended := serveShort(limits)
		_, err := client.Write(requestsWithoutWindow(streams, 2*limits.MaxHeaderBytes))
		Expect(err).NotTo(HaveOccurred())
		Eventually(limits.Memory.Used).Should(BeNumerically(">", streams*streamBytes))
		Consistently(limits.Memory.Used).Should(BeNumerically(">", streams*streamBytes))
		Expect(ended.Load()).To(BeZero())
		// They still count when another request has ended, and the connection is idle.
		_, err = client.Write(requestWithoutBody(2*streams + 1))
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended.Load).Should(BeEquivalentTo(1))
		Consistently(limits.Memory.Used).Should(BeNumerically(">", streams*streamBytes))
		Expect(client.Close()).To(Succeed())
		Eventually(limits.Memory.Used, 5*time.Second).Should(BeZero())
	})
})

var _ = DescribeTable("The requests of a connection of HTTP/2 are counted as they are read", func(step int) {
	const streamCount = 5
	sent := requestsWithoutWindow(streamCount, 100)
	// The head of a trailer is not that of a request.
	trailer := bytes.NewBuffer(nil)
	Expect(http2.NewFramer(trailer, nil).WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndStream: true, EndHeaders: true})).To(Succeed())
	sent = append(sent, trailer.Bytes()...)
	f := newFrameCounter()
	var n int64
	for len(sent) > 0 {
		part := sent[:min(step, len(sent))]
		n += f.count(part)
		sent = sent[len(part):]
	}
	Expect(n).To(BeEquivalentTo(streamCount))
},
	Entry("byte by byte", 1),
	Entry("in parts of frames", 7),
	Entry("at once", 1<<20),
)

// requestWithoutBody returns the bytes of a request whose answer has no body.
func requestWithoutBody(streamID uint32) []byte {
	var sent, fields bytes.Buffer
	encoder := hpack.NewEncoder(&fields)
	for _, f := range []hpack.HeaderField{{Name: ":method", Value: "HEAD"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "a"}, {Name: ":path", Value: "/"}} {
		Expect(encoder.WriteField(f)).To(Succeed())
	}
	head := http2.HeadersFrameParam{StreamID: streamID, BlockFragment: fields.Bytes(), EndStream: true, EndHeaders: true}
	Expect(http2.NewFramer(&sent, nil).WriteHeaders(head)).To(Succeed())
	return sent.Bytes()
}

// requestsWithoutWindow returns the bytes of a client of HTTP/2 that takes no answers.
// Each has a header list that is longBytes longer, in few bytes.
func requestsWithoutWindow(n, longBytes int) []byte {
	const valueBytes = 1 << 10
	var sent, fields bytes.Buffer
	_, _ = sent.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&sent, nil)
	Expect(framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})).To(Succeed())
	encoder := hpack.NewEncoder(&fields)
	for i := range uint32(n) {
		fields.Reset()
		for _, f := range []hpack.HeaderField{{Name: ":method", Value: "GET"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "a"}, {Name: ":path", Value: "/"}} {
			Expect(encoder.WriteField(f)).To(Succeed())
		}
		for size := 0; size < longBytes; size += valueBytes {
			Expect(encoder.WriteField(hpack.HeaderField{Name: "a", Value: strings.Repeat("b", valueBytes)})).To(Succeed())
		}
		head := http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: fields.Bytes(), EndStream: true, EndHeaders: true}
		Expect(framer.WriteHeaders(head)).To(Succeed())
	}
	return sent.Bytes()
}

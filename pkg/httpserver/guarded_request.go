package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// http2BodyBytes is the flow-control window of one request and of a connection: what
	// a client can send that is not read yet.
	http2BodyBytes = 64 << 10
	// maxHTTP2Requests is how many requests one connection may have in progress.
	maxHTTP2Requests = 100
	// streamBytes is what a request of HTTP/2 holds besides its head: its goroutine,
	// buffers and contexts.
	streamBytes = 16 << 10
	// retryAfterSeconds is the Retry-After of a request that was refused for memory.
	retryAfterSeconds = "1"
)

// http2Config bounds what one connection of HTTP/2 holds.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxHTTP2Requests, MaxReadFrameSize: 16 << 10,
		MaxReceiveBufferPerConnection: http2BodyBytes, MaxReceiveBufferPerStream: http2BodyBytes,
		WriteByteTimeout: writeTimeout,
	}
}

// guardRequests wraps a handler: it accounts for the requests in progress and refuses
// those for which there is no room, which have not run then.
func guardRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		guarded := guardedOf(c)
		switch {
		case guarded == nil:
			h.ServeHTTP(w, r)
		case r.ProtoMajor == 2:
			guarded.serveHTTP2(h, w, r)
		default:
			guarded.serveHTTP1(h, w, r)
		}
	})
}

func (c *guardedConn) serveHTTP1(h http.Handler, w http.ResponseWriter, r *http.Request) {
	whole := r.ContentLength == 0
	size := headSize(r)
	if !c.begin(whole) {
		panic(http.ErrAbortHandler)
	}
	// A part of the head may have been read together with the request before it.
	if !c.growHead(size) {
		c.refuse(w)
		return
	}
	if whole {
		h.ServeHTTP(w, r)
		return
	}
	body := newGuardedBody(r.Body, c, c.complete)
	h.ServeHTTP(w, withBody(r, body))
	// The HTTP server waits by itself before it closes a connection that was to stay open.
	c.unread.Store(r.Close && !body.done)
}

func (c *guardedConn) serveHTTP2(h http.Handler, w http.ResponseWriter, r *http.Request) {
	c.requests.Add(1)
	s := &stream{conn: c}
	defer s.end()
	whole := r.ContentLength == 0
	if !s.begin(whole) {
		panic(http.ErrAbortHandler)
	}
	n := streamBytes + headFactor*headSize(r)
	if !c.grow(n - s.reserved) {
		c.shrink(s.reserved)
		c.refuse(w)
		return
	}
	defer c.shrink(n)
	if !whole && !c.holdWindow() {
		c.refuse(w)
		return
	}
	if !whole {
		body := newGuardedBody(r.Body, c, s.complete)
		defer body.release()
		r = withBody(r, body)
	}
	answer := &deadlineWriter{ResponseWriter: w, progress: &c.progress}
	h.ServeHTTP(answer, r)
	// The HTTP server would write the rest of the answer when the request no longer counts.
	// An error means that the client has left.
	_ = answer.FlushError()
}

// withBody returns a copy of a request with another body. The HTTP server needs its own
// body to answer a request before the rest of a long body arrives.
func withBody(r *http.Request, body io.ReadCloser) *http.Request {
	r = r.WithContext(r.Context())
	r.Body = body
	return r
}

func (c *guardedConn) endHTTP2() {
	if c.requests.Add(-1) == 0 {
		c.becomeIdle()
	}
}

// refuse answers a request for which there is no room, and which has not run.
func (c *guardedConn) refuse(w http.ResponseWriter) {
	c.guard.report.requestRefused()
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// headSize returns the size of the head of a request.
func headSize(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return int64(n)
}

// deadlineWriter limits the time in which an answer of HTTP/2 is taken, from its
// beginning on, by its stated length. Flow control can hold a write back that the
// connection's deadline does not see.
type deadlineWriter struct {
	http.ResponseWriter
	progress *progress
	once     sync.Once
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *deadlineWriter) limit() {
	w.once.Do(func() {
		// A length that is not stated counts as 0.
		n, _ := strconv.Atoi(w.Header().Get("Content-Length"))
		// An error means that the request has ended.
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(timeToTake(n)))
	})
}

// WriteHeader implements http.ResponseWriter.
func (w *deadlineWriter) WriteHeader(status int) {
	w.limit()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.limit()
	w.progress.begin(len(p))
	defer w.progress.end()
	return w.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (w *deadlineWriter) FlushError() error {
	w.progress.begin(0)
	defer w.progress.end()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Hold accounts for n bytes that are held for the client of the request with this
// context, such as a page that is being sent, until release is called. It reports whether
// there is room; if not, the request is refused.
func Hold(ctx context.Context, n int) (release func(), ok bool) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	guarded := guardedOf(c)
	if guarded == nil {
		return func() {}, true
	}
	if !guarded.grow(int64(n)) {
		guarded.guard.report.requestRefused()
		return nil, false
	}
	return func() { guarded.shrink(int64(n)) }, true
}

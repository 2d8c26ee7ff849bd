//go:build flood

package flood

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// clientsPerKind is how many clients send the requests of one kind.
	clientsPerKind = 300
	// http2Streams is how many requests one client of HTTP/2 sends at a time.
	http2Streams = 20
	// maxStreams is how many requests a client of HTTP/2 may send at a time.
	maxStreams = 100
	// pipelined is how many requests a client of HTTP/1.1 sends before it reads.
	pipelined = 20
	// resetRequests is how many requests one client of HTTP/2 resets, and pings how many
	// pings it sends.
	resetRequests, pings = 480, 100_000
	// announcedBytes is the length that the longest body states.
	announcedBytes = 8 << 30
	// bodyBytes is what a client sends of a body without an end.
	bodyBytes = 4 << 20
	// longTable is the number of routes of a table that is a long answer.
	longTable = 1000
	// readInterval is the time between two bytes that a slow client reads.
	readInterval = 100 * time.Millisecond
)

// listener is one that the clients connect to.
type listener struct {
	name, address string
	// maxHead is the longest head that a client may send.
	maxHead int
	// post is a path that takes a body.
	post string
	// longMethod, longPath and longBody are a request with a long answer.
	longMethod, longPath, longBody string
}

// client sends bytes on a connection and returns once they are sent, or not taken.
type client func(l listener, c net.Conn)

// clientKinds are clients that are outside of the limits, or inside of them with an unusual
// request.
var clientKinds = []struct {
	name   string
	client client
}{
	{"many short header lines over HTTP/1.1", sendHead(shortLines)},
	{"many short header lines over HTTP/2", sendHTTP2Heads(shortFields)},
	{"empty header values over HTTP/1.1", sendHead(emptyValues)},
	{"empty header values over HTTP/2", sendHTTP2Heads(emptyFields)},
	{"many values of one header over HTTP/1.1", sendHead(equalLines)},
	{"many values of one header over HTTP/2", sendHTTP2Heads(equalFields)},
	{"folded header lines over HTTP/1.1", sendHead(foldedLines)},
	{"odd characters in header lines over HTTP/1.1", sendHead(oddLines)},
	{"odd characters in header lines over HTTP/2", sendHTTP2Heads(oddFields)},
	{"headers that list header names over HTTP/1.1", sendHead(listedLines)},
	{"heads begun behind other requests over HTTP/1.1", beginNextHead},
	{"bodies announced over the limit over HTTP/1.1", sendBody(fmt.Sprintf("Content-Length: %d\r\n\r\n", announcedBytes), false)},
	{"bodies announced over the limit over HTTP/2", sendHTTP2Body(announcedBytes)},
	{"chunked bodies without an end over HTTP/1.1", sendBody("Transfer-Encoding: chunked\r\n\r\n", true)},
	{"bodies without an end over HTTP/2", sendHTTP2Body(-1)},
	{"long answers read slowly over HTTP/1.1", readSlowly},
	{"long answers read slowly over HTTP/2", readSlowlyHTTP2},
	{"short answers without a window over HTTP/2", takeNoAnswer},
	{"heads over the limit without a window over HTTP/2", sendLongHeads},
	{"expanded heads that are reset over HTTP/2", resetExpandedHeads},
	{"pings whose answers are not read over HTTP/2", sendPings},
}

// TestAbusiveClients guards against a process that ends, or answers nobody, because of clients
// that send unusual requests or do not read their answers.
func TestAbusiveClients(t *testing.T) {
	checkDescriptors(t)
	for _, kind := range clientKinds {
		t.Run(kind.name, func(t *testing.T) {
			control, entry := startFleet(t, lowMemoryMB)
			awaitStatus(t, http.MethodPost, control.address(controlPort)+"/Configuration.Replace", tableText(2, longTable))
			standalone := startStandalone(t, os.Getenv("RADISHTURND"))
			for _, l := range listeners(control, entry, standalone) {
				t.Log(kind.name, "at", l.name)
				conns := startClients(l, kind.client)
				for _, d := range []*daemon{control, entry, standalone} {
					d.checkAlive()
				}
				awaitStatus(t, http.MethodGet, entry.address(callerPort)+"/o/1", "")
				awaitStatus(t, http.MethodGet, control.address(controlPort)+"/Configuration.Get", "")
				awaitStatus(t, http.MethodPost, standalone.address(callerPort)+queryPath, queryText)
				for _, d := range []*daemon{control, entry, standalone} {
					d.checkResources()
				}
				conns.close()
			}
		})
	}
}

func listeners(control, entry, standalone *daemon) []listener {
	return []listener{
		{
			name: "callers", address: entry.address(callerPort), maxHead: 60 << 10, post: "/o/1",
			longMethod: http.MethodGet, longPath: "/o/1",
		},
		{
			name: "operators", address: control.address(controlPort), maxHead: 15 << 10, post: "/Configuration.Replace",
			longMethod: http.MethodGet, longPath: "/Configuration.Get",
		},
		{
			name: "callers of the standalone instance", address: standalone.address(callerPort), maxHead: 15 << 10, post: queryPath,
			longMethod: http.MethodPost, longPath: queryPath, longBody: queryText,
		},
	}
}

// startClients runs all clients, and returns once they have sent what they send at first.
func startClients(l listener, send client) *heldConns {
	held := &heldConns{}
	var clients sync.WaitGroup
	for i := range clientsPerKind {
		clients.Go(func() {
			c, err := dial(l.address, i)
			if err != nil {
				return
			}
			held.mu.Lock()
			held.conns = append(held.conns, c)
			held.mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(writeWait))
			send(l, c)
		})
	}
	clients.Wait()
	return held
}

// requestStart returns the first lines of a request.
func requestStart(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Radishturn-Request-Id: abusive\r\n", method, path)
}

// sendHead sends a whole head of the longest length, whose body does not come.
func sendHead(line func(n int) string) client {
	return func(l listener, c net.Conn) {
		head := []byte(requestStart(http.MethodPost, l.post) + "Content-Length: 1000\r\n")
		for n := 0; len(head) < l.maxHead; n++ {
			head = append(head, line(n)...)
		}
		_, _ = c.Write(append(head, "\r\n"...))
	}
}

// beginNextHead sends a request and, in the same piece, short lines of a head without an end.
func beginNextHead(_ listener, c net.Conn) {
	const buffered = 4 << 10
	head := []byte(requestStart(http.MethodGet, "/unknown") + "\r\n" + requestStart(http.MethodGet, "/unknown"))
	for n := 0; len(head) < buffered-16; n++ {
		head = append(head, emptyValues(n)...)
	}
	_, _ = c.Write(head)
	go readBytes(c)
}

func shortLines(n int) string  { return fmt.Sprintf("%x:b\r\n", n) }
func emptyValues(n int) string { return fmt.Sprintf("%x:\r\n", n) }
func equalLines(int) string    { return "a:b\r\n" }
func oddLines(n int) string    { return fmt.Sprintf("!#$%%&'*+-.^_`|~%x: \t\xff\xfe\t \r\n", n) }

func foldedLines(n int) string {
	if n%100 == 0 {
		return fmt.Sprintf("a%x:\r\n", n)
	}
	return " b\r\n"
}

func listedLines(n int) string {
	if n%2 == 0 {
		return fmt.Sprintf("Connection: A%x,B,C,D\r\n", n)
	}
	return fmt.Sprintf("A%x:b\r\n", n)
}

// field returns a header field of HTTP/2.
type field func(n int) (name, value string)

func shortFields(n int) (name, value string) { return fmt.Sprintf("%x", n), "b" }
func emptyFields(n int) (name, value string) { return fmt.Sprintf("%x", n), "" }
func equalFields(int) (name, value string)   { return "a", "b" }
func oddFields(n int) (name, value string) {
	return fmt.Sprintf("!#$%%&'*+-.^_`|~%x", n), "\t\xff\xfe\t"
}

// http2Request is a connection of HTTP/2 that is being written.
type http2Request struct {
	sent    bytes.Buffer
	framer  *http2.Framer
	fields  bytes.Buffer
	encoder *hpack.Encoder
	// size is the size of the header list, as RFC 9113 counts it.
	size int
}

func newHTTP2(settings ...http2.Setting) *http2Request {
	r := &http2Request{}
	_, _ = r.sent.WriteString(http2.ClientPreface)
	r.framer = http2.NewFramer(&r.sent, nil)
	_ = r.framer.WriteSettings(settings...)
	r.encoder = hpack.NewEncoder(&r.fields)
	return r
}

func (r *http2Request) begin(method, path string) {
	r.fields.Reset()
	r.size = 0
	for _, f := range [][2]string{{":method", method}, {":scheme", "http"}, {":authority", "h.example"}, {":path", path}, {"x-radishturn-request-id", "abusive"}} {
		r.add(f[0], f[1])
	}
}

// add adds a field that is sent in full.
func (r *http2Request) add(name, value string) {
	f := hpack.HeaderField{Name: name, Value: value, Sensitive: true}
	r.size += int(f.Size())
	_ = r.encoder.WriteField(f)
}

// end sends the head of a request.
func (r *http2Request) end(stream uint32, withBody bool) {
	const frameBytes = 16 << 10
	block := r.fields.Bytes()
	first := min(len(block), frameBytes)
	_ = r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block[:first], EndStream: !withBody, EndHeaders: first == len(block)})
	for block = block[first:]; len(block) > 0; {
		next := min(len(block), frameBytes)
		_ = r.framer.WriteContinuation(stream, next == len(block), block[:next])
		block = block[next:]
	}
}

// sendHTTP2Heads sends heads of the longest length, whose bodies do not come.
func sendHTTP2Heads(next field) client {
	return func(l listener, c net.Conn) {
		r := newHTTP2()
		for i := range uint32(http2Streams) {
			r.begin(http.MethodPost, l.post)
			for n := 0; r.size < l.maxHead; n++ {
				r.add(next(n))
			}
			r.end(2*i+1, true)
		}
		_, _ = c.Write(r.sent.Bytes())
	}
}

// sendBody sends the head of a request and much of its body. framing is the end of the
// head, with a length or chunked.
func sendBody(framing string, chunked bool) client {
	return func(l listener, c net.Conn) {
		part := bytes.Repeat([]byte(" "), 16<<10)
		if chunked {
			part = append(fmt.Appendf(nil, "%x\r\n", len(part)), append(part, "\r\n"...)...)
		}
		_, err := io.WriteString(c, requestStart(http.MethodPost, l.post)+framing)
		for sent := 0; err == nil && sent < bodyBytes; sent += len(part) {
			_, err = c.Write(part)
		}
	}
}

// spaces is a body of bodyBytes spaces that does not end after them.
type spaces struct {
	left int
	stop <-chan struct{}
}

// Read implements io.Reader.
func (s *spaces) Read(p []byte) (int, error) {
	if s.left == 0 {
		<-s.stop
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), s.left)
	copy(p, bytes.Repeat([]byte(" "), n))
	s.left -= n
	return n, nil
}

// sendHTTP2Body sends much of the bodies of requests, as fast as flow control allows.
func sendHTTP2Body(length int64) client {
	return func(l listener, c net.Conn) {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		var once sync.Once
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (dialed net.Conn, err error) {
			err = net.ErrClosed
			once.Do(func() { dialed, err = c, nil })
			return dialed, err
		}}
		ctx, cancel := context.WithTimeout(context.Background(), writeWait)
		defer cancel()
		var requests sync.WaitGroup
		for range http2Streams {
			requests.Go(func() {
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+l.post, &spaces{left: bodyBytes / http2Streams, stop: ctx.Done()})
				request.Host, request.ContentLength = "h.example", length
				request.Header.Set("X-Radishturn-Request-Id", "abusive")
				if response, err := transport.RoundTrip(request); err == nil {
					<-ctx.Done()
					_ = response.Body.Close()
				}
			})
		}
		requests.Wait()
	}
}

// readSlowly asks for long answers and reads a byte now and then.
func readSlowly(l listener, c net.Conn) {
	_ = c.(*net.TCPConn).SetReadBuffer(1)
	request := requestStart(l.longMethod, l.longPath)
	if l.longBody != "" {
		request += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(l.longBody))
	}
	_, _ = c.Write([]byte(strings.Repeat(request+"\r\n"+l.longBody, pipelined)))
	go readBytes(c)
}

// readSlowlyHTTP2 asks for long answers, each with a window of one byte.
func readSlowlyHTTP2(l listener, c net.Conn) {
	_ = c.(*net.TCPConn).SetReadBuffer(1)
	r := newHTTP2(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
	for i := range uint32(http2Streams) {
		r.begin(l.longMethod, l.longPath)
		r.add("content-type", "application/json")
		r.end(2*i+1, l.longBody != "")
		if l.longBody != "" {
			_ = r.framer.WriteData(2*i+1, true, []byte(l.longBody))
		}
	}
	_, _ = c.Write(r.sent.Bytes())
	go readBytes(c)
}

// takeNoAnswer asks for short answers, none of which has a window.
func takeNoAnswer(l listener, c net.Conn) {
	r := newHTTP2(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	for i := range uint32(maxStreams) {
		r.begin(http.MethodGet, "/unknown")
		r.end(2*i+1, false)
	}
	_, _ = c.Write(r.sent.Bytes())
	go readBytes(c)
}

// sendLongHeads sends heads that are short on the wire and over the limit decoded. Their
// answers have no window.
func sendLongHeads(l listener, c net.Conn) {
	const valueBytes = 3 << 10
	r := newHTTP2(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	for i := range uint32(maxStreams) {
		r.begin(http.MethodGet, "/unknown")
		for size := 0; size < 2*l.maxHead; size += valueBytes {
			_ = r.encoder.WriteField(hpack.HeaderField{Name: "a", Value: strings.Repeat("b", valueBytes)})
		}
		r.end(2*i+1, false)
	}
	_, _ = c.Write(r.sent.Bytes())
	go readBytes(c)
}

// resetExpandedHeads sends heads within the limit that are short on the wire, and resets
// their requests.
func resetExpandedHeads(l listener, c net.Conn) {
	const valueBytes = 3 << 10
	r := newHTTP2()
	for i := range uint32(resetRequests) {
		r.begin(l.longMethod, l.longPath)
		for size := valueBytes; size < l.maxHead; size += valueBytes {
			_ = r.encoder.WriteField(hpack.HeaderField{Name: "cookie", Value: strings.Repeat("b", valueBytes-100)})
		}
		r.end(2*i+1, false)
		_ = r.framer.WriteRSTStream(2*i+1, http2.ErrCodeCancel)
	}
	_, _ = c.Write(r.sent.Bytes())
	go readBytes(c)
}

// sendPings sends pings and reads none of the answers.
func sendPings(_ listener, c net.Conn) {
	_ = c.(*net.TCPConn).SetReadBuffer(1)
	r := newHTTP2()
	for range pings {
		_ = r.framer.WritePing(false, [8]byte{})
	}
	_, _ = c.Write(r.sent.Bytes())
}

// readBytes reads a byte now and then until the connection is closed.
func readBytes(c net.Conn) {
	_ = c.SetDeadline(time.Time{})
	for one := make([]byte, 1); ; time.Sleep(readInterval) {
		if _, err := c.Read(one); err != nil {
			return
		}
	}
}

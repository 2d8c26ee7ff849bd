//go:build flood

package flood

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// clientCount is how many connections one flood holds at a time.
	clientCount = 1000
	// rounds is how often each client opens a connection in place of one that was closed.
	rounds = 3
	// neededDescriptors are those of the connections, and of the targets and files.
	neededDescriptors = clientCount + 500
	// replyBytes is the body of the target's reply.
	replyBytes = 100 << 10
	// writeWait bounds each write of a client whose bytes are not read.
	writeWait = 2 * time.Second
)

const requestHead = " /o/1 HTTP/1.1\r\nHost: h.example\r\nX-Radishturn-Request-Id: flood\r\n"

// floods are the bytes that each client sends before it waits without reading.
var floods = []struct {
	name string
	sent []byte
}{
	{"heads without an end", []byte("GET" + requestHead + "X-A: " + strings.Repeat("a", 60<<10))},
	{"heads of many fields", []byte("GET" + requestHead + strings.Repeat("A: b\r\n", 10<<10))},
	{"heads over the limit", []byte("GET" + requestHead + "X-A: " + strings.Repeat("a", 200<<10))},
	{"empty lines", bytes.Repeat([]byte("\r\n"), 100<<10)},
	{"bodies without an end", []byte("POST" + requestHead + "Content-Length: 262144\r\n\r\n" + strings.Repeat("b", 200<<10))},
	{"chunk extensions", []byte("POST" + requestHead + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 100<<10))},
	{"answers not read", []byte(strings.Repeat("GET"+requestHead+"\r\n", 200))},
	{"HTTP/2 heads without an end", unfinishedHTTP2()},
}

// unfinishedHTTP2 returns an HTTP/2 connection whose first request has no end of its head.
func unfinishedHTTP2() []byte {
	var fields, sent bytes.Buffer
	encoder := hpack.NewEncoder(&fields)
	for _, f := range []string{":method GET", ":scheme http", ":authority h.example", ":path /o/1", "x-a " + strings.Repeat("~", 60<<10)} {
		name, value, _ := strings.Cut(f, " ")
		_ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
	}
	_, _ = sent.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&sent, nil)
	_ = framer.WriteSettings()
	block := fields.Bytes()
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:1<<10]})
	for block = block[1<<10:]; len(block) > 16<<10; block = block[16<<10:] {
		_ = framer.WriteContinuation(1, false, block[:16<<10])
	}
	return sent.Bytes()
}

// TestFlood guards against clients that end a process, take its descriptors, or keep
// others from being answered. It checks no durations and no fractions of requests.
func TestFlood(t *testing.T) {
	checkDescriptors(t)
	for _, flood := range floods {
		t.Run(flood.name, func(t *testing.T) {
			control, entry := startFleet(t, floodMemoryMB)
			for _, address := range []string{
				entry.address(callerPort), entry.address(readyPort), entry.address(metricsPort),
				control.address(controlPort), control.address(metricsPort),
			} {
				t.Log(flood.name, "at", address)
				held := startFlood(address, flood.sent)
				entry.checkAlive()
				control.checkAlive()
				awaitStatus(t, http.MethodGet, entry.address(callerPort)+"/o/1", "")
				awaitStatus(t, http.MethodGet, control.address(controlPort)+"/Configuration.Get", "")
				awaitStatus(t, http.MethodGet, entry.address(readyPort)+"/readiness", "")
				awaitStatus(t, http.MethodGet, entry.address(metricsPort)+"/metrics", "")
				awaitStatus(t, http.MethodGet, control.address(metricsPort)+"/status", "")
				entry.checkResources()
				control.checkResources()
				held.close()
			}
		})
	}
}

// checkDescriptors checks that this process can open all connections of a flood. Without
// them the flood is smaller than stated, and passes.
func checkDescriptors(t *testing.T) {
	var limit syscall.Rlimit
	must(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	if limit.Cur < neededDescriptors {
		t.Fatalf("%d descriptors allowed, %d needed; see ulimit -n", limit.Cur, neededDescriptors)
	}
}

// heldConns are the connections of a flood.
type heldConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

// startFlood opens connections, each of which sends the same bytes, and returns once all
// have sent what the other side takes.
func startFlood(address string, sent []byte) *heldConns {
	held := &heldConns{}
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() {
			for range rounds {
				if c, err := dial(address, i); err == nil && held.send(c, sent) {
					return
				}
			}
		})
	}
	clients.Wait()
	return held
}

// send sends bytes and reports whether the connection is still open afterwards, and held.
func (h *heldConns) send(c net.Conn, sent []byte) bool {
	_ = c.SetDeadline(time.Now().Add(writeWait))
	_, err := io.Copy(c, bytes.NewReader(sent))
	timeout, ok := err.(net.Error)
	if err != nil && !(ok && timeout.Timeout()) {
		_ = c.Close()
		return false
	}
	h.mu.Lock()
	h.conns = append(h.conns, c)
	h.mu.Unlock()
	return true
}

func (h *heldConns) close() {
	for _, c := range h.conns {
		_ = c.Close()
	}
}

//go:build review

package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leaf is one leaf. Its handler decides what it does with each request.
type leaf struct {
	f                                   *fleet
	id, service, zone, version, address string
	slots                               int
	born                                int64
	draining, gone                      bool
	handle                              func(l *leaf, c *leafConn, r *leafRequest) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// leafRequest is a request that has arrived at a leaf, with its whole body.
type leafRequest struct {
	method, uri, id, expected string
	deadline                  time.Duration
	header                    http.Header
	body                      []byte
	at                        time.Time
}

type leafConn struct {
	net.Conn
	br *bufio.Reader
}

func (f *fleet) startLeaf(service, zone, version string, handle func(*leaf, *leafConn, *leafRequest) bool) (*leaf, error) {
	listener, err := net.Listen("tcp4", f.prefix+"240:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &leaf{
		f: f, id: fmt.Sprintf("i-%s-%d", service, len(f.leafs)+1), service: service, zone: zone, version: version, slots: 4,
		born: time.Now().UnixMilli(), address: listener.Addr().String(), listener: listener, handle: handle, conns: make(map[net.Conn]bool),
	}
	f.leafs = append(f.leafs, l)
	go l.accept()
	return l, nil
}

func (l *leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.serve(&leafConn{Conn: c, br: bufio.NewReader(c)})
	}
}

func (l *leaf) serve(c *leafConn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.conns, c.Conn)
		l.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ms, _ := strconv.Atoi(r.Header.Get("X-Radishturn-Deadline-Milliseconds"))
		q := &leafRequest{
			method: r.Method, uri: r.RequestURI, id: r.Header.Get("X-Radishturn-Request-Id"), expected: r.Header.Get("X-Radishturn-Expected-Instance"),
			deadline: time.Duration(ms) * time.Millisecond, header: r.Header, body: body, at: time.Now(),
		}
		if q.expected != l.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Radishturn-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id)
			continue
		}
		if !l.handle(l, c, q) {
			return
		}
	}
}

// stop ends the leaf: it closes its listener and all connections.
func (l *leaf) stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *leaf) set(change func()) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	change()
}

// sign returns the signature of an answer.
func (l *leaf) sign(id string, status int, body []byte) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\n%s\n%d\n", l.id, id, status)
	_, _ = h.Write(body)
	return fmt.Sprintf("%s.%x", l.id, h.Sum64())
}

// answer returns a whole signed answer.
func (l *leaf) answer(r *leafRequest, status int, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nX-Radishturn-Request-Id: %s\r\nX-Radishturn-Server-Signature: %s\r\nX-Radishturn-Server-Load: 1,0,%d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.id, l.sign(r.id, status, body), l.slots, len(body), body)
}

// refusal returns a refusal that states that the request did not run.
func (l *leaf) refusal(r *leafRequest, status int, extra string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nX-Radishturn-Request-Id: %s\r\nX-Radishturn-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), r.id, extra)
}

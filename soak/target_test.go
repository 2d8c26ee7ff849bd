//go:build soak

package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// target is a simulated back end. It signs its responses, so that the checker can
// tell which target answered a client, and records the requests that it ran.
type target struct {
	id, service, zone, address string
	server                     *http.Server
	proxy                      *proxy
	fleet                      *fleet

	mu       sync.Mutex
	draining time.Time
	mode     targetMode
}

// targetMode selects the fault of a target.
type targetMode int

const (
	healthy targetMode = iota
	slow
	failing
	shedding
	truncating
	modeCount
)

// shedRetryAfter is the pause that a target asks for when it sheds a request, in seconds.
const shedRetryAfter = "0.2"

// run is one execution of a request by a target.
type run struct {
	target *target
	at     time.Time
	ok     bool
}

func signature(targetID, request string, body []byte) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, targetID+"\n"+request+"\n")
	_, _ = h.Write(body)
	return fmt.Sprintf("%s.%x", targetID, h.Sum64())
}

// startTarget starts a target behind its own proxy. The platform's list calls
// back ends instances, hence the prefix of the ID.
func (f *fleet) startTarget(service, zone string) *target {
	l := &target{id: fmt.Sprintf("i-%d", f.nextID()), service: service, zone: zone, fleet: f}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	f.must(err)
	l.server = &http.Server{Handler: l, IdleTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	l.proxy = startProxy(f, listener.Addr().String())
	l.address = l.proxy.address()
	f.mu.Lock()
	f.targets[l.id] = l
	f.mu.Unlock()
	return l
}

// drain marks the target as draining in the platform's list of back ends.
func (l *target) drain() {
	l.mu.Lock()
	l.draining = time.Now()
	l.mu.Unlock()
}

func (l *target) stop() {
	l.fleet.mu.Lock()
	delete(l.fleet.targets, l.id)
	l.fleet.mu.Unlock()
	l.proxy.stop()
	_ = l.server.Close()
}

func (l *target) setMode(m targetMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

func (l *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishturn-Request-Id")
	w.Header().Set("X-Radishturn-Request-Id", id)
	if r.Header.Get("X-Radishturn-Expected-Instance") != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	mode, draining := l.mode, l.draining
	l.mu.Unlock()
	if !draining.IsZero() {
		w.Header().Set("Server-Leaving", "1")
	}
	if mode == shedding && rand.IntN(2) == 0 {
		w.Header().Set("X-Radishturn-Not-Executed", "1")
		w.Header().Set("Retry-After", shedRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ok := mode != failing || rand.IntN(2) == 0
	l.fleet.checkCaller(r)
	l.fleet.checker.recordRun(id, run{target: l, at: time.Now(), ok: ok}, draining)
	delay := time.Duration(3+rand.IntN(10)) * time.Millisecond
	if mode == slow {
		delay *= 12
	}
	time.Sleep(delay)
	body := records(l.id, id)
	status := http.StatusOK
	if !ok {
		status, body = http.StatusInternalServerError, []byte("failed")
	}
	w.Header().Set("X-Radishturn-Server-Signature", signature(l.id, id, body))
	if mode == truncating && rand.IntN(4) == 0 {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+7))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// records returns a target's part of the answer to a request: a few records
// derived from the target's ID and the request's ID.
func records(targetID, request string) []byte {
	var body []byte
	for i := range 4 {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s/%s/%d", targetID, request, i)
		body = h.Sum(body)
	}
	return body
}

// oddEntries are entries of another writer. They name no back end to use, and the
// readers of the list must keep all others.
var oddEntries = []string{
	`{"id":7}`, `"damaged"`, `null`, `{"id":"i-open`, "\x00\xff",
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	`{"id":"i-odd","service":"orders","address":"127.0.0.1:65536","zone":"a","version":"v1","slots":4,"state":"ready"}`,
	`{"id":"i-odd","service":"orders","address":"127.0.0.1:9","zone":"a","version":"v1","slots":9223372036854775808,"state":"ready"}`,
}

// serveList serves the platform's list of back ends with odd entries between them.
func (f *fleet) serveList(rw http.ResponseWriter, _ *http.Request) {
	type entry struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Version string `json:"version"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
	}
	entries := slices.Clone(oddEntries)
	f.mu.Lock()
	for _, l := range f.targets {
		l.mu.Lock()
		state := "ready"
		if !l.draining.IsZero() {
			state = "draining"
		}
		l.mu.Unlock()
		encoded, err := json.Marshal(entry{l.id, l.service, l.address, l.zone, "v1", 4, state})
		f.must(err)
		entries = append(entries, string(encoded))
	}
	f.mu.Unlock()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	_, _ = fmt.Fprintf(rw, `{"instances":[%s],"next-page-token":null}`, strings.Join(entries, ","))
}

// proxy forwards the connections of the entry instances to one target, and injects
// network faults.
type proxy struct {
	listener      net.Listener
	targetAddress string
	fleet         *fleet

	mu    sync.Mutex
	fault string
	conns map[net.Conn]bool
}

// proxyFaults are the network faults that a proxy can inject: it delays the bytes,
// resets the connections, drops the bytes in both directions (silence), or drops
// those from the target (one-way).
var proxyFaults = []string{"delay", "reset", "silence", "one-way"}

func startProxy(f *fleet, targetAddress string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.must(err)
	p := &proxy{listener: l, targetAddress: targetAddress, fleet: f, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(f string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == "reset" {
		for c := range p.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) currentFault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.setFault("reset")
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.targetAddress)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

// copy forwards bytes, subject to the current fault. back is set for the
// direction from the target to the client.
func (p *proxy) copy(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(back) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes applies the current fault and reports whether to forward the bytes;
// otherwise they are dropped.
func (p *proxy) passes(back bool) bool {
	switch p.currentFault() {
	case "delay":
		time.Sleep(80 * time.Millisecond)
	case "silence":
		return false
	case "one-way":
		return !back
	}
	return true
}

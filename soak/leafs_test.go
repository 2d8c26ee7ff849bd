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
	"sync"
	"time"
)

// leaf is a fake back end. It signs what it answers, so that the checker can
// tell whose answer a client got, and records what it ran.
type leaf struct {
	id, service, zone, address string
	server                     *http.Server
	proxy                      *proxy
	world                      *world

	mu       sync.Mutex
	draining time.Time
	mode     leafMode
}

// leafMode is how a leaf misbehaves.
type leafMode int

const (
	sound leafMode = iota
	slow
	failing
	shedding
	cutting
	modes
)

// run is one execution of a request by a leaf.
type run struct {
	leaf *leaf
	at   time.Time
	ok   bool
}

func signature(leafID, request string, body []byte) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, leafID+"\n"+request+"\n")
	_, _ = h.Write(body)
	return fmt.Sprintf("%s.%x", leafID, h.Sum64())
}

// startLeaf starts a leaf behind a proxy of its own.
func (w *world) startLeaf(service, zone string) *leaf {
	l := &leaf{id: fmt.Sprintf("i-%d", w.nextID()), service: service, zone: zone, world: w}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	l.server = &http.Server{Handler: l, IdleTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	l.proxy = startProxy(w, listener.Addr().String())
	l.address = l.proxy.address()
	w.mu.Lock()
	w.leafs[l.id] = l
	w.mu.Unlock()
	return l
}

// drain lists the leaf as draining; stop ends it.
func (l *leaf) drain() {
	l.mu.Lock()
	l.draining = time.Now()
	l.mu.Unlock()
}

func (l *leaf) stop() {
	l.world.mu.Lock()
	delete(l.world.leafs, l.id)
	l.world.mu.Unlock()
	l.proxy.stop()
	_ = l.server.Close()
}

func (l *leaf) setMode(m leafMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishturn-Request-Id")
	w.Header().Set("X-Radishturn-Request-Id", id)
	if r.Header.Get("X-Radishturn-Expected-Instance") != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	mode, draining := l.mode, l.draining
	l.mu.Unlock()
	if mode == shedding && rand.IntN(2) == 0 {
		w.Header().Set("X-Radishturn-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ok := mode != failing || rand.IntN(2) == 0
	l.world.check.ran(id, run{leaf: l, at: time.Now(), ok: ok}, draining)
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
	if mode == cutting && rand.IntN(4) == 0 {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+7))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// records are the part of one leaf for one request: a few records that follow
// from both names.
func records(leafID, request string) []byte {
	var body []byte
	for i := range 4 {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s/%s/%d", leafID, request, i)
		body = h.Sum(body)
	}
	return body
}

// serveList is the platform's list of back ends.
func (w *world) serveList(rw http.ResponseWriter, _ *http.Request) {
	type entry struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
	}
	list := struct {
		Instances []any `json:"instances"`
	}{Instances: []any{map[string]any{"id": 7}, "damaged"}}
	w.mu.Lock()
	for _, l := range w.leafs {
		l.mu.Lock()
		state := "ready"
		if !l.draining.IsZero() {
			state = "draining"
		}
		l.mu.Unlock()
		list.Instances = append(list.Instances, entry{l.id, l.service, l.address, l.zone, 4, state})
	}
	w.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(list)
}

// proxy stands between the entries and one leaf.
type proxy struct {
	listener net.Listener
	target   string
	world    *world

	mu    sync.Mutex
	fault string
	conns map[net.Conn]bool
}

// faults of a proxy.
var proxyFaults = []string{"delay", "reset", "silence", "one-way"}

func startProxy(w *world, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	p := &proxy{listener: l, target: target, world: w, conns: make(map[net.Conn]bool)}
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

func (p *proxy) current() string {
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
		out, err := net.Dial("tcp4", p.target)
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

// copy passes bytes on, subject to the fault of the moment. Back is the way from
// the leaf.
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

// passes reports whether bytes go through now; bytes that do not are lost.
func (p *proxy) passes(back bool) bool {
	switch p.current() {
	case "delay":
		time.Sleep(80 * time.Millisecond)
	case "silence":
		return false
	case "one-way":
		return !back
	}
	return true
}

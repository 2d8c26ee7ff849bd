// Package exchangetest provides a fake target with a simple line-based protocol
// and injectable faults.
package exchangetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
)

// Codec implements the protocol of the fake target: a request is one line, and a
// reply is one line followed by a body.
type Codec struct{}

// Prepare does nothing.
func (Codec) Prepare(*exchange.Request) {}

// AppendRequest encodes a request; its body is not sent.
func (Codec) AppendRequest(dst []byte, r *exchange.Request, o exchange.TargetParams) []byte {
	return fmt.Appendf(dst, "%s %s %d\n", r.ID, o.Target, o.Timeout.Milliseconds())
}

// ReadReply decodes a reply.
func (Codec) ReadReply(br *bufio.Reader, _ exchange.ReplyOptions) (*exchange.Reply, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return nil, err
	}
	var id, signature string
	var notRun, wrong, closes bool
	var length, retryAfter int
	reply := &exchange.Reply{}
	if _, err := fmt.Sscanf(line, "%d %s %s %t %t %t %t %d %d\n", &reply.Status, &id, &signature, &notRun, &wrong, &closes, &reply.Leaving, &retryAfter, &length); err != nil {
		return nil, err
	}
	reply.RetryAfter = time.Duration(retryAfter) * time.Millisecond
	reply.ID, reply.Signature = model.RequestID(id), signature
	if signature == "-" {
		reply.Signature = ""
	}
	reply.NotRun, reply.WrongTarget, reply.Close = notRun, wrong, closes
	reply.Body = make([]byte, length)
	_, err = io.ReadFull(br, reply.Body)
	return reply, err
}

// Behaviour defines how a fake target handles one request.
type Behaviour struct {
	Delay       time.Duration
	Status      int
	NotRun      bool
	WrongTarget bool
	// NoReply sends no reply and keeps the connection open.
	NoReply bool
	// TruncateReply closes the connection in the middle of the reply.
	TruncateReply bool
	// Crash stops the target when it receives the request.
	Crash bool
	// StaleReplyFirst sends a reply to an earlier request before the right one.
	StaleReplyFirst bool
	// Close closes the connection after the reply.
	Close bool
	// Leaving states that the target is going to stop, and RetryAfter that it wants no
	// request for so long; whole milliseconds.
	Leaving    bool
	RetryAfter time.Duration
	Body       []byte
}

// Target is a fake target.
type Target struct {
	ID       model.TargetID
	listener net.Listener

	mu       sync.Mutex
	behave   func(n int) Behaviour
	requests []model.RequestID
	conns    map[net.Conn]bool
	accepted int
	// stopped is set once Stop has closed the connections.
	stopped bool
}

// Start starts a fake target. It calls behave with the number of each request,
// counted from 0; if behave is nil, every request succeeds immediately.
func Start(id model.TargetID, behave func(n int) Behaviour) (*Target, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(id, l, behave), nil
}

// Serve is Start on a given listener.
func Serve(id model.TargetID, l net.Listener, behave func(n int) Behaviour) *Target {
	if behave == nil {
		behave = func(int) Behaviour { return Behaviour{} }
	}
	t := &Target{ID: id, listener: l, behave: behave, conns: make(map[net.Conn]bool)}
	go t.accept()
	return t
}

// Address returns the address that the target listens on.
func (t *Target) Address() netip.AddrPort { return netip.MustParseAddrPort(t.listener.Addr().String()) }

// Requests returns the IDs of the received requests, in order.
func (t *Target) Requests() []model.RequestID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]model.RequestID(nil), t.requests...)
}

// AcceptedConnections returns how many connections the target has accepted.
func (t *Target) AcceptedConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted
}

// Stop closes the listener and all connections.
func (t *Target) Stop() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for c := range t.conns {
		_ = c.Close()
	}
}

// register records a connection, and reports false if the target was stopped while it was
// accepted.
func (t *Target) register(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.conns[c] = true
	t.accepted++
	return true
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		if !t.register(c) {
			_ = c.Close()
			return
		}
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		var id, target string
		var timeout int
		if _, err := fmt.Sscanf(line, "%s %s %d\n", &id, &target, &timeout); err != nil {
			return
		}
		t.mu.Lock()
		n := len(t.requests)
		t.requests = append(t.requests, model.RequestID(id))
		b := t.behave(n)
		t.mu.Unlock()
		if target != string(t.ID) {
			b.WrongTarget = true
		}
		if !t.reply(c, id, b) {
			return
		}
	}
}

// reply answers one request and reports whether the connection stays open.
func (t *Target) reply(c net.Conn, id string, b Behaviour) bool {
	time.Sleep(b.Delay)
	if b.Crash {
		t.Stop()
		return false
	}
	if b.NoReply {
		return true
	}
	if b.Status == 0 {
		b.Status = 200
	}
	signature := string(t.ID) + "." + id
	if b.NotRun || b.WrongTarget {
		b.Status, signature = 503, "-"
	}
	if b.StaleReplyFirst {
		_, _ = fmt.Fprintf(c, "200 earlier %s.earlier false false false false 0 0\n", t.ID)
	}
	length := len(b.Body)
	if b.TruncateReply {
		length += 10
	}
	_, _ = fmt.Fprintf(c, "%d %s %s %t %t %t %t %d %d\n%s", b.Status, id, signature, b.NotRun, b.WrongTarget, b.Close, b.Leaving, b.RetryAfter.Milliseconds(), length, b.Body)
	return !b.TruncateReply && !b.Close
}

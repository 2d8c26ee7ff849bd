// Package httpserver runs the HTTP servers of the daemon with limits that keep
// slow and oversized requests from holding resources.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/membudget"
)

// Limits limits the resources that one connection can hold.
type Limits struct {
	// MaxHeaderBytes limits the size of the headers of one request.
	MaxHeaderBytes int
	// HeaderTimeout and RequestTimeout limit the time in which a client sends the
	// headers and the whole request. They cut off slow clients.
	HeaderTimeout, RequestTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection.
	IdleTimeout time.Duration
	// Share is the listener's part of what the clients of the process may hold, in
	// eighths; ShareSide if it is 0.
	Share int
	// MaxConnections limits the connections at a time if it is not 0. The memory and the
	// descriptors of the process limit them too.
	MaxConnections int
	// Memory is the budget of the process for messages; nil means that its memory is not
	// stated.
	Memory *membudget.Budget
	// BodiesReserved means that the handler itself reserves the bodies that it reads in
	// the budget. They count against the listener's share only while they arrive.
	BodiesReserved bool
}

// With returns the limits with a share and a budget.
func (l Limits) With(share int, memory *membudget.Budget) Limits {
	l.Share, l.Memory = share, memory
	return l
}

// DefaultLimits are the limits of listeners that need no others.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	HeaderTimeout:  5 * time.Second,
	RequestTimeout: 10 * time.Second,
	IdleTimeout:    2 * time.Minute,
}

// Server serves one listener.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
	// end ends the contexts of all requests.
	end context.CancelCauseFunc
	// stop is set once a graceful shutdown has begun.
	stop       atomic.Pointer[stopping]
	inProgress atomic.Int64
}

// New returns a server for the listener; name identifies it in the log. The server
// accepts HTTP/1.1, and also unencrypted HTTP/2 (h2c) if the listener does not use
// TLS.
func New(name string, l net.Listener, handler http.Handler, limits Limits) *Server {
	g := newGuard(name, limits, false)
	return newServer(name, &guardedListener{l, g}, g, handler, limits)
}

// NewTLS is New with TLS.
func NewTLS(name string, l net.Listener, c *tls.Config, handler http.Handler, limits Limits) *Server {
	g := newGuard(name, limits, true)
	return newServer(name, tls.NewListener(&guardedListener{l, g}, c), g, handler, limits)
}

func newServer(name string, l net.Listener, g *guard, handler http.Handler, limits Limits) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{name: name, listener: l}
	base, end := context.WithCancelCause(context.Background())
	s.end = end
	s.http = &http.Server{
		Handler:           guardRequests(s.countRequests(handler)),
		BaseContext:       func(net.Listener) context.Context { return base },
		Protocols:         protocols,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.RequestTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         g.onState,
		HTTP2:             http2Config(),
	}
	return s
}

// SetErrorLog writes the errors of the server, such as failed TLS handshakes, to w.
func (s *Server) SetErrorLog(w io.Writer) { s.http.ErrorLog = log.New(w, "", 0) }

// OnConnect sets a function that derives the context of each new connection.
func (s *Server) OnConnect(f func(context.Context, net.Conn) context.Context) {
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return f(withConn(ctx, c), c) }
}

// Run serves until ctx is done. After FinishStop it waits for ctx, so that a graceful
// shutdown does not end the process before the other modules are done.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	events.Emit(events.ListenerServing, s.name, s.listener.Addr())
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// Close closes all connections and the listener.
func (s *Server) Close() error { return errors.Join(s.http.Close(), ignoreClosed(s.listener.Close())) }

// ignoreClosed drops the error of a listener that is already closed.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Package httpserver runs the HTTP servers of the daemon with the bounds that
// keep slow and oversized requests from holding resources.
package httpserver

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"radishturn.example/radishturn/pkg/events"
)

// Limits bound what one connection may hold.
type Limits struct {
	// MaxHeaderBytes bounds the headers of one request.
	MaxHeaderBytes int
	// HeaderTimeout and Body bound slow senders: the time to send the headers, and the
	// headers and the whole request. They cut off slow senders.
	HeaderTimeout, RequestTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// DefaultLimits are those of the daemon's listeners.
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
}

// New returns a server for the listener; name appears in the log. The server
// speaks HTTP/1.1, and h2c too if the listener has no TLS of its own.
func New(name string, l net.Listener, handler http.Handler, limits Limits) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{name: name, listener: l, http: &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.RequestTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}}
}

// SetErrorLog sends the server's complaints, such as failed handshakes, to w.
func (s *Server) SetErrorLog(w io.Writer) { s.http.ErrorLog = log.New(w, "", 0) }

// OnConnect lets f add to the context of each new connection.
func (s *Server) OnConnect(f func(context.Context, net.Conn) context.Context) { s.http.ConnContext = f }

// Run serves until ctx is done. After Shutdown it waits for ctx, so that a
// planned stop does not end the process before the other modules are done.
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

// Shutdown takes no new connections and returns once the requests in progress
// are finished or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends all connections and closes the listener.
func (s *Server) Close() error { return errors.Join(s.http.Close(), closed(s.listener.Close())) }

// closed passes over the error of a listener that is closed already.
func closed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

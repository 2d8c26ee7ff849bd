package httpserver

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/shutdown"
)

// stopping is a graceful shutdown in progress.
type stopping struct {
	began    time.Time
	schedule shutdown.Schedule
}

// BeginStop begins a graceful shutdown: from now on Admit applies the schedule, and
// each response closes its connection.
func (s *Server) BeginStop(began time.Time, schedule shutdown.Schedule) {
	s.stop.Store(&stopping{began: began, schedule: schedule})
}

// Stopping reports whether a graceful shutdown has begun.
func (s *Server) Stopping() bool { return s.stop.Load() != nil }

// Admit reports whether a request that was read is taken, and returns its timeout, which
// a graceful shutdown shortens.
func (s *Server) Admit(r shutdown.Request) (time.Duration, bool) {
	stop := s.stop.Load()
	if stop == nil {
		return r.Timeout, true
	}
	return stop.schedule.Admit(time.Since(stop.began), r)
}

// FinishStop carries out a shutdown that has begun, until all requests have ended or
// its schedule is over. It closes the listener and idle connections once no request is
// taken any more, so that none that crosses the close is passed on. At AnswerBy it ends
// the contexts of requests in progress, with the cause shutdown.ErrStopping. At CloseAt
// it closes the remaining connections, and returns an error if that cuts off requests.
// The shutdown ends early with ctx.
func (s *Server) FinishStop(ctx context.Context) error {
	stop := s.stop.Load()
	ctx, cancel := context.WithDeadline(ctx, stop.began.Add(stop.schedule.CloseAt))
	defer cancel()
	sleepUntil(ctx, stop.began.Add(stop.schedule.TakeUntil))
	ending := time.AfterFunc(time.Until(stop.began.Add(stop.schedule.AnswerBy)), s.endRequests)
	defer ending.Stop()
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	// Connections without a request do not count.
	n := s.inProgress.Load()
	if err := s.http.Close(); n == 0 {
		return ignoreClosed(err)
	}
	return fmt.Errorf("%d requests in progress: %w", n, err)
}

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endRequests ends the contexts of the requests in progress.
func (s *Server) endRequests() {
	if n := s.inProgress.Load(); n > 0 {
		events.Emit(events.RequestsEndedByStop, s.name, n)
	}
	s.end(shutdown.ErrStopping)
}

// countRequests wraps a handler: it counts the requests in progress, closes connections
// during a shutdown, and ends the read of a body with the context of its request.
func (s *Server) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inProgress.Add(1)
		defer s.inProgress.Add(-1)
		if r.ContentLength != 0 {
			defer endBodyWith(r.Context(), http.NewResponseController(w))()
		}
		h.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
	})
}

// endBodyWith ends the read of a request's body when a shutdown ends its context. It
// returns a function that undoes this.
func endBodyWith(ctx context.Context, c *http.ResponseController) func() bool {
	return context.AfterFunc(ctx, func() {
		if shutdown.IsStopping(ctx) {
			// An error means that the connection has ended.
			_ = c.SetReadDeadline(time.Now())
		}
	})
}

// closingWriter closes the connection after the response if a shutdown has begun.
type closingWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.wroteHeader = true
	if w.server.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

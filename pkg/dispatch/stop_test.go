package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/shutdown"
)

// Callers got the error of a disconnected caller when a planned stop ended their calls.
func TestPlannedStopEndsCallsInProgressAtOnce(t *testing.T) {
	for name, route := range map[string]*routing.Route{
		"one that may not be repeated": singleRoute(false), "one that may be repeated": singleRoute(true), "query": queryRoute("s"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newMemoryFixture(t)
				f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
				f.publish(nil)
				ctx, end := context.WithCancelCause(context.Background())
				began := time.Now()
				time.AfterFunc(100*time.Millisecond, func() { end(shutdown.ErrStopping) })
				c := &Call{Request: &exchange.Request{ID: "r", Method: "GET"}, Route: route, Arrived: began, Timeout: time.Second}
				serve := f.engine.Forward
				if route.Fanout != nil {
					serve = f.engine.Query
				}
				out := serve(ctx, c)
				g.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
				g.Expect(out.Err).NotTo(BeNil())
				g.Expect(out.Err.Code).To(Equal(failure.DeadlineExceeded))
				g.Expect(out.Err.Ran).To(Equal(failure.Unknown))
			})
		})
	}
}

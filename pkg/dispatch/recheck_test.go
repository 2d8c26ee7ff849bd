package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/routing"
)

// doUntilRevoked sends a call that may no longer run after a time; 0 means from the start.
func (f *memoryFixture) doUntilRevoked(after time.Duration, route *routing.Route) Outcome {
	var revoked atomic.Bool
	if after == 0 {
		revoked.Store(true)
	} else {
		time.AfterFunc(after, func() { revoked.Store(true) })
	}
	c := &Call{
		Request: &exchange.Request{ID: "q", Method: "GET"}, Route: route, Arrived: time.Now(), Timeout: 8 * time.Second,
		Recheck: func() *failure.Error {
			if revoked.Load() {
				return failure.New(failure.Unauthorized, failure.NotRun, "check key", "", "revoked")
			}
			return nil
		},
	}
	if route.Fanout != nil {
		return f.engine.Query(context.Background(), c)
	}
	return f.engine.Forward(context.Background(), c)
}

// Guards against a request that runs with a key that was removed while the request
// waited for a connection.
func TestRevokedCallThatWaitsForAConnectionDoesNotRun(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(true), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				f.dialSlowly(900 * time.Millisecond)
				f.add("s", "a", nil)
				f.publish(nil)
				out := f.doUntilRevoked(500*time.Millisecond, route)
				g.Expect(f.requests()).To(BeZero())
				g.Expect(out.Err.Code).To(Equal(failure.Unauthorized))
				g.Expect(out.NotRun()).To(BeTrue())
			})
		})
	}
}

// Guards against a request that runs on an idle connection with a key that was removed
// while its body arrived.
func TestRevokedCallDoesNotRunOnAnIdleConnection(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(true), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				f.add("s", "a", nil)
				f.publish(nil)
				for _, target := range f.engine.registryState().targets {
					g.Expect(target.pool.Preconnect()).To(Succeed())
				}
				synctest.Wait()
				out := f.doUntilRevoked(0, route)
				g.Expect(f.requests()).To(BeZero())
				g.Expect(out.Err).To(HaveField("Code", failure.Unauthorized))
				g.Expect(out.NotRun()).To(BeTrue())
			})
		})
	}
}

// Guards against a hedge or retry of a request whose key was removed after it was sent.
func TestRevokedCallIsNotSentAgain(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(true), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
				f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
				f.publish(nil)
				for _, target := range f.engine.registryState().targets {
					g.Expect(target.pool.Preconnect()).To(Succeed())
				}
				out := f.doUntilRevoked(time.Millisecond, route)
				g.Expect(f.requests()).To(Equal(1))
				g.Expect(out.NotRun()).To(BeFalse())
			})
		})
	}
}

package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// limitConnections makes each target accept a limited number of connections, all of which
// it counts as open for some time from now.
func (f *memoryFixture) limitConnections(limit int, resetAfter, held time.Duration) *exchangetest.ConnectionLimit {
	l := &exchangetest.ConnectionLimit{Limit: limit, ResetAfter: resetAfter, Open: f.network.dial}
	for _, t := range f.targets {
		l.Hold(t.Address.String(), limit, held)
	}
	opts := f.engine.opts
	opts.Dial = l.Dial
	f.engine = New(opts)
	return l
}

func (f *memoryFixture) expectHealthy(g *WithT) {
	for id, t := range f.engine.registryState().targets {
		t.mu.Lock()
		g.Expect(t.health.connectFailures).To(BeZero(), "target %s", id)
		g.Expect(t.health.failureShare).To(BeZero(), "target %s", id)
		t.mu.Unlock()
	}
}

// Guards against calls that fail, and targets that are ejected, because targets still count
// the connections of processes that ended in a power loss.
func TestCallsWaitWhileTargetsAcceptNoConnections(t *testing.T) {
	for name, route := range map[string]*routing.Route{
		"call, at most once": longRoute(false), "call": longRoute(true), "query": longQuery("s"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				for range 3 {
					f.add("s", "a", nil)
				}
				l := f.limitConnections(1, time.Millisecond, 2*time.Second)
				f.engine.registry.shared.ResetGuard.ExpectResets(time.Hour)
				f.publish(nil)
				out := f.doWithin(8*time.Second, route, "q")
				g.Expect(out.Err).To(BeNil())
				g.Expect(f.requests()).To(Equal(1))
				f.expectHealthy(g)
				resets := 0
				for _, t := range f.targets {
					resets += len(l.Resets(t.Address.String()))
				}
				g.Expect(resets).To(BeNumerically("<=", 24), "8 for each target")
			})
		})
	}
}

func TestCallIsRefusedAsNotRunIfNoTargetAcceptsConnections(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(false), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				f.add("s", "a", nil)
				f.limitConnections(1, time.Millisecond, time.Hour)
				f.engine.registry.shared.ResetGuard.ExpectResets(time.Hour)
				f.publish(nil)
				g.Expect(f.doWithin(2*time.Second, route, "q").NotRun()).To(BeTrue())
			})
		})
	}
}

// The first reset after a quiet time arrives after the request was written.
func TestRequestWrittenBeforeResetIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		for range 3 {
			f.add("s", "a", nil)
		}
		f.limitConnections(1, time.Millisecond, time.Hour)
		f.publish(nil)
		out := f.do(longRoute(false), "q")
		g.Expect(out.Err).NotTo(BeNil())
		g.Expect(out.NotRun()).To(BeFalse())
		g.Expect(out.Trace.Sent).To(Equal(1))
		f.expectHealthy(g)
	})
}

func TestResetsOfNewConnectionsDoNotStopAQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		shards := []model.ServiceID{"u", "v", "w", "x", "y"}
		for _, s := range shards {
			f.add(s, "a", nil)
			f.add(s, "a", nil)
		}
		f.limitConnections(1, time.Millisecond, 100*time.Millisecond)
		f.publish(nil)
		out := f.doWithin(time.Second, queryRoute(shards...), "q")
		g.Expect(out.Err).To(BeNil())
		f.expectHealthy(g)
	})
}

// Guards against calls that are answered late, though a caller that is refused at once would
// be served in time.
func TestCallIsRefusedAtOnceIfConnectionsCanBeOpenedTooLate(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": singleRoute(false), "query": queryRoute("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				f.add("s", "a", nil)
				l := f.limitConnections(1, time.Millisecond, time.Hour)
				f.engine.registry.shared.ResetGuard.ExpectResets(time.Hour)
				f.publish(nil)
				listed := f.engine.registryState().targets["i-0"]
				for range 3 {
					_ = listed.pool.Preconnect()
					time.Sleep(listed.pool.OpenPause())
				}
				_ = listed.pool.Preconnect()
				began := time.Now()
				out := f.doWithin(2*time.Second, route, "q")
				g.Expect(out.NotRun()).To(BeTrue())
				g.Expect(time.Since(began)).To(BeZero())
				g.Expect(out.Err.RetryAfter).To(BeNumerically(">=", listed.pool.OpenPause()))
				l.Release()
				time.Sleep(out.Err.RetryAfter)
				g.Expect(f.doWithin(2*time.Second, route, "r").Err).To(BeNil())
			})
		})
	}
}

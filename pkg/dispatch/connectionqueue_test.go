package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/queue"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// call starts a call that may be changed first, and delivers its outcome.
func (f *memoryFixture) call(route *routing.Route, id string, change func(*Call)) <-chan Outcome {
	c := &Call{Request: &exchange.Request{ID: model.RequestID(id), Method: "GET"}, Route: route, Arrived: time.Now(), Timeout: 8 * time.Second}
	if change != nil {
		change(c)
	}
	serve, done := f.engine.Forward, make(chan Outcome, 1)
	if route.Fanout != nil {
		serve = f.engine.Query
	}
	go func() { done <- serve(context.Background(), c) }()
	return done
}

// withoutConnections is a fixture with one target of service "s" that may not be
// connected to until the returned function is called.
func withoutConnections(t *testing.T, behave func(int) exchangetest.Behaviour) (*memoryFixture, func()) {
	f := newMemoryFixture(t)
	f.add("s", "a", behave)
	f.publish(nil)
	pool := f.engine.registryState().targets["i-0"].pool
	pool.SetLimit(0, 0)
	return f, func() { pool.SetLimit(1, 0) }
}

// Waiting calls looked for a connection every 5 ms, and queries every 8 ms.
func TestWaitingRequestIsSentAsSoonAsAConnectionIsFree(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(false), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, free := withoutConnections(t, nil)
				began := time.Now()
				out := f.call(route, "q", nil)
				time.AfterFunc(7300*time.Microsecond, free)
				g.Expect((<-out).Err).To(BeNil())
				g.Expect(time.Since(began)).To(Equal(7300 * time.Microsecond))
			})
		})
	}
}

// A connection went to whichever request looked for one first after it was free.
func TestFreeConnectionGoesToTheRequestsInOrder(t *testing.T) {
	for name, route := range map[string]*routing.Route{"calls": longRoute(false), "queries": longQuery("s")} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { freeConnectionGoesInOrder(t, route) }) })
	}
}

func freeConnectionGoesInOrder(t *testing.T, route *routing.Route) {
	g := NewWithT(t)
	f, free := withoutConnections(t, always(exchangetest.Behaviour{Delay: 10 * time.Millisecond}))
	ended := make(chan string, 3)
	for i, priority := range []int{3, 2, 1} {
		out := f.call(route, fmt.Sprint(priority), func(c *Call) {
			c.Priority = priority
			// The objective has passed, so that no order serves all in time.
			c.Elapsed = c.Route.Objective
		})
		go func() {
			<-out
			ended <- fmt.Sprint(priority)
		}()
		time.Sleep(time.Duration(i+1) * time.Millisecond)
	}
	time.Sleep(time.Millisecond / 2)
	free()
	g.Expect([]string{<-ended, <-ended, <-ended}).To(Equal([]string{"1", "2", "3"}))
}

func TestCallWithoutConnectionIsRefusedWithinAQuarterOfItsObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _ := withoutConnections(t, nil)
		route := longRoute(true)
		route.Objective = 100 * time.Millisecond
		began, last := time.Now(), time.Duration(0)
		var outs []<-chan Outcome
		for i := range 3 {
			outs = append(outs, f.call(route, fmt.Sprint(i), nil))
		}
		for _, out := range outs {
			o := <-out
			g.Expect(o.NotRun()).To(BeTrue())
			g.Expect(o.Err.RetryAfter).To(BeNumerically(">=", last))
			last = o.Err.RetryAfter
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 25*time.Millisecond))
	})
}

func TestRequestRevokedWhileItWaitsHasNotRun(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(true), "query": longQuery("s")} {
		for _, wait := range []string{"place", "new connection"} {
			t.Run(name+" waits for "+wait, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f, free := withoutConnections(t, nil)
					if wait == "new connection" {
						f.dialSlowly(30 * time.Millisecond)
						f.publish(nil)
						free = func() {}
					} else if route.Fanout != nil {
						f.fillStartQueue(route, 20*time.Millisecond)
					}
					var revoked atomic.Bool
					out := f.call(route, "q", func(c *Call) {
						c.Recheck = func() *failure.Error {
							if revoked.Load() {
								return failure.New(failure.Unauthorized, failure.NotRun, "check key", "", "the key was removed")
							}
							return nil
						}
					})
					time.AfterFunc(10*time.Millisecond, func() { revoked.Store(true) })
					time.AfterFunc(20*time.Millisecond, free)
					g.Expect((<-out).Err).To(HaveField("Code", failure.Unauthorized))
					g.Expect(f.requests()).To(BeZero())
				})
			})
		}
	}
}

// The priority of an account overrides that of its route, also in the metrics.
func TestRefusalsAndLateCallsAreCountedByEffectivePriority(t *testing.T) {
	g := NewWithT(t)
	route := &routing.Route{Name: "r", Priority: 3, Objective: time.Millisecond}
	refusals := metrics.GetOrCreateCounter(`radishturn_call_refusals_total{cause="find target",priority="2"}`)
	late := metrics.GetOrCreateCounter(`radishturn_calls_by_priority_total{priority="3",result="late"}`)
	refusedBefore, lateBefore := refusals.Get(), late.Get()
	observePriority(&Call{Route: route, Priority: 2}, Outcome{Err: failure.New(failure.NoTarget, failure.NotRun, "find target", "", "")})
	observePriority(&Call{Route: route, Priority: 3, Arrived: time.Now(), Elapsed: time.Second}, Outcome{Answer: &Answer{}})
	g.Expect(refusals.Get()).To(Equal(refusedBefore + 1))
	g.Expect(late.Get()).To(Equal(lateBefore + 1))
}

// A call that found a connection while its ticket was refused ended a ticket that had never
// started: its work then counted from the start of the process, and later calls were refused
// for it.
func TestCallRefusedWhileItFindsAConnectionCountsFromThen(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	w := newConnectionQueues(func() time.Duration { return now }).of("s")
	request := func() queue.Request {
		return queue.Request{Arrived: now, OnTimeStart: now + time.Second, LatestStart: now + 8*time.Second, RefuseBy: now + connectionWait, Kind: "r"}
	}
	other := w.pass(1, request())
	waiting := request()
	waiting.LatestStart = now + 10*time.Millisecond
	ticket, _, _ := w.join(1, waiting, func() {})
	now += 20 * time.Millisecond
	w.end(other, 1)
	g.Expect(ticket.Refused).To(BeTrue())
	left := w.leave(ticket, 1, true)
	g.Expect(w.queue.Starting()).To(Equal(1))
	now += 30 * time.Millisecond
	w.end(left, 1)
	g.Expect(w.queue.Starting()).To(BeZero())
	work, _ := w.work(ticket)
	g.Expect(work).To(BeNumerically("<", connectionWait))
}

// A connection that was freed after the query had looked for one, and before it was in the
// queue, was not used for 60 ms.
func TestConnectionFreedBeforeAQueryWaitsForItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, free := withoutConnections(t, nil)
		c := &Call{Request: &exchange.Request{ID: "q", Method: "GET"}, Route: longQuery("s"), Arrived: time.Now(), Timeout: 8 * time.Second}
		f.engine.prepare(c)
		q := f.engine.newQuery(c)
		now := f.engine.now()
		g.Expect(q.trySend(0, now)).To(BeFalse())
		free()
		q.awaitShard(0, now)
		g.Expect(q.run.InFlight(0)).To(BeTrue())
		g.Expect(f.engine.connectionQueues.waiting.Load()).To(BeZero())
		q.handleResult(<-q.results)
		g.Expect(q.run.Parts()).To(Equal(1))
	})
}

// Requests that wait were not tried again for 60 ms when a target might be used again.
func TestWaitingRequestIsSentOnceAnAvailabilityZoneIsUsedAgain(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(false), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newMemoryFixture(t)
				f.add("s", "a", nil)
				f.add("s", "b", nil)
				f.publish(func(v *view.View) { delete(v.Catalog.Targets, "i-0") })
				f.engine.registryState()
				f.publish(func(v *view.View) { v.Evacuated = map[model.AvailabilityZoneID]bool{"b": true} })
				f.engine.registryState().targets["i-0"].pool.SetLimit(0, 0)
				began := time.Now()
				out := f.call(route, "q", nil)
				time.AfterFunc(7*time.Millisecond, func() {
					f.publish(func(v *view.View) { delete(v.Catalog.Targets, "i-0") })
					f.engine.registryState()
				})
				g.Expect((<-out).Err).To(BeNil())
				g.Expect(time.Since(began)).To(Equal(7 * time.Millisecond))
			})
		})
	}
}

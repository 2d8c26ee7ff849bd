package dispatch

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/queue"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// Requests that had waited reached targets that drained, and availability zones that were
// evacuated, by the list of their arrival.

// stopsUse are the ways in which target i-1, alone in availability zone "b", may no longer
// be sent requests.
var stopsUse = map[string]func(*memoryFixture, *view.View){
	"drains": func(f *memoryFixture, v *view.View) {
		t := f.targets["i-1"]
		t.Leaving = true
		v.Catalog.Targets["i-1"] = t
	},
	"is in an evacuated availability zone": func(_ *memoryFixture, v *view.View) {
		v.Evacuated = map[model.AvailabilityZoneID]bool{"b": true}
	},
	"is no longer listed": func(_ *memoryFixture, v *view.View) { delete(v.Catalog.Targets, "i-1") },
}

// changeAt publishes a view changed in this way at a later time.
func (f *memoryFixture) changeAt(after time.Duration, change func(*memoryFixture, *view.View)) {
	time.AfterFunc(after, func() { f.publish(func(v *view.View) { change(f, v) }) })
}

// whileWaiting runs a spec for each way in which a target's use stops.
func whileWaiting(t *testing.T, spec func(*WithT, *memoryFixture, func(*memoryFixture, *view.View))) {
	for name, stop := range stopsUse {
		t.Run("target "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { spec(NewWithT(t), newMemoryFixture(t), stop) })
		})
	}
}

// longRoute is singleRoute for callers that wait for seconds.
func longRoute(idempotent bool) *routing.Route {
	route := singleRoute(idempotent)
	route.Timeout, route.Objective = 8*time.Second, 4*time.Second
	return route
}

func longQuery(shards ...model.ServiceID) *routing.Route {
	route := queryRoute(shards...)
	route.Timeout, route.Objective = 8*time.Second, 4*time.Second
	return route
}

// refusesAfter is the behaviour of a target that turns a request away after a time.
func refusesAfter(d time.Duration) func(int) exchangetest.Behaviour {
	return always(exchangetest.Behaviour{Delay: d, NotRun: true})
}

func TestRetryAfterSecondsGoesToNoTargetThatStoppedMeanwhile(t *testing.T) {
	whileWaiting(t, func(g *WithT, f *memoryFixture, stop func(*memoryFixture, *view.View)) {
		f.add("s", "a", refusesAfter(2*time.Second))
		f.add("s", "b", nil)
		f.publish(nil)
		f.changeAt(time.Second, stop)
		out := f.doWithin(8*time.Second, longRoute(false), "q")
		g.Expect(f.servers["i-1"].Requests()).To(BeEmpty())
		g.Expect(out.NotRun()).To(BeTrue())
	})
}

func TestRetryGoesToTargetThatWasListedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		f.add("s", "a", refusesAfter(2*time.Second))
		f.add("s", "b", nil)
		f.publish(func(v *view.View) { stopsUse["is no longer listed"](f, v) })
		time.AfterFunc(time.Second, func() { f.publish(nil) })
		g.Expect(f.doWithin(8*time.Second, longRoute(false), "q").Reply).NotTo(BeNil())
	})
}

func TestHedgeGoesToNoTargetThatStoppedMeanwhile(t *testing.T) {
	whileWaiting(t, func(g *WithT, f *memoryFixture, stop func(*memoryFixture, *view.View)) {
		f.add("s", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		f.changeAt(connectionWait/2, stop)
		out := f.doWithin(8*time.Second, longRoute(true), "q")
		g.Expect(f.servers["i-1"].Requests()).To(BeEmpty())
		g.Expect(out.Err).NotTo(BeNil())
	})
}

func TestWaitForConnectionEndsAtNoTargetThatStoppedMeanwhile(t *testing.T) {
	whileWaiting(t, func(g *WithT, f *memoryFixture, stop func(*memoryFixture, *view.View)) {
		f.add("other", "a", nil)
		f.add("s", "b", nil)
		f.publish(nil)
		pool := f.engine.registryState().targets["i-1"].pool
		pool.SetLimit(0, 0)
		f.changeAt(connectionWait/3, stop)
		time.AfterFunc(connectionWait/2, func() { pool.SetLimit(1, 0) })
		out := f.doWithin(8*time.Second, longRoute(false), "q")
		g.Expect(f.servers["i-1"].Requests()).To(BeEmpty())
		g.Expect(out.NotRun()).To(BeTrue())
	})
}

// fillStartQueue lets other queries take all the places of queries that start, for a time.
func (f *memoryFixture) fillStartQueue(route *routing.Route, held time.Duration) {
	waiting := f.engine.startQueueOf(route.Fanout.Shards)
	limit := max(minStarting, f.engine.registryState().services[route.Fanout.Shards[0]].maxConnections)
	var last *queue.Ticket
	for range limit {
		now := f.engine.now()
		last, _ = waiting.queue.Enqueue(now, limit, queue.Request{Arrived: now, OnTimeStart: now, LatestStart: now + time.Minute})
	}
	time.AfterFunc(held, func() {
		waiting.mu.Lock()
		defer waiting.mu.Unlock()
		waiting.queue.Release(last, f.engine.now(), limit)
	})
}

func TestQueuedQueryStartsAtNoTargetThatStoppedMeanwhile(t *testing.T) {
	whileWaiting(t, func(g *WithT, f *memoryFixture, stop func(*memoryFixture, *view.View)) {
		f.add("s", "a", nil)
		f.add("s", "b", nil)
		f.publish(nil)
		route := longQuery("s")
		f.fillStartQueue(route, time.Second)
		f.changeAt(time.Second/2, stop)
		// The remaining target has no connection for a while, so that the other is wanted.
		pool := f.engine.registryState().targets["i-0"].pool
		time.AfterFunc(time.Second/2+time.Millisecond, func() { pool.SetLimit(0, 0) })
		time.AfterFunc(2*time.Second, func() { pool.SetLimit(1, 0) })
		out := f.doWithin(8*time.Second, route, "q")
		g.Expect(f.servers["i-1"].Requests()).To(BeEmpty())
		g.Expect(out.Answer).NotTo(BeNil())
		g.Expect(f.servers["i-0"].Requests()).To(HaveLen(1))
	})
}

func TestFurtherRequestsOfQueryGoToNoTargetThatStoppedMeanwhile(t *testing.T) {
	for name, behave := range map[string]func(int) exchangetest.Behaviour{
		"hedge": always(exchangetest.Behaviour{NoReply: true}), "retry": refusesAfter(5 * time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			whileWaiting(t, func(g *WithT, f *memoryFixture, stop func(*memoryFixture, *view.View)) {
				f.add("s", "a", behave)
				f.add("s", "b", nil)
				f.publish(nil)
				f.changeAt(3*time.Millisecond, stop)
				f.doWithin(8*time.Second, longQuery("s"), "q")
				g.Expect(f.servers["i-1"].Requests()).To(BeEmpty())
			})
		})
	}
}

func TestRequestQuarantinedMeanwhileIsNotSentAgain(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(true), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := NewWithT(t), newMemoryFixture(t)
				f.add("s", "a", refusesAfter(5*time.Millisecond))
				f.add("s", "b", nil)
				f.publish(nil)
				f.changeAt(3*time.Millisecond, func(_ *memoryFixture, v *view.View) {
					v.Quarantined = map[model.Fingerprint]bool{fingerprintOf(&exchange.Request{Method: "GET"}): true}
				})
				f.doWithin(8*time.Second, route, "q")
				g.Expect(f.requests()).To(Equal(1))
			})
		})
	}
}

func TestQueryQuarantinedMeanwhileLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		f.add("s", "a", nil)
		f.publish(nil)
		route := longQuery("s")
		f.fillStartQueue(route, time.Second)
		waiting := f.engine.startQueueOf(route.Fanout.Shards)
		places := waiting.queue.Starting()
		f.changeAt(time.Second/2, func(_ *memoryFixture, v *view.View) {
			v.Quarantined = map[model.Fingerprint]bool{fingerprintOf(&exchange.Request{Method: "GET"}): true}
		})
		out := f.doWithin(8*time.Second, route, "q")
		g.Expect(out.Err.Code).To(Equal(failure.Quarantined))
		g.Expect(f.requests()).To(BeZero())
		g.Expect(waiting.queue.Starting()).To(Equal(places - 1))
	})
}

// The parts of an answer come from the services of one configuration version.
func TestFurtherRequestsOfQueryStayWithTheServicesOfItsArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		f.add("x", "a", nil)
		f.add("y", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.add("y", "b", nil)
		f.add("x2", "a", nil)
		f.add("y2", "a", nil)
		f.table.Routes = []routing.Route{*longQuery("x", "y")}
		f.publish(nil)
		time.AfterFunc(3*time.Millisecond, func() {
			f.table = &routing.Table{Version: 2, Routes: []routing.Route{*longQuery("x2", "y2")}}
			f.publish(nil)
		})
		out := f.doWithin(8*time.Second, longQuery("x", "y"), "q")
		g.Expect(out.Answer).NotTo(BeNil())
		g.Expect(out.Answer.Missing).To(BeZero())
		g.Expect(f.servers["i-2"].Requests()).To(HaveLen(1))
		g.Expect(f.servers["i-3"].Requests()).To(BeEmpty())
		g.Expect(f.servers["i-4"].Requests()).To(BeEmpty())
	})
}

// holds reports whether a value of a type holds one of another type, directly or behind
// pointers, without what is behind the types to skip.
func holds(t, wanted reflect.Type, skip map[reflect.Type]bool) bool {
	if t == wanted {
		return true
	}
	if skip[t] {
		return false
	}
	skip[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map, reflect.Chan:
		return holds(t.Elem(), wanted, skip)
	case reflect.Struct:
		for field := range t.Fields() {
			if holds(field.Type, wanted, skip) {
				return true
			}
		}
	}
	return false
}

func TestCallsHoldNoCurrentView(t *testing.T) {
	state := reflect.TypeFor[registryState]()
	if !holds(reflect.TypeFor[struct{ x []currentView }](), state, make(map[reflect.Type]bool)) {
		t.Fatal("holds does not find a view")
	}
	for _, call := range []reflect.Type{reflect.TypeFor[Call](), reflect.TypeFor[singleCall](), reflect.TypeFor[query](), reflect.TypeFor[sentRequest]()} {
		for _, stale := range []reflect.Type{state, reflect.TypeFor[view.View]()} {
			if holds(call, stale, map[reflect.Type]bool{reflect.TypeFor[Engine](): true}) {
				t.Errorf("%s holds a %s", call, stale)
			}
		}
	}
}

package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := events.Setup(&specLog, "json", "info"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "dispatch")
}

// fixedView is a view.Source that the specs set.
type fixedView struct{ view.Holder }

func (*fixedView) Lease() view.LeaseState   { return view.LeaseHeld }
func (*fixedView) LeaseLeft() time.Duration { return time.Second }

// fleet is an Engine with fake targets.
type fleet struct {
	engine  *Engine
	views   *fixedView
	table   *routing.Table
	targets map[model.TargetID]model.Target
	fakes   map[model.TargetID]*exchangetest.Target
}

func newFleet() *fleet {
	f := &fleet{
		views: &fixedView{}, table: &routing.Table{Version: 1},
		targets: make(map[model.TargetID]model.Target), fakes: make(map[model.TargetID]*exchangetest.Target),
	}
	f.engine = New(Options{
		AvailabilityZone: "a", Views: f.views, Codec: exchangetest.Codec{},
		Extra: retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 50},
	})
	return f
}

// add starts a target of a service.
func (f *fleet) add(service model.ServiceID, zone model.AvailabilityZoneID, behave func(int) exchangetest.Behaviour) *exchangetest.Target {
	id := model.TargetID(fmt.Sprintf("i-%d", len(f.targets)))
	t, err := exchangetest.Start(id, behave)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Stop)
	f.targets[id] = model.Target{ID: id, Service: service, Address: t.Address(), AvailabilityZone: zone, Concurrency: 2}
	f.fakes[id] = t
	return t
}

// publish makes the targets and the table known.
func (f *fleet) publish(change func(*view.View)) {
	services := make(map[model.ServiceID]bool)
	f.table.Services = nil
	set := &catalog.Set{Targets: make(map[model.TargetID]model.Target)}
	for id, t := range f.targets {
		set.Targets[id] = t
		if !services[t.Service] {
			services[t.Service] = true
			f.table.Services = append(f.table.Services, routing.Service{Name: t.Service, Connections: 20})
		}
	}
	v := &view.View{Routing: routing.NewIndex(f.table), Catalog: set, Instances: []model.Instance{{ID: "e"}}}
	if change != nil {
		change(v)
	}
	f.views.Publish(v)
}

func always(b exchangetest.Behaviour) func(int) exchangetest.Behaviour {
	return func(int) exchangetest.Behaviour { return b }
}

func orderRoute(idempotent bool) *routing.Route {
	return &routing.Route{
		Name: "order", Host: "h", Prefix: "/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Idempotent: idempotent, Split: []routing.Weighted{{Service: "s", Weight: 1}},
	}
}

func (f *fleet) do(route *routing.Route, id string) Outcome {
	c := &Call{Request: &exchange.Request{ID: model.RequestID(id), Method: "GET"}, Route: route, Arrived: time.Now(), Timeout: time.Second}
	serve := f.engine.Do
	if route.Fanout != nil {
		serve = f.engine.Query
	}
	out := serve(context.Background(), c)
	out.Trace.Log()
	return out
}

// requests counts the requests that all targets got.
func (f *fleet) requests() int {
	n := 0
	for _, t := range f.fakes {
		n += len(t.Requests())
	}
	return n
}

var _ = Describe("Do", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })

	It("passes a target's reply on", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Body: []byte("x")}))
		f.publish(nil)
		out := f.do(orderRoute(true), "r1")
		Expect(out.Reply).NotTo(BeNil())
		Expect(string(out.Reply.Body)).To(Equal("x"))
	})

	It("passes a failure of the target on with its signature", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		out := f.do(orderRoute(false), "r1")
		Expect(out.Reply.Status).To(Equal(500))
		Expect(out.Reply.Signature).NotTo(BeEmpty())
	})

	It("repeats an idempotent request that failed, on another target", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		f.add("s", "b", nil)
		f.publish(nil)
		for i := range 5 {
			Expect(f.do(orderRoute(true), fmt.Sprint(i)).Reply.Status).To(Equal(http.StatusOK))
		}
	})

	DescribeTable("never sends another request a second time once it may have run",
		func(b exchangetest.Behaviour) {
			f.add("s", "a", always(b))
			f.add("s", "b", always(b))
			f.publish(nil)
			out := f.do(orderRoute(false), "r1")
			Expect(f.requests()).To(Equal(1))
			if out.Err != nil {
				Expect(out.Err.Ran).NotTo(Equal(failure.NotRun))
			}
		},
		Entry("the reply is cut", exchangetest.Behaviour{Cut: true}),
		Entry("the target fails", exchangetest.Behaviour{Status: 500}),
		Entry("the target is silent", exchangetest.Behaviour{Silent: true}),
	)

	It("sends a request that is not idempotent on when the target says it did not run", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		Expect(f.do(orderRoute(false), "r1").Reply.Status).To(Equal(http.StatusOK))
	})

	It("says not-run when every target refused, with a time to come back", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		f.publish(nil)
		out := f.do(orderRoute(false), "r1")
		Expect(out.Err.Ran).To(Equal(failure.NotRun))
		Expect(out.Err.RetryAfter).To(BeNumerically(">", 0))
	})

	It("counts a request as extra once any before it arrived", func() {
		f.engine.opts.Extra = retry.Bound{Window: 10 * time.Second, Slack: 1.2}
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		unreachable := f.add("s", "b", nil)
		last := f.add("s", "c", nil)
		f.publish(nil)
		unreachable.Stop()
		for _, t := range f.engine.book.at(f.views.View()).services["s"].own {
			if t.ID == "i-2" {
				t.health.slowness = 20
			}
		}
		f.do(orderRoute(true), "r1")
		Expect(last.Requests()).To(BeEmpty())
	})

	It("tells in its trace what became of each request to a target", func() {
		f.add("s", "a", always(exchangetest.Behaviour{NotRun: true}))
		f.add("s", "b", always(exchangetest.Behaviour{Cut: true}))
		f.publish(nil)
		out := f.do(orderRoute(false), "r1")
		Expect(out.Err).NotTo(BeNil())
		Expect(out.Trace.Late).To(HaveLen(1))
		Expect(out.Trace.Late[0]).To(MatchRegexp(`^s=i-0@\d+:shed\+i-1@\d+:broken$`))
		Expect(out.Trace.LeaseLeft).To(Equal(time.Second))
	})

	It("refuses at once when no target is known", func() {
		f.publish(nil)
		began := time.Now()
		Expect(f.do(orderRoute(true), "r1").Err.Ran).To(Equal(failure.NotRun))
		Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("uses a process that denies to be the target no more", func() {
		fake := f.add("s", "a", nil)
		other := f.targets["i-0"]
		other.ID = "i-gone"
		f.targets = map[model.TargetID]model.Target{"i-gone": other}
		f.publish(nil)
		Expect(f.do(orderRoute(true), "r1").Err.Ran).To(Equal(failure.NotRun))
		Expect(f.do(orderRoute(true), "r2").Err.Ran).To(Equal(failure.NotRun))
		Expect(fake.Requests()).To(HaveLen(1))
	})

	It("hedges an idempotent request whose target stands still", func() {
		f.add("s", "a", always(exchangetest.Behaviour{Silent: true}))
		f.add("s", "b", nil)
		f.publish(nil)
		out := f.do(orderRoute(true), "r1")
		Expect(out.Reply).NotTo(BeNil())
		Expect(out.Trace.Hedged).To(Equal(1))
	})

	It("sends nothing to targets that leave, nor to an evacuated availability zone", func() {
		leaving := f.add("s", "a", nil)
		t := f.targets["i-0"]
		t.Leaving = true
		f.targets["i-0"] = t
		evacuated := f.add("s", "b", nil)
		f.add("s", "c", nil)
		f.publish(func(v *view.View) { v.Evacuated = map[model.AvailabilityZoneID]bool{"b": true} })
		for i := range 10 {
			Expect(f.do(orderRoute(true), fmt.Sprint(i)).Reply).NotTo(BeNil())
		}
		Expect(leaving.Requests()).To(BeEmpty())
		Expect(evacuated.Requests()).To(BeEmpty())
	})

	It("tells in its status why targets get no requests", func() {
		f.add("s", "a", nil)
		f.add("s", "b", nil)
		f.add("s", "c", nil).Stop()
		leaving := f.targets["i-0"]
		leaving.Leaving = true
		f.targets["i-0"] = leaving
		f.publish(func(v *view.View) { v.Evacuated = map[model.AvailabilityZoneID]bool{"b": true} })
		Expect(f.do(orderRoute(true), "r1").Err).NotTo(BeNil())
		s := f.engine.Status()
		Expect(s.TableVersion).To(BeEquivalentTo(1))
		Expect(s.Targets).To(HaveExactElements(
			HaveField("Unused", "leaving"), HaveField("Unused", "evacuated"), HaveField("Unused", "unreachable")))
		Expect(s.Budgets).To(HaveKey(model.ServiceID("s")))
	})

	It("divides requests by weight", func() {
		f.add("s", "a", nil)
		f.add("t", "a", nil)
		f.publish(nil)
		route := orderRoute(true)
		route.Split = []routing.Weighted{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}
		for i := range 40 {
			f.do(route, fmt.Sprint(i))
		}
		Expect(f.fakes["i-0"].Requests()).To(HaveLen(30))
		Expect(f.fakes["i-1"].Requests()).To(HaveLen(10))
	})
})

var _ = Describe("A service whose traffic moves to a new version", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		f.add("s", "a", nil)
		f.add("s", "a", nil)
		for id, version := range map[model.TargetID]model.VersionID{"i-0": "v1", "i-1": "v2"} {
			t := f.targets[id]
			t.Version = version
			f.targets[id] = t
		}
	})

	// play sends requests under a move and returns how many each version got.
	play := func(m view.Move) (old, next int) {
		m.From, m.To = "v1", "v2"
		f.publish(func(v *view.View) { v.Moves = map[model.CollectionID]view.Move{"s": m} })
		for i := range 100 {
			Expect(f.do(orderRoute(true), fmt.Sprint(i)).Reply).NotTo(BeNil())
		}
		return len(f.fakes["i-0"].Requests()), len(f.fakes["i-1"].Requests())
	}

	It("gives the new version its share", func() {
		_, next := play(view.Move{Share: 0.2})
		Expect(next).To(BeNumerically("~", 20, 12))
	})

	It("gives a version that was taken back nothing", func() {
		_, next := play(view.Move{TakenBack: true})
		Expect(next).To(Equal(0))
	})

	It("gives the version before nothing once the move is done", func() {
		old, _ := play(view.Move{Share: 1})
		Expect(old).To(Equal(0))
	})

	It("reports answers by version, and sends repeats to the version before", func() {
		reports := &reporter{}
		f.engine.opts.Reporter = reports
		fake := f.fakes["i-1"]
		fake.Stop()
		bad := f.add("s", "a", always(exchangetest.Behaviour{Status: 500}))
		t := f.targets["i-2"]
		t.Version = "v2"
		f.targets["i-2"] = t
		old, _ := play(view.Move{Share: 0.2})
		Expect(old).To(Equal(100))
		Expect(bad.Requests()).NotTo(BeEmpty())
		Eventually(func() uint64 {
			f.engine.followMoves()
			return reports.failures("v2")
		}, 3*time.Second).Should(BeEquivalentTo(len(bad.Requests())))
	})
})

// reporter keeps what an engine reports.
type reporter struct {
	mu       sync.Mutex
	evidence []view.Evidence
}

func (r *reporter) Report(e view.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence = append(r.evidence, e)
}

// failures counts the reported failures of a version.
func (r *reporter) failures(v model.VersionID) (n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.evidence {
		for _, o := range e.Outcomes {
			if o.Version == v {
				n += o.Failed
			}
		}
	}
	return n
}

func queryRoute(shards ...model.ServiceID) *routing.Route {
	return &routing.Route{
		Name: "query", Host: "h", Prefix: "/q/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Idempotent: true,
		Fanout: &routing.Fanout{Shards: shards, Limit: 2, MinCoverage: 0.6},
	}
}

var _ = Describe("Query", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })

	record := func(c byte) []byte {
		b := make([]byte, 16)
		b[0] = c
		return b
	}

	// Right after the start there may be no time left to ask anybody.
	It("says not-run when it ends before any target was asked", func() {
		f.add("x", "a", nil)
		f.publish(nil)
		call := &Call{
			Request: &exchange.Request{ID: "q1", Method: "GET"}, Route: queryRoute("x"),
			Arrived: time.Now().Add(-time.Second), Timeout: time.Second,
		}
		f.engine.book.at(f.views.View()).services["x"].own[0].pool.Close()
		Expect(f.engine.Query(context.Background(), call).Err.Ran).To(Equal(failure.NotRun))
	})

	// Targets of many shards crash: the first request to such a target is refused
	// by its machine.
	It("asks another target for free when one cannot be reached", func() {
		f.engine.opts.Extra = retry.Bound{Window: 10 * time.Second}
		f.add("x", "a", nil).Stop()
		f.add("x", "b", always(exchangetest.Behaviour{Body: record(1)}))
		f.publish(nil)
		Expect(f.do(queryRoute("x"), "q1").Err).To(BeNil())
	})

	It("counts only targets that may have run a request against its attempts", func() {
		f.add("x", "a", nil).Stop()
		for range 2 {
			f.add("x", "b", always(exchangetest.Behaviour{Status: 500}))
		}
		f.publish(nil)
		f.do(queryRoute("x"), "q1")
		Expect(f.fakes["i-1"].Requests()).NotTo(BeEmpty())
		Expect(f.fakes["i-2"].Requests()).NotTo(BeEmpty())
	})

	It("merges one part of each shard", func() {
		for i, s := range []model.ServiceID{"x", "y", "z"} {
			f.add(s, "a", always(exchangetest.Behaviour{Body: record(byte(i + 1))}))
		}
		f.publish(nil)
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Err).To(BeNil())
		Expect(out.Answer.Signatures).To(HaveLen(3))
		Expect(out.Answer.Missing).To(Equal(0))
		Expect(out.Answer.Records).To(Equal(append(record(3), record(2)...)))
	})

	It("leaves a shard out that stands still, and answers within the objective", func() {
		f.add("x", "a", nil)
		f.add("y", "a", nil)
		f.add("z", "a", always(exchangetest.Behaviour{Silent: true}))
		f.publish(nil)
		began := time.Now()
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Answer.Missing).To(Equal(1))
		Expect(out.Trace.Late).To(HaveLen(1))
		Expect(out.Trace.Late[0]).To(HavePrefix("z=i-2"))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("hedges a shard whose target stands still", func() {
		f.add("x", "a", nil)
		f.add("x", "b", nil)
		f.add("y", "a", always(exchangetest.Behaviour{Silent: true}))
		f.add("y", "b", nil)
		f.publish(nil)
		out := f.do(queryRoute("x", "y"), "q1")
		Expect(out.Answer.Missing).To(Equal(0))
		Expect(out.Trace.Hedged).To(BeNumerically(">=", 1))
	})

	It("does not count a failure as a part, although it is signed", func() {
		f.add("x", "a", nil)
		f.add("y", "a", nil)
		f.add("z", "a", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Answer.Missing).To(Equal(1))
	})

	It("refuses at once, not run, when too few shards have a target", func() {
		fake := f.add("x", "a", nil)
		f.publish(nil)
		out := f.do(queryRoute("x", "y", "z"), "q1")
		Expect(out.Err.Ran).To(Equal(failure.NotRun))
		Expect(out.Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(fake.Requests()).To(BeEmpty())
	})

	It("stays within the retry budget when every target fails", func() {
		f.engine.opts.Extra = retry.Bound{Window: 10 * time.Second, Ratio: 0, Slack: 4}
		f.add("x", "a", always(exchangetest.Behaviour{Status: 500}))
		f.add("x", "b", always(exchangetest.Behaviour{Status: 500}))
		f.publish(nil)
		route := queryRoute("x")
		route.Timeout = 300 * time.Millisecond
		for i := range 6 {
			f.do(route, fmt.Sprint(i))
		}
		Expect(f.requests()).To(BeNumerically("<=", 6+4))
	})

	It("does not let one slow target set the usual latency", func() {
		s := newRouteStats(time.Second)
		for i := range statsWindow {
			latency := 10 * time.Millisecond
			if i%4 == 0 {
				latency = 500 * time.Millisecond
			}
			s.add(latency)
		}
		Expect(s.usual()).To(Equal(10 * time.Millisecond))
	})
})

var _ = Describe("health", func() {
	const ms = time.Millisecond

	// On a large fleet an instance sends a target one request in some seconds; it
	// turns away 60% of them for nine seconds.
	It("judges a target that gets few requests by few", func() {
		seldom, often := health{}, health{}
		for now := 2 * time.Second; now <= 4*time.Second; now += 2 * time.Second {
			seldom.shed(now)
		}
		for now := 10 * time.Millisecond; now <= 20*time.Millisecond; now += 10 * time.Millisecond {
			often.shed(now)
		}
		Expect(seldom.failures).To(BeNumerically(">", 0.6))
		Expect(often.failures).To(BeNumerically("<", 0.4))
	})

	It("makes a target dear as soon as a reply is overdue", func() {
		h := health{slots: 2}
		before := h.cost(0)
		h.begin(0, 10*ms)
		Expect(h.cost(100 * ms)).To(BeNumerically(">", 5*before))
		h.end(0)
		Expect(h.cost(100 * ms)).To(BeNumerically("~", before, 0.1))
	})

	// One target of each shard turned 45% of its requests away, beside a sound one.
	It("prefers a busy target to one that turns requests away", func() {
		shedding, busy := health{slots: 2}, health{slots: 2}
		now := time.Duration(0)
		for i := range 40 {
			now += 10 * ms
			if i%2 == 0 {
				shedding.shed(now)
			} else {
				shedding.replied(now, 10*ms, 10*ms, false)
			}
			busy.replied(now, 14*ms, 10*ms, false)
		}
		busy.begin(now, 10*ms)
		busy.begin(now, 10*ms)
		busy.end(now)
		busy.end(now)
		Expect(shedding.cost(now + 70*ms)).To(BeNumerically(">", busy.cost(now+70*ms)))
	})

	It("forgets that a target was slow, so that it is tried again", func() {
		h := health{slots: 2}
		for i := range 20 {
			h.replied(time.Duration(i)*ms, 110*ms, 10*ms, false)
		}
		Expect(h.cost(20 * ms)).To(BeNumerically(">", 5))
		Expect(h.cost(30 * time.Second)).To(BeNumerically("<", 1.1))
	})

	It("ejects a target that cannot be reached, for longer each time, and readmits it", func() {
		h := health{}
		h.unreached(0)
		Expect(h.ejected(firstEjection - ms)).To(BeTrue())
		Expect(h.ejected(firstEjection)).To(BeFalse())
		h.unreached(firstEjection)
		Expect(h.ejected(2 * firstEjection)).To(BeTrue())
		h.replied(3*firstEjection, 10*ms, 10*ms, false)
		Expect(h.ejected(3 * firstEjection)).To(BeFalse())
	})
})

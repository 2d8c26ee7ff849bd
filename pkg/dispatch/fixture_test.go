package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
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

// fixedView is a view.Source whose view the specs set and whose lease is held.
type fixedView struct{ view.Store }

func (*fixedView) Lease() view.LeaseState   { return view.LeaseHeld }
func (*fixedView) LeaseLeft() time.Duration { return time.Second }

// fixture is an Engine with fake target servers.
type fixture struct {
	engine  *Engine
	views   *fixedView
	table   *routing.Table
	targets map[model.TargetID]model.Target
	servers map[model.TargetID]*exchangetest.Target
}

func newFixture() *fixture {
	f := &fixture{
		views: &fixedView{}, table: &routing.Table{Version: 1},
		targets: make(map[model.TargetID]model.Target), servers: make(map[model.TargetID]*exchangetest.Target),
	}
	f.engine = New(Options{
		AvailabilityZone: "a", Views: f.views, Codec: exchangetest.Codec{},
		RetryBudget: retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 50},
	})
	return f
}

// add starts a target of a service.
func (f *fixture) add(service model.ServiceID, zone model.AvailabilityZoneID, behave func(int) exchangetest.Behaviour) *exchangetest.Target {
	t, err := exchangetest.Start(f.nextID(), behave)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Stop)
	f.list(t, service, zone)
	return t
}

func (f *fixture) nextID() model.TargetID { return model.TargetID(fmt.Sprintf("i-%d", len(f.targets))) }

// list adds a target to those that publish publishes.
func (f *fixture) list(t *exchangetest.Target, service model.ServiceID, zone model.AvailabilityZoneID) {
	f.targets[t.ID] = model.Target{ID: t.ID, Service: service, Address: t.Address(), AvailabilityZone: zone, Concurrency: 2}
	f.servers[t.ID] = t
}

// publish publishes a view with the targets and the routing table to the engine.
func (f *fixture) publish(change func(*view.View)) {
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

func singleRoute(idempotent bool) *routing.Route {
	return &routing.Route{
		Name: "order", Host: "h", Prefix: "/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Idempotent: idempotent, Split: []routing.Weighted{{Service: "s", Weight: 1}},
	}
}

func (f *fixture) do(route *routing.Route, id string) Outcome {
	return f.doWithin(time.Second, route, id)
}

// doWithin is do for a caller that waits for the given time.
func (f *fixture) doWithin(timeout time.Duration, route *routing.Route, id string) Outcome {
	c := &Call{Request: &exchange.Request{ID: model.RequestID(id), Method: "GET"}, Route: route, Arrived: time.Now(), Timeout: timeout}
	serve := f.engine.Forward
	if route.Fanout != nil {
		serve = f.engine.Query
	}
	out := serve(context.Background(), c)
	out.Trace.Log()
	return out
}

// requests returns the number of requests that all targets received.
func (f *fixture) requests() int {
	n := 0
	for _, t := range f.servers {
		n += len(t.Requests())
	}
	return n
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// openingTarget returns the behaviour of a target that pauses for 200 ms and is 2.5 times
// slower for 600 ms, at regular times, and works for other instances besides.
func openingTarget(random *rand.Rand, work time.Duration) func(int) exchangetest.Behaviour {
	began, speed := time.Now().Add(-time.Duration(random.Int64N(int64(time.Minute)))), 0.8+0.5*random.Float64()
	pauseEach := 3600*time.Millisecond + time.Duration(random.Int64N(int64(2400*time.Millisecond)))
	slowEach := 4*time.Second + time.Duration(random.Int64N(int64(8*time.Second)))
	return func(n int) exchangetest.Behaviour {
		age, factor := time.Since(began), speed
		if n%3 == 0 {
			factor += 0.5
		}
		if age%slowEach < 600*time.Millisecond {
			factor *= 2.5
		}
		return exchangetest.Behaviour{Delay: max(0, 200*time.Millisecond-age%pauseEach) + time.Duration(factor*float64(work))}
	}
}

// openingReplay is the result of queries to one instance.
type openingReplay struct {
	mu                        sync.Mutex
	queries, requests, opened int
	latency                   time.Duration
}

// replayOpenings sends one to three queries at a time to an instance whose subset is one of
// three targets of each shard.
func replayOpenings(t *testing.T, work, objective time.Duration) (r *openingReplay) {
	r = &openingReplay{}
	synctest.Test(t, func(t *testing.T) {
		const shards, length, bursts = 10, 8 * time.Minute, 2 * time.Second
		random, f := rand.New(rand.NewPCG(1, 3)), newMemoryFixture(t)
		f.dialSlowly(8 * time.Millisecond)
		var names []model.ServiceID
		for i := range shards {
			names = append(names, model.ServiceID(fmt.Sprint("s", i)))
			for _, zone := range []model.AvailabilityZoneID{"a", "b", "c"} {
				f.add(names[i], zone, openingTarget(random, work))
			}
		}
		f.publish(func(v *view.View) {
			fleet, table := viewOf(map[model.AvailabilityZoneID]int{"a": 26, "b": 26, "c": 26}, 61), *f.table
			for i := range table.Services {
				table.Services[i].Connections = 61
			}
			v.Instances, v.Routing = fleet.Instances, routing.NewIndex(&table)
		})
		route := queryRoute(names...)
		route.Objective, route.Fanout.MinShardShare = objective, 0.9
		var calls sync.WaitGroup
		for began := time.Now(); time.Since(began) < length; time.Sleep(time.Duration(random.ExpFloat64() * float64(bursts))) {
			for n := range 1 + random.IntN(3) {
				calls.Go(func() {
					time.Sleep(time.Duration(5*n) * time.Millisecond)
					at := time.Now()
					out := f.do(route, fmt.Sprint(at.UnixNano()))
					r.mu.Lock()
					defer r.mu.Unlock()
					r.queries, r.requests, r.latency = r.queries+1, r.requests+int(out.Trace.Sent), r.latency+time.Since(at)
				})
			}
		}
		calls.Wait()
		time.Sleep(2 * maxOnDemandIdle)
		for id, s := range f.servers {
			r.opened += s.AcceptedConnections()
			f.engine.registryState().targets[id].pool.Close()
		}
	})
	return r
}

// Guards against instances that open a connection for a large part of their requests, which
// takes 6 ms of a slot at the target each time.
func TestReplayedQueriesOpenFewConnections(t *testing.T) {
	for _, c := range []struct{ work, objective time.Duration }{{20 * time.Millisecond, 200 * time.Millisecond}, {7 * time.Millisecond, 70 * time.Millisecond}} {
		r := replayOpenings(t, c.work, c.objective)
		share, mean := float64(r.opened)/float64(r.requests), r.latency/time.Duration(r.queries)
		t.Logf("work of %v: %d queries of %v on average, %d requests, %.3f connections opened for each", c.work, r.queries, mean, r.requests, share)
		NewWithT(t).Expect(share).To(BeNumerically("<", 0.2))
		NewWithT(t).Expect(mean).To(BeNumerically("<", c.objective/2))
	}
}

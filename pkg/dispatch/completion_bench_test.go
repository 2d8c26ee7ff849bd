package dispatch

import (
	"fmt"
	"testing"
	"time"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// A query chooses a target for each of its 90 shards, on a small share of a processor.
func BenchmarkChoose(b *testing.B) {
	for name, pace := range map[string]float64{"no pace": 0, "pace": 1} {
		b.Run(name, func(b *testing.B) {
			r := newRegistry("i", "a", pool.Shared{})
			var targets []*target
			for _, zone := range []model.AvailabilityZoneID{"a", "b", "c"} {
				t := &target{
					Target:  model.Target{ID: model.TargetID(fmt.Sprint("t-", zone)), AvailabilityZone: zone},
					process: &process{pool: pool.New("t", "127.0.0.1:1", pool.Shared{}, 2)},
				}
				t.health.loadReported(time.Second, exchange.Load{Known: true, MaxRunning: 2, Pace: pace})
				targets = append(targets, t)
			}
			state := &registryState{services: map[model.ServiceID]serviceTargets{"s": {own: targets[:1], onDemand: targets[1:]}}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Second + time.Duration(i)*time.Microsecond
				r.choose(state, selection{service: "s", now: now, usual: 8 * time.Millisecond, work: 7 * time.Millisecond})
			}
		})
	}
}

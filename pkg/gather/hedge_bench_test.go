package gather

import (
	"testing"
	"time"
)

// A query checks which of its 90 shards are due after each reply.
func BenchmarkCheck(b *testing.B) {
	for name, e := range map[string]Expectation{"unknown": {}, "expected": {Current: 8 * time.Millisecond, Next: 9 * time.Millisecond}} {
		b.Run(name, func(b *testing.B) {
			r := New(Plan{ObjectiveEnd: 50 * time.Millisecond, Deadline: time.Second, UsualLatency: 8 * time.Millisecond, Required: 77, MaxTargets: 3}, 90)
			for i := range 90 {
				r.RecordSent(i, 0)
				r.Expect(i, e)
			}
			for range b.N {
				r.Due(time.Millisecond)
				r.NextCheck(time.Millisecond)
			}
		})
	}
}

package queue_test

import (
	"fmt"
	"testing"
	"time"

	"radishturn.example/radishturn/pkg/query/queue"
)

// A freed connection asks for the first of the waiting requests, after a power loss of
// a hundred, at each of 90 shards.
func BenchmarkNext(b *testing.B) {
	for _, waiting := range []int{1, 4, 16, 64, 128} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			var q queue.Queue
			first, _ := q.Enqueue(0, 1, queue.Request{Kind: "host/path", LatestStart: time.Hour})
			q.Release(first, 2*ms, 1)
			for i := range waiting {
				q.Wait(0, 10, queue.Request{
					Kind: "host/path", Priority: i % 2, OnTimeStart: time.Second + time.Duration(i*7%13)*ms, LatestStart: time.Hour,
				})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				q.Next(0, nil)
			}
		})
	}
}

package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/model"
)

// busyBatch returns a batch of an instance that served queries of the given number
// of callers to one collection on three routes.
func busyBatch(b *testing.B, callers int) burn.Batch {
	b.Helper()
	bucket := burn.NewBucket()
	for i := range callers * 20 {
		bucket.Observe(burn.Observation{
			Kind: burn.KindQuery, Collection: "shopfront", AvailabilityZone: "split-a", Version: "41",
			Route: model.Route(fmt.Sprint("route-", i%3)), Caller: model.CallerID(fmt.Sprint("caller-", i%callers)),
			Latency: time.Duration(5+i%50) * time.Millisecond, Coverage: 1,
		}, shopfront.Objectives)
	}
	return burn.Batch{Instance: "e1", Incarnation: "a", Data: bucket.Data()}
}

// BenchmarkAccept measures the cost of accepting one batch in an aggregator and the
// encoded size of the batch, by the number of callers.
func BenchmarkAccept(b *testing.B) {
	for _, callers := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			batch := busyBatch(b, callers)
			wire, err := cbor.Marshal(batch)
			if err != nil {
				b.Fatal(err)
			}
			store := burn.NewStore()
			for i := 0; b.Loop(); i++ {
				batch.Minute = burn.MinuteOf(start) + burn.Minute(i)
				if _, err := store.Accept(batch, batch.Minute); err != nil {
					b.Fatal(err)
				}
				if i%60 == 0 {
					store = burn.NewStore()
				}
			}
			b.ReportMetric(float64(len(wire)), "B/parcel")
		})
	}
}

package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/standin"
)

// BenchmarkLeafRequest measures the client and the stand-in together, with 120
// targets and no service time.
func BenchmarkLeafRequest(b *testing.B) {
	RegisterTestingT(b)
	s := testSettings()
	c := &s.Collections[0]
	c.Services, c.Leaves, c.Slots, c.Connections = 20, 2, 3, 64
	c.Versions, c.Snapshots = c.Versions[:1], c.Snapshots[:1]
	c.ServiceTime.Median = 0
	running, err := standin.New(s)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- running.Run(ctx) }()
	f := &fixture{Standin: running, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	targets := f.list().Targets
	var next atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := next.Add(1)
			request := call{requestID: fmt.Sprint("r", n), snapshot: "s1", text: "bread"}
			if _, err := f.send(ctx, targets[int(n)%len(targets)], request); err != nil {
				b.Error(err)
			}
		}
	})
	b.StopTimer()
	cancel()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

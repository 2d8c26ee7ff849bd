package mesh_test

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/mesh"
)

// processBytes is the memory that the process takes from the system.
func processBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

var _ = Describe("A peer whose requests have no end", func() {
	It("leaves the process its memory, and others are served", func() {
		const (
			memoryMB = 184
			streams  = 100
			maxShare = 0.8
		)
		limit := debug.SetMemoryLimit(-1)
		DeferCleanup(func() { debug.SetMemoryLimit(limit) })
		membudget.LimitRuntime(memoryMB)
		folder := GinkgoT().TempDir()
		Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		c := start(ctx, issue(folder, folder, "c", keys.RoleInstance))
		b := startWithMemory(ctx, issue(folder, folder, "b", keys.RoleInstance), membudget.ForProcess(memoryMB))
		a.SetPeer("b", b.Address())
		c.SetPeer("b", b.Address())
		var endless sync.WaitGroup
		for range streams {
			endless.Go(func() { _ = a.SendEndless(ctx, "b") })
		}
		ended := make(chan struct{})
		go func() { endless.Wait(); close(ended) }()
		for running := true; running; {
			Expect(float64(processBytes())).To(BeNumerically("<", maxShare*(memoryMB<<20)))
			_, err := mesh.Call[greeting, greeting](ctx, c, "b", greet, &greeting{Text: "hello"})
			Expect(err).NotTo(HaveOccurred())
			select {
			case <-ended:
				running = false
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
})

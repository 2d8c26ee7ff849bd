//go:build proofs

package proofs

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/standin"
)

const (
	// drainBound is the time within which a zone or target that was taken out
	// stops getting new requests.
	drainBound = 3 * time.Second
	// queryInterval is the pause between two queries of one caller.
	queryInterval = 10 * time.Millisecond
	queryCallers  = 4
	// probeLag is the pause after which watchReadiness publishes the result of a
	// round of probes. A change that a probe just missed shows in the next round,
	// so the simulated load balancer takes up to twice this time to act on it. It
	// stays below the balancerLag of the settings, 1 s.
	probeLag = 300 * time.Millisecond
)

// backgroundLoad sends queries to ready instances until it is stopped.
type backgroundLoad struct {
	stop    context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	replies map[string]int
	partial int
	failed  []string
}

// startBackgroundLoad runs callers behind a simulated load balancer that learns
// with a delay which instances are ready.
func (f *fleet) startBackgroundLoad() *backgroundLoad {
	ctx, cancel := context.WithCancel(context.Background())
	b := &backgroundLoad{stop: cancel, replies: make(map[string]int)}
	ready := new(atomic.Pointer[[]int])
	list := allInstances()
	ready.Store(&list)
	b.wait.Go(func() { f.watchReadiness(ctx, ready) })
	for caller := range queryCallers {
		b.wait.Go(func() {
			for i := caller; ctx.Err() == nil; i++ {
				readyInstances := *ready.Load()
				if len(readyInstances) > 0 {
					b.record(f.query(readyInstances[i%len(readyInstances)], "olive bread"))
				}
				time.Sleep(queryInterval)
			}
		})
	}
	return b
}

func (f *fleet) watchReadiness(ctx context.Context, ready *atomic.Pointer[[]int]) {
	for ctx.Err() == nil {
		var list []int
		for _, n := range allInstances() {
			if f.isReady(n) {
				list = append(list, n)
			}
		}
		time.Sleep(probeLag)
		ready.Store(&list)
	}
}

func (b *backgroundLoad) record(r reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replies[r.summary()]++
	if r.summary() == "ok" && r.answer.Coverage.Fraction < 1 {
		b.partial++
	}
	if r.summary() != "ok" {
		b.failed = append(b.failed, fmt.Sprintf("%s: %s %v", r.summary(), r.problem.Detail, r.err))
	}
}

// finish stops the load and reports the replies.
func (b *backgroundLoad) finish() *backgroundLoad {
	b.stop()
	b.wait.Wait()
	AddReportEntry("load", fmt.Sprintf("replies %v, %d partial", b.replies, b.partial))
	return b
}

// warmUp sends queries for 8 s, so that every target gets requests and is warm.
func (f *fleet) warmUp() {
	b := f.startBackgroundLoad()
	time.Sleep(8 * time.Second)
	b.finish()
}

var _ = Describe("Taking out of service", func() {
	It("gives an availability zone that is taken out no new work, and takes it back", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startBackgroundLoad()
		out, code := f.command("operator", allInstances(), "rules", "apply", f.rulesFile("zone split-a out # Ana, floor rewiring"))
		Expect(code).To(Equal(exitOK), out)
		time.Sleep(drainBound)
		before := f.stats().AvailabilityZones["split-a"].Requests
		time.Sleep(drainBound)
		Expect(f.stats().AvailabilityZones["split-a"].Requests).To(Equal(before))
		out, code = f.command("operator", allInstances(), "rules", "apply", f.rulesFile("# Ana, the floor is done"))
		Expect(code).To(Equal(exitOK), out)
		Eventually(func() int64 { return f.stats().AvailabilityZones["split-a"].Requests }, readyTimeout).Should(BeNumerically(">", before))
		Expect(load.finish().failed).To(BeEmpty())
		Expect(load.partial).To(BeZero())
	})

	It("gives a drained target no new work", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startBackgroundLoad()
		const target = "shopfront/svc-03/leaf-1/slot-2"
		out, code := f.command("operator", allInstances(), "rules", "apply", f.rulesFile("drain target "+target+" # Ivo"))
		Expect(code).To(Equal(exitOK), out)
		time.Sleep(drainBound)
		before := f.requestsToTarget(target)
		time.Sleep(drainBound)
		Expect(f.requestsToTarget(target)).To(Equal(before))
		Expect(load.finish().failed).To(BeEmpty())
		Expect(load.partial).To(BeZero())
	})

	It("cuts off no request when instances are stopped one after the other", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startBackgroundLoad()
		for _, n := range allInstances() {
			Expect(f.stop(n)).To(Succeed())
			f.startInstance(n)
			f.waitReady(n)
			time.Sleep(2 * probeLag)
		}
		Expect(load.finish().failed).To(BeEmpty())
		// Only the slower of a request and its hedge may be cancelled.
		Expect(f.stats().Total.Cancelled).To(BeNumerically("<=", f.stats().Total.ExtraRequests))
	})
})

func (f *fleet) requestsToTarget(target string) int64 {
	GinkgoHelper()
	for _, t := range f.stats().Targets {
		if string(t.ID) == target {
			return t.Requests
		}
	}
	Fail("the stand-in has no target " + target)
	return 0
}

var _ = Describe("Poison requests", func() {
	It("kill at most two targets, resends at other instances included", func() {
		f := newFleet(seed())
		f.warmUp()
		f.setStandinFaults(standin.Fault{
			Kind: standin.KindCrashOnRequest, Targets: []string{"shopfront/svc-07/leaf-1/*"},
			When: standin.Condition{Query: "poison loaf"}, RestartAfter: settings.Duration(time.Second),
		})
		load := f.startBackgroundLoad()
		before := f.stats().Total.Crashes
		for i := range 10 {
			f.query(1+i%instances, "poison loaf")
			time.Sleep(100 * time.Millisecond)
		}
		Expect(f.stats().Total.Crashes - before).To(BeNumerically("<=", 2))
		Eventually(func() string { return f.query(6, "poison loaf").summary() }, time.Second).Should(Equal("quarantined not-run"))
		out, code := f.command("operator", allInstances(), "quarantine", "list")
		Expect(code).To(Equal(exitOK), out)
		Expect(load.finish().failed).To(BeEmpty())
	})
})

var _ = Describe("Cold targets", func() {
	It("are never overloaded when a slot of every leaf turns cold at once", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startBackgroundLoad()
		f.setStandinFaults(standin.Fault{Kind: standin.KindCrash, Targets: []string{"*/slot-1"}, RestartAfter: settings.Duration(time.Second)})
		time.Sleep(10 * time.Second)
		s := f.stats()
		AddReportEntry("cold", fmt.Sprintf("%d requests to cold targets, most in flight %d, %d overloads",
			s.Total.ColdRequests, s.Total.MaxColdInFlight, s.Total.ColdOverloads))
		Expect(s.Total.ColdOverloads).To(BeZero())
		Expect(load.finish().replies["ok"]).To(BeNumerically(">", 0))
	})
})

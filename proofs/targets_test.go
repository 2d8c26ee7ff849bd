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
	// seconds within which a zone or a target that was taken out is left alone.
	leaveBound = 3 * time.Second
	// queryGap lies between two queries of one caller.
	queryGap     = 10 * time.Millisecond
	queryCallers = 4
	// readinessLag is half of the longest time that the fake balancer takes to
	// see a change of readiness, since it acts one round after it has asked. It
	// stays within the balancerLag of the settings, 1 s.
	readinessLag = 300 * time.Millisecond
)

// background sends queries to ready instances until it is stopped.
type background struct {
	stop    context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	replies map[string]int
	partial int
	failed  []string
}

// startLoad runs callers behind a fake balancer that learns late which
// instances are ready.
func (f *fleet) startLoad() *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{stop: cancel, replies: make(map[string]int)}
	ready := new(atomic.Pointer[[]int])
	list := all()
	ready.Store(&list)
	b.wait.Go(func() { f.watchReadiness(ctx, ready) })
	for caller := range queryCallers {
		b.wait.Go(func() {
			for i := caller; ctx.Err() == nil; i++ {
				targets := *ready.Load()
				if len(targets) > 0 {
					b.note(f.query(targets[i%len(targets)], "olive bread"))
				}
				time.Sleep(queryGap)
			}
		})
	}
	return b
}

func (f *fleet) watchReadiness(ctx context.Context, ready *atomic.Pointer[[]int]) {
	for ctx.Err() == nil {
		var list []int
		for _, n := range all() {
			if f.isReady(n) {
				list = append(list, n)
			}
		}
		time.Sleep(readinessLag)
		ready.Store(&list)
	}
}

func (b *background) note(r reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replies[r.kind()]++
	if r.kind() == "ok" && r.answer.Coverage.Fraction < 1 {
		b.partial++
	}
	if r.kind() != "ok" {
		b.failed = append(b.failed, fmt.Sprintf("%s: %s %v", r.kind(), r.problem.Detail, r.err))
	}
}

// finish stops the load and returns what callers heard.
func (b *background) finish() *background {
	b.stop()
	b.wait.Wait()
	AddReportEntry("load", fmt.Sprintf("replies %v, %d partial", b.replies, b.partial))
	return b
}

// warmUp sends queries until every target has been used for a while.
func (f *fleet) warmUp() {
	b := f.startLoad()
	time.Sleep(8 * time.Second)
	b.finish()
}

var _ = Describe("Leaving", func() {
	It("gives an availability zone that is taken out no new work, and takes it back", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startLoad()
		out, code := f.command("operator", all(), "rules", "apply", f.rulesFile("zone split-a out # Ana, floor rewiring"))
		Expect(code).To(Equal(exitOK), out)
		time.Sleep(leaveBound)
		before := f.stats().AvailabilityZones["split-a"].Requests
		time.Sleep(leaveBound)
		Expect(f.stats().AvailabilityZones["split-a"].Requests).To(Equal(before))
		out, code = f.command("operator", all(), "rules", "apply", f.rulesFile("# Ana, the floor is done"))
		Expect(code).To(Equal(exitOK), out)
		Eventually(func() int64 { return f.stats().AvailabilityZones["split-a"].Requests }, readyTimeout).Should(BeNumerically(">", before))
		Expect(load.finish().failed).To(BeEmpty())
		Expect(load.partial).To(BeZero())
	})

	It("gives a drained target no new work", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startLoad()
		const target = "shopfront/svc-03/leaf-1/slot-2"
		out, code := f.command("operator", all(), "rules", "apply", f.rulesFile("drain target "+target+" # Ivo"))
		Expect(code).To(Equal(exitOK), out)
		time.Sleep(leaveBound)
		before := f.requestsAt(target)
		time.Sleep(leaveBound)
		Expect(f.requestsAt(target)).To(Equal(before))
		Expect(load.finish().failed).To(BeEmpty())
		Expect(load.partial).To(BeZero())
	})

	It("cuts off no request when instances are stopped one after the other", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startLoad()
		for _, n := range all() {
			Expect(f.stop(n)).To(Succeed())
			f.startInstance(n)
			f.waitReady(n)
			time.Sleep(2 * readinessLag)
		}
		Expect(load.finish().failed).To(BeEmpty())
		Expect(f.stats().Total.Cancelled).To(BeNumerically("<=", f.stats().Total.ExtraRequests))
	})
})

func (f *fleet) requestsAt(target string) int64 {
	GinkgoHelper()
	for _, t := range f.stats().Targets {
		if string(t.ID) == target {
			return t.Requests
		}
	}
	Fail("no target " + target)
	return 0
}

var _ = Describe("Poison requests", func() {
	It("kill at most two targets, resends at other instances included", func() {
		f := newFleet(seed())
		f.warmUp()
		f.setFault(standin.Fault{
			Kind: standin.KindCrashOnRequest, Targets: []string{"shopfront/svc-07/leaf-1/*"},
			When: standin.Condition{Query: "poison loaf"}, RestartAfter: settings.Duration(time.Second),
		})
		load := f.startLoad()
		before := f.stats().Total.Crashes
		for i := range 10 {
			f.query(1+i%instances, "poison loaf")
			time.Sleep(100 * time.Millisecond)
		}
		Expect(f.stats().Total.Crashes - before).To(BeNumerically("<=", 2))
		Eventually(func() string { return f.query(6, "poison loaf").kind() }, time.Second).Should(Equal("quarantined not-run"))
		out, code := f.command("operator", all(), "quarantine", "list")
		Expect(code).To(Equal(exitOK), out)
		Expect(load.finish().failed).To(BeEmpty())
	})
})

var _ = Describe("Cold targets", func() {
	It("never get more than they bear, however many turn cold", func() {
		f := newFleet(seed())
		f.warmUp()
		load := f.startLoad()
		f.setFault(standin.Fault{Kind: standin.KindCrash, Targets: []string{"*/slot-1"}, RestartAfter: settings.Duration(time.Second)})
		time.Sleep(10 * time.Second)
		s := f.stats()
		AddReportEntry("cold", fmt.Sprintf("%d requests to cold targets, most in flight %d, %d overloads",
			s.Total.ColdRequests, s.Total.MaxColdInFlight, s.Total.ColdOverloads))
		Expect(s.Total.ColdOverloads).To(BeZero())
		Expect(load.finish().replies["ok"]).To(BeNumerically(">", 0))
	})
})

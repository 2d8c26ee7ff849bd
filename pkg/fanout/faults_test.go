package fanout_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

func fixedHedge(c *settings.Collection) {
	c.Hedge = &settings.Hedge{Mode: "fixed", Delay: settings.Duration(5 * time.Millisecond)}
}

// withoutHedging disables hedges, which could cancel an attempt before its refusal
// is read.
func withoutHedging(c *settings.Collection) { c.Hedge = &settings.Hedge{Mode: "none"} }

// fullHedgeBudget allows one hedge for each attempt.
func fullHedgeBudget(c *settings.Collection) {
	fixedHedge(c)
	c.HedgeBudget = 1
}

func probeNewRequests(c *settings.Collection) { c.ProbeNewRequests = true }

// queryConcurrently sends queries with different texts at the same time.
func (f *fixture) queryConcurrently(count int) []*query.Answer {
	answers := make([]*query.Answer, count)
	var queries sync.WaitGroup
	for n := range count {
		queries.Go(func() {
			answers[n], _ = f.service.Query(context.Background(), newQuery(fmt.Sprintf("together-%d", n)))
		})
	}
	queries.Wait()
	return answers
}

var _ = Describe("a snapshot", func() {
	twoSnapshots := func() *fixture {
		f := newFixture(3, 2)
		f.publishSnapshots(snapshotOf("s1", 1, 3), snapshotOf("s2", 2, 3))
		for _, t := range f.targets {
			t.set(func(t *fakeTarget) { t.snapshots = []model.SnapshotID{"s1", "s2"} })
		}
		f.service.Refresh()
		f.service.ReadHealth(context.Background())
		f.service.Refresh()
		return f
	}

	It("is used by a query if it is the newest complete one", func() {
		f := twoSnapshots()
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s2")))
	})

	It("that a leaf drops during a query makes the query run again as a whole on another, without mixing snapshots", func() {
		f := twoSnapshots()
		f.updateLeaf(1, func(t *fakeTarget) { t.snapshots = []model.SnapshotID{"s1"} })
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s1")))
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("that all targets drop for another at once is replaced by that one without waiting for the next health hint", func() {
		f := newFixture(3, 2)
		f.publishSnapshots(snapshotOf("s1", 1, 3), snapshotOf("s2", 2, 3), snapshotOf("s3", 3, 3))
		f.service.ReadHealth(context.Background())
		f.service.Refresh()
		for _, t := range f.targets {
			t.set(func(t *fakeTarget) { t.snapshots = []model.SnapshotID{"s2"} })
		}
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s2")))
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("that one target dropped is still used, with the leaf's other targets", func() {
		f := twoSnapshots()
		f.targets[0].set(func(t *fakeTarget) { t.snapshots = nil })
		for range 6 {
			answer, err := f.service.Query(context.Background(), newQuery("rye"))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Snapshot).To(Equal(model.SnapshotID("s2")))
			Expect(answer.Coverage.Fraction).To(Equal(1.0))
		}
	})

	It("that a leaf does not hold gives a partial answer that reports the missing leaf", func() {
		f := newFixture(3, 1)
		f.updateLeaf(2, func(t *fakeTarget) { t.snapshots = nil })
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Answered).To(Equal(200))
		Expect(answer.Coverage.Missing[0].Reason).To(Equal(query.MissingNotHeld))
	})
})

var _ = Describe("a reply", func() {
	DescribeTable("that does not match its request is dropped", func(edit func(*targetproto.QueryReply)) {
		f := newFixture(2, 1)
		f.targets[0].editReply = edit
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Answered).To(Equal(100))
		Expect(answer.Coverage.Missing[0].Reason).To(Equal(query.MissingMismatched))
		for _, hit := range answer.Hits {
			Expect(hit.ID).To(HavePrefix("svc/leaf-1"))
		}
	},
		Entry("other request", func(r *targetproto.QueryReply) { r.Request = "r-other" }),
		Entry("other snapshot", func(r *targetproto.QueryReply) { r.Snapshot = "s0" }),
		Entry("other leaf", func(r *targetproto.QueryReply) { r.Leaf.Leaf++ }),
		Entry("too few documents", func(r *targetproto.QueryReply) { r.Documents-- }),
	)

	It("below the minimum coverage of the collection is refused", func() {
		f := newFixture(2, 1, func(c *settings.Collection) { c.Policy, c.MinCoverage = settings.PreferCoverage, 0.9 })
		f.targets[0].status = 500
		_, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(failure.CodeOf(err)).To(Equal(failure.CoverageTooLow))
	})
})

var _ = Describe("a target", func() {
	It("gets no new requests after it refused one because it is draining", func() {
		f := newFixture(1, 2, withoutHedging)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.refusal = targetproto.RefusalDraining; t.requestCount = 0 })
		f.warmUp()
		Expect(readField(f.targets[0], func(t *fakeTarget) int { return t.requestCount })).To(BeNumerically("<=", 1))
	})

	It("gets no new requests once it or its availability zone is taken out of service", func() {
		f := newFixture(1, 3)
		f.warmUp()
		f.setView(func(v *view.View) {
			v.ZonesOut = map[model.AvailabilityZoneID]bool{"zone-a": true}
			v.Drained = map[model.TargetID]bool{f.targets[1].target.ID: true}
		})
		f.warmUpAs("later")
		Expect(f.targets[0].requestsWithPrefix("later")).To(BeZero())
		Expect(f.targets[1].requestsWithPrefix("later")).To(BeZero())
		Expect(f.targets[2].requestsWithPrefix("later")).To(BeNumerically(">=", 60))
	})

	It("is still used if it and all others of its leaf are ejected", func() {
		f := newFixture(1, 2)
		f.updateLeaf(0, func(t *fakeTarget) { t.status = 500 })
		for range 10 {
			_, _ = f.service.Query(context.Background(), newQuery("rye"))
		}
		f.updateLeaf(0, func(t *fakeTarget) { t.status = 0 })
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("that is cold gets no more than the granted cold load", func() {
		f := newFixture(1, 2)
		f.updateLeaf(0, func(t *fakeTarget) { t.state = targetproto.StateCold })
		f.queryConcurrently(40)
		for _, t := range f.targets {
			Expect(readField(t, func(t *fakeTarget) int { return t.peakInFlight })).To(BeNumerically("<=", 2))
		}
	})

	It("that restarted is limited to the cold load at once and reported", func() {
		f := newFixture(1, 1, func(c *settings.Collection) { c.ColdLoad = 1 })
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.boot, t.state = "b2", targetproto.StateCold })
		_, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		f.targets[0].set(func(t *fakeTarget) { t.peakInFlight = 0 })
		f.queryConcurrently(30)
		Expect(readField(f.targets[0], func(t *fakeTarget) int { return t.peakInFlight })).To(Equal(1))
		Expect(f.reported(func(e view.Evidence) bool { return len(e.Cold) > 0 && e.Cold[0].Boot == "b2" })).To(BeTrue())
	})

	It("never sees more connections than are granted", func() {
		f := newFixture(1, 2)
		f.setView(func(v *view.View) {
			v.Grants = map[model.TargetID]view.Grant{}
			for _, t := range f.targets {
				v.Grants[t.target.ID] = view.Grant{Connections: 3, ColdLoad: 3}
			}
		})
		for _, answer := range f.queryConcurrently(40) {
			if answer != nil {
				Expect(answer.Coverage.Fraction).To(Equal(1.0))
			}
		}
		for _, t := range f.targets {
			Expect(readField(t, func(t *fakeTarget) int { return t.maxOpenConns })).To(BeNumerically("<=", 3))
		}
	})
})

var _ = Describe("a target that sheds load", func() {
	It("is asked again after a pause, so that the answer is complete", func() {
		f := newFixture(2, 1)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.refusal, t.refusalsLeft = targetproto.RefusalShed, 3 })
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("is not asked more often than its pauses allow, however many queries wait", func() {
		f := newFixture(1, 1)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.refusal, t.requestCount = targetproto.RefusalShed, 0 })
		var queries sync.WaitGroup
		for n := range 30 {
			queries.Go(func() {
				request := newQuery(fmt.Sprintf("shed-%d", n))
				request.Deadline = time.Now().Add(400 * time.Millisecond)
				_, err := f.service.Query(context.Background(), request)
				Expect(failure.CodeOf(err)).To(Equal(failure.Overloaded))
				Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
			})
		}
		queries.Wait()
		Expect(readField(f.targets[0], func(t *fakeTarget) int { return t.requestCount })).To(BeNumerically("<=", 30))
	})
})

var _ = Describe("an attempt at a late leaf", func() {
	It("is hedged at another target, and the slower of the two is cancelled", func() {
		f := newFixture(1, 2, fixedHedge)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.hold = make(chan struct{}) })
		for range 8 {
			answer, err := f.service.Query(context.Background(), newQuery("rye"))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Coverage.Fraction).To(Equal(1.0))
		}
		Eventually(func() int { return readField(f.targets[0], func(t *fakeTarget) int { return t.inFlight }) }).Should(BeZero())
	})

	It("is cancelled as soon as its hedge has answered, while other leaves go on", func() {
		f := newFixture(2, 2, fullHedgeBudget)
		f.warmUp()
		loser := f.targets[0]
		loser.set(func(t *fakeTarget) { t.hold = make(chan struct{}) })
		for cancelled := false; !cancelled; {
			release := make(chan struct{})
			f.updateLeaf(1, func(t *fakeTarget) { t.hold = release })
			before := loser.runCount()
			var queries sync.WaitGroup
			queries.Go(func() { _, _ = f.service.Query(context.Background(), newQuery("rye")) })
			Eventually(func() int { return f.targets[2].inFlightNow() + f.targets[3].inFlightNow() }).Should(BeNumerically(">", 0))
			if loser.runCount() > before {
				Eventually(loser.inFlightNow).Should(BeZero())
				Expect(f.targets[2].inFlightNow() + f.targets[3].inFlightNow()).To(BeNumerically(">", 0))
				cancelled = true
			}
			close(release)
			queries.Wait()
		}
	})

	It("is cancelled when the caller of its query disconnects", func() {
		f := newFixture(1, 1)
		f.targets[0].hold = make(chan struct{})
		ctx, disconnect := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(f.targets[0].runCount).Should(Equal(1))
			disconnect()
		}()
		_, err := f.service.Query(ctx, newQuery("rye"))
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return readField(f.targets[0], func(t *fakeTarget) int { return t.inFlight }) }).Should(BeZero())
	})
})

var _ = Describe("a move", func() {
	It("sends nothing to the new version once the move was reverted, and reports outcomes by version", func() {
		f := newFixture(1, 2)
		newVersion := f.addTarget(model.LeafID{Service: "svc", Leaf: 0}, 2)
		f.list.Targets[2].Version = "2"
		f.setView(func(v *view.View) { v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Share: 1}} })
		f.warmUp()
		Expect(newVersion.runCount()).To(BeNumerically(">", 0))
		f.setView(func(v *view.View) {
			v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Reverted: true}}
		})
		before := newVersion.runCount()
		f.warmUp()
		Expect(newVersion.runCount()).To(Equal(before))
		Eventually(func() bool {
			f.service.Refresh()
			return f.reported(func(e view.Evidence) bool { return len(e.Outcomes) > 0 && e.Outcomes[0].OK > 0 })
		}, 3*time.Second).Should(BeTrue())
	})
})

var _ = Describe("a caller", func() {
	It("is limited to its share of the fleet-wide limit, and the refusal says that nothing ran", func() {
		f := newFixture(1, 1)
		f.setView(func(v *view.View) {
			v.CallerLimits = map[model.CallerID]float64{"ana": 4}
			v.Instances = []model.Instance{{ID: "i-1"}, {ID: "i-2"}}
		})
		refused := 0
		for range 10 {
			if _, err := f.service.Query(context.Background(), newQuery("rye")); failure.CodeOf(err) == failure.CallerLimit {
				Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">=", 7))
	})
})

var _ = Describe("many queries with hedges, disconnecting callers and failures", func() {
	It("leak no goroutine", func() {
		before := goleak.IgnoreCurrent()
		f := newFixture(4, 2, fixedHedge)
		f.targets[0].set(func(t *fakeTarget) { t.hold = make(chan struct{}) })
		f.targets[3].set(func(t *fakeTarget) { t.status = 500 })
		for n := range 200 {
			ctx, disconnect := context.WithCancel(context.Background())
			if n%7 == 0 {
				disconnect()
			}
			request := newQuery(fmt.Sprintf("q-%d", n))
			request.Deadline = time.Now().Add(100 * time.Millisecond)
			_, _ = f.service.Query(ctx, request)
			disconnect()
		}
		f.service.Close()
		for _, t := range f.targets {
			t.server.CloseClientConnections()
			t.server.Close()
		}
		Expect(goleak.Find(before)).To(Succeed(), "%d goroutines", runtime.NumGoroutine())
	})
})

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

// withoutHedges keeps a refusal from being cancelled before it is read.
func withoutHedges(c *settings.Collection) { c.Hedge = &settings.Hedge{Mode: "none"} }

// manyHedges has a budget for each attempt.
func manyHedges(c *settings.Collection) {
	fixedHedge(c)
	c.HedgeBudget = 1
}

func probing(c *settings.Collection) { c.ProbeNewRequests = true }

// askTogether sends queries with different texts at the same time.
func (f *fleet) askTogether(count int) []*query.Answer {
	answers := make([]*query.Answer, count)
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			answers[n], _ = f.service.Query(context.Background(), askFor(fmt.Sprintf("together-%d", n)))
		})
	}
	all.Wait()
	return answers
}

var _ = Describe("a snapshot", func() {
	twoSnapshots := func() *fleet {
		f := newFleet(3, 2)
		f.listSnapshots(snapshotOf("s1", 1, 3), snapshotOf("s2", 2, 3))
		for _, t := range f.targets {
			t.set(func(t *fakeTarget) { t.snapshots = []model.SnapshotID{"s1", "s2"} })
		}
		f.service.Refresh()
		f.service.ReadHealth(context.Background())
		f.service.Refresh()
		return f
	}

	It("is the newest whole one", func() {
		f := twoSnapshots()
		answer, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s2")))
	})

	It("that a leaf lost midway makes the whole query run again on another, without a mix", func() {
		f := twoSnapshots()
		f.each(1, func(t *fakeTarget) { t.snapshots = []model.SnapshotID{"s1"} })
		answer, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s1")))
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("that all targets switch from at once is followed without waiting for the next hint", func() {
		f := newFleet(3, 2)
		f.listSnapshots(snapshotOf("s1", 1, 3), snapshotOf("s2", 2, 3), snapshotOf("s3", 3, 3))
		f.service.ReadHealth(context.Background())
		f.service.Refresh()
		for _, t := range f.targets {
			t.set(func(t *fakeTarget) { t.snapshots = []model.SnapshotID{"s2"} })
		}
		answer, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s2")))
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("that one target lost is answered by the leaf's other targets", func() {
		f := twoSnapshots()
		f.targets[0].set(func(t *fakeTarget) { t.snapshots = nil })
		for range 6 {
			answer, err := f.service.Query(context.Background(), askFor("rye"))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Snapshot).To(Equal(model.SnapshotID("s2")))
			Expect(answer.Coverage.Fraction).To(Equal(1.0))
		}
	})

	It("that no leaf set is whole for leaves a true partial answer", func() {
		f := newFleet(3, 1)
		f.each(2, func(t *fakeTarget) { t.snapshots = nil })
		answer, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Answered).To(Equal(200))
		Expect(answer.Coverage.Missing[0].Reason).To(Equal(query.MissingNotHeld))
	})
})

var _ = Describe("a reply", func() {
	DescribeTable("that does not match its request is dropped", func(edit func(*targetproto.QueryReply)) {
		f := newFleet(2, 1)
		f.targets[0].edit = edit
		answer, err := f.service.Query(context.Background(), askFor("rye"))
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

	It("below the coverage that the collection wants is refused", func() {
		f := newFleet(2, 1, func(c *settings.Collection) { c.Policy, c.MinCoverage = settings.PreferCoverage, 0.9 })
		f.targets[0].status = 500
		_, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(failure.CodeOf(err)).To(Equal(failure.CoverageTooLow))
	})
})

var _ = Describe("a target", func() {
	It("gets no new work after it refused some because it drains", func() {
		f := newFleet(1, 2, withoutHedges)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.refusal = targetproto.RefusalDraining; t.asked = 0 })
		f.warmUp()
		Expect(see(f.targets[0], func(t *fakeTarget) int { return t.asked })).To(BeNumerically("<=", 1))
	})

	It("gets no new work once its availability zone, or itself, is taken out", func() {
		f := newFleet(1, 3)
		f.warmUp()
		f.setView(func(v *view.View) {
			v.ZonesOut = map[model.AvailabilityZoneID]bool{"zone-a": true}
			v.Drained = map[model.TargetID]bool{f.targets[1].target.ID: true}
		})
		f.warmUpAs("later")
		Expect(f.targets[0].askedFor("later")).To(BeZero())
		Expect(f.targets[1].askedFor("later")).To(BeZero())
		Expect(f.targets[2].askedFor("later")).To(BeNumerically(">=", 60))
	})

	It("is not ejected if it is one of the last of its leaf", func() {
		f := newFleet(1, 2)
		f.each(0, func(t *fakeTarget) { t.status = 500 })
		for range 10 {
			_, _ = f.service.Query(context.Background(), askFor("rye"))
		}
		f.each(0, func(t *fakeTarget) { t.status = 0 })
		answer, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("that is cold gets no more than the granted load", func() {
		f := newFleet(1, 2)
		f.each(0, func(t *fakeTarget) { t.state = targetproto.StateCold })
		f.askTogether(40)
		for _, t := range f.targets {
			Expect(see(t, func(t *fakeTarget) int { return t.peak })).To(BeNumerically("<=", 2))
		}
	})

	It("that restarted is clamped at once and reported", func() {
		f := newFleet(1, 1, func(c *settings.Collection) { c.ColdLoad = 1 })
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.boot, t.state = "b2", targetproto.StateCold })
		_, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		f.targets[0].set(func(t *fakeTarget) { t.peak = 0 })
		f.askTogether(30)
		Expect(see(f.targets[0], func(t *fakeTarget) int { return t.peak })).To(Equal(1))
		Expect(f.reported(func(e view.Evidence) bool { return len(e.Cold) > 0 && e.Cold[0].Boot == "b2" })).To(BeTrue())
	})

	It("never sees more connections than are granted", func() {
		f := newFleet(1, 2)
		f.setView(func(v *view.View) {
			v.Grants = map[model.TargetID]view.Grant{}
			for _, t := range f.targets {
				v.Grants[t.target.ID] = view.Grant{Connections: 3, ColdLoad: 3}
			}
		})
		for _, answer := range f.askTogether(40) {
			if answer != nil {
				Expect(answer.Coverage.Fraction).To(Equal(1.0))
			}
		}
		for _, t := range f.targets {
			Expect(see(t, func(t *fakeTarget) int { return t.mostConns })).To(BeNumerically("<=", 3))
		}
	})
})

var _ = Describe("a target that sheds", func() {
	It("is asked again after a pause, so that the answer is whole", func() {
		f := newFleet(2, 1)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.refusal, t.refuseNext = targetproto.RefusalShed, 3 })
		answer, err := f.service.Query(context.Background(), askFor("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Fraction).To(Equal(1.0))
	})

	It("is not asked more often than its pauses allow, however many queries wait", func() {
		f := newFleet(1, 1)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.refusal, t.asked = targetproto.RefusalShed, 0 })
		var all sync.WaitGroup
		for n := range 30 {
			all.Go(func() {
				request := askFor(fmt.Sprintf("shed-%d", n))
				request.Deadline = time.Now().Add(400 * time.Millisecond)
				_, err := f.service.Query(context.Background(), request)
				Expect(failure.CodeOf(err)).To(Equal(failure.Overloaded))
				Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
			})
		}
		all.Wait()
		Expect(see(f.targets[0], func(t *fakeTarget) int { return t.asked })).To(BeNumerically("<=", 30))
	})
})

var _ = Describe("a late leaf", func() {
	It("is hedged at another target, and the loser is cancelled", func() {
		f := newFleet(1, 2, fixedHedge)
		f.warmUp()
		f.targets[0].set(func(t *fakeTarget) { t.hold = make(chan struct{}) })
		for range 8 {
			answer, err := f.service.Query(context.Background(), askFor("rye"))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Coverage.Fraction).To(Equal(1.0))
		}
		Eventually(func() int { return see(f.targets[0], func(t *fakeTarget) int { return t.inFlight }) }).Should(BeZero())
	})

	It("is given up as soon as its hedge has answered, while other leaves go on", func() {
		f := newFleet(2, 2, manyHedges)
		f.warmUp()
		loser := f.targets[0]
		loser.set(func(t *fakeTarget) { t.hold = make(chan struct{}) })
		for cancelled := false; !cancelled; {
			release := make(chan struct{})
			f.each(1, func(t *fakeTarget) { t.hold = release })
			before := loser.runs()
			var asked sync.WaitGroup
			asked.Go(func() { _, _ = f.service.Query(context.Background(), askFor("rye")) })
			Eventually(func() int { return f.targets[2].inFlightNow() + f.targets[3].inFlightNow() }).Should(BeNumerically(">", 0))
			if loser.runs() > before {
				Eventually(loser.inFlightNow).Should(BeZero())
				Expect(f.targets[2].inFlightNow() + f.targets[3].inFlightNow()).To(BeNumerically(">", 0))
				cancelled = true
			}
			close(release)
			asked.Wait()
		}
	})

	It("is cancelled when its caller hangs up", func() {
		f := newFleet(1, 1)
		f.targets[0].hold = make(chan struct{})
		ctx, hangUp := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(f.targets[0].runs).Should(Equal(1))
			hangUp()
		}()
		_, err := f.service.Query(ctx, askFor("rye"))
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return see(f.targets[0], func(t *fakeTarget) int { return t.inFlight }) }).Should(BeZero())
	})
})

var _ = Describe("a move", func() {
	It("sends nothing to a version that was taken back, and reports outcomes by version", func() {
		f := newFleet(1, 2)
		beside := f.addTarget(model.LeafID{Service: "svc", Leaf: 0}, 2)
		f.list.Targets[2].Version = "2"
		f.setView(func(v *view.View) { v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Share: 1}} })
		f.warmUp()
		Expect(beside.runs()).To(BeNumerically(">", 0))
		f.setView(func(v *view.View) {
			v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Reverted: true}}
		})
		before := beside.runs()
		f.warmUp()
		Expect(beside.runs()).To(Equal(before))
		Eventually(func() bool {
			f.service.Refresh()
			return f.reported(func(e view.Evidence) bool { return len(e.Outcomes) > 0 && e.Outcomes[0].OK > 0 })
		}, 3*time.Second).Should(BeTrue())
	})
})

var _ = Describe("a caller", func() {
	It("is held to its share of the fleet-wide limit with a true refusal", func() {
		f := newFleet(1, 1)
		f.setView(func(v *view.View) {
			v.CallerLimits = map[model.CallerID]float64{"ana": 4}
			v.Instances = []model.Instance{{ID: "i-1"}, {ID: "i-2"}}
		})
		refused := 0
		for range 10 {
			if _, err := f.service.Query(context.Background(), askFor("rye")); failure.CodeOf(err) == failure.CallerLimit {
				Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">=", 7))
	})
})

var _ = Describe("many queries with hedges, hang-ups and failures", func() {
	It("leave no goroutine behind", func() {
		before := goleak.IgnoreCurrent()
		f := newFleet(4, 2, fixedHedge)
		f.targets[0].set(func(t *fakeTarget) { t.hold = make(chan struct{}) })
		f.targets[3].set(func(t *fakeTarget) { t.status = 500 })
		for n := range 200 {
			ctx, hangUp := context.WithCancel(context.Background())
			if n%7 == 0 {
				hangUp()
			}
			request := askFor(fmt.Sprintf("q-%d", n))
			request.Deadline = time.Now().Add(100 * time.Millisecond)
			_, _ = f.service.Query(ctx, request)
			hangUp()
		}
		f.service.Close()
		for _, t := range f.targets {
			t.server.CloseClientConnections()
			t.server.Close()
		}
		Expect(goleak.Find(before)).To(Succeed(), "%d goroutines", runtime.NumGoroutine())
	})
})

package burn_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var shopfront = settings.Collection{
	ID: "shopfront",
	Objectives: settings.Objectives{
		Latency: settings.Duration(100 * time.Millisecond), LatencyShare: 0.99,
		Coverage: 1, CoverageShare: 0.99, OrderShare: 0.999,
	},
}

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// newBatch returns a batch of one instance with good and slow queries.
func newBatch(instance model.InstanceID, incarnation string, at time.Time, good, slow int, zone model.AvailabilityZoneID) burn.Batch {
	b := burn.NewBucket()
	for i := range good + slow {
		o := burn.Observation{
			Kind: burn.KindQuery, Collection: "shopfront", AvailabilityZone: zone,
			Route: "search", Caller: "bakery", Latency: 10 * time.Millisecond, Coverage: 1,
		}
		if i < slow {
			o.Latency = time.Second
		}
		b.Observe(o, shopfront.Objectives)
	}
	return burn.Batch{Instance: instance, Incarnation: incarnation, Minute: burn.MinuteOf(at), Data: b.Data()}
}

func accept(s *burn.Store, batch burn.Batch, now time.Time) bool {
	counted, err := s.Accept(batch, burn.MinuteOf(now))
	Expect(err).NotTo(HaveOccurred())
	return counted
}

func latencyReport(s *burn.Store, now time.Time) burn.ObjectiveReport {
	for _, o := range burn.BuildReport(s, []settings.Collection{shopfront}, now).Objectives {
		if o.Objective == burn.ObjectiveLatency {
			return o
		}
	}
	Fail("no latency objective in the report")
	return burn.ObjectiveReport{}
}

var _ = Describe("Store", func() {
	It("counts a batch once, however often it arrives", func() {
		s := burn.NewStore()
		batch := newBatch("e1", "a", start, 90, 10, "split-a")
		Expect(accept(s, batch, start)).To(BeTrue())
		Expect(accept(s, batch, start)).To(BeFalse())
		Expect(latencyReport(s, start).Windows[0].Counts).To(Equal(burn.Counts{Good: 90, Bad: 10}))
	})

	It("adds the batch of a restarted instance to the earlier batch of the same minute", func() {
		s := burn.NewStore()
		accept(s, newBatch("e1", "a", start, 10, 0, "split-a"), start)
		accept(s, newBatch("e1", "b", start, 5, 0, "split-a"), start)
		Expect(latencyReport(s, start).Windows[0].Counts.Good).To(BeEquivalentTo(15))
	})

	It("transfers its state to a restarted aggregator without double counting", func() {
		s := burn.NewStore()
		batch := newBatch("e1", "a", start, 10, 1, "split-a")
		accept(s, batch, start)
		copied, err := s.Data().Store()
		Expect(err).NotTo(HaveOccurred())
		Expect(accept(copied, batch, start)).To(BeFalse())
		Expect(latencyReport(copied, start)).To(Equal(latencyReport(s, start)))
	})

	It("rejects minutes too far in the future or the past", func() {
		s := burn.NewStore()
		Expect(accept(s, newBatch("e1", "a", start.Add(time.Hour), 1, 0, "split-a"), start)).To(BeFalse())
		Expect(accept(s, newBatch("e1", "a", start.Add(-96*time.Hour), 1, 0, "split-a"), start)).To(BeFalse())
	})

	It("keeps the counts of old minutes when merging them, and drops them after the retention", func() {
		s := burn.NewStore()
		now := start
		for range 8 * 60 {
			accept(s, newBatch("e1", "a", now, 1, 0, "split-a"), now)
			Expect(s.Advance(burn.MinuteOf(now))).To(Succeed())
			now = now.Add(time.Minute)
		}
		report := latencyReport(s, now)
		longest := report.Windows[len(report.Windows)-1]
		Expect(longest.Counts.Good).To(BeEquivalentTo(8 * 60))
		Expect(s.Advance(burn.MinuteOf(now.Add(73 * time.Hour)))).To(Succeed())
		Expect(s.Data().Spans).To(BeEmpty())
	})
})

var _ = Describe("BuildReport", func() {
	It("burns when both windows of an alarm exceed its rate, and lists the zone as a cause", func() {
		s := burn.NewStore()
		now := start
		for range 60 {
			accept(s, newBatch("e1", "a", now, 60, 40, "split-a"), now)
			accept(s, newBatch("e2", "a", now, 100, 0, "zadar-b"), now)
			now = now.Add(time.Minute)
		}
		now = now.Add(-time.Minute)
		o := latencyReport(s, now)
		Expect(o.Burning).To(BeTrue())
		Expect(o.Windows[0].Rate).To(BeNumerically("~", 20, 0.01))
		Expect(o.Causes[0]).To(Equal(burn.Cause{
			Dimension: burn.DimensionAvailabilityZone, Value: "split-a",
			Counts: burn.Counts{Good: 3600, Bad: 2400}, Share: 1,
		}))
	})

	It("does not burn on a short peak after quiet hours", func() {
		const minutes, peak = 240, 3
		s := burn.NewStore()
		now := start
		for i := range minutes {
			slow := 0
			if i >= minutes-peak {
				slow = 50
			}
			accept(s, newBatch("e1", "a", now, 100, slow, "split-a"), now)
			now = now.Add(time.Minute)
		}
		Expect(latencyReport(s, now.Add(-time.Minute)).Burning).To(BeFalse())
	})

	It("reports minutes without data as a gap", func() {
		s := burn.NewStore()
		accept(s, newBatch("e1", "a", start, 10, 0, "split-a"), start)
		now := start.Add(4 * time.Minute)
		accept(s, newBatch("e1", "a", now, 10, 0, "split-a"), now)
		o := latencyReport(s, now)
		Expect(o.Windows[0].Present).To(BeNumerically("~", 0.4, 0.001))
		Expect(o.Timeline).To(HaveLen(2))
	})

	It("bounds the distinct values of a dimension", func() {
		b := burn.NewBucket()
		for i := range 1000 {
			b.Observe(burn.Observation{
				Kind: burn.KindOrder, Collection: "shopfront", Caller: model.CallerID(rune('a' + i)),
			}, shopfront.Objectives)
		}
		// One objective: one row each for the total, the zone, the version and the
		// route, plus 32 callers and one row for all other callers.
		Expect(b.Data().Rows).To(HaveLen(4 + 33))
	})
})

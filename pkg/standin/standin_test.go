package standin_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/standin"
	"radishturn.example/radishturn/pkg/standin/content"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	leaf1Slot1          model.TargetID = "shopfront/svc-01/leaf-1/slot-1"
	leaf1Slot2          model.TargetID = "shopfront/svc-01/leaf-1/slot-2"
	leaf3Slot1          model.TargetID = "shopfront/svc-01/leaf-3/slot-1"
	leaf1Slot1Version42 model.TargetID = "shopfront/svc-01/leaf-1/slot-1@42"
)

var leafOne = model.LeafID{Service: "svc-01", Leaf: 1}

var _ = Describe("The stand-in", func() {
	It("lists targets, versions and snapshots", func() {
		f := start(testSettings())
		list := f.list()
		Expect(list.Targets).To(HaveLen(18)) // 3 leaves (the third is in s3 only), 3 slots, 2 versions
		Expect(f.target(leaf1Slot1).AvailabilityZone).To(BeEquivalentTo("split-a"))
		Expect(f.target(leaf1Slot2).AvailabilityZone).To(BeEquivalentTo("zadar-b"))
		Expect(f.target(leaf1Slot1Version42).Version).To(BeEquivalentTo("42"))
		Expect(list.Snapshots).To(HaveLen(1))
		Expect(list.Snapshots[0].Leaves).To(HaveLen(2))
	})

	It("answers a query with the defined content", func() {
		f := start(testSettings())
		r := f.sendQuery(leaf1Slot1)
		Expect(r.query.Leaf).To(Equal(leafOne))
		Expect(r.query.Snapshot).To(BeEquivalentTo("s1"))
		Expect(r.query.Documents).To(Equal(content.DocumentCount("shopfront", "s1", leafOne, 10)))
		Expect(r.query.Hits).To(Equal(content.Hits("shopfront", "s1", leafOne, "bread")[:3]))
		Expect(r.header.Get(targetproto.HeaderBoot)).To(Equal(string(leaf1Slot1) + "#1"))
		Expect(r.header.Get(targetproto.HeaderVersion)).To(Equal("41"))
		Expect(r.header.Get(targetproto.HeaderLeaf)).To(Equal("svc-01/leaf-1"))
		Expect(r.header.Get(targetproto.HeaderState)).To(Equal("warm"))
	})

	It("refuses a snapshot that it does not hold", func() {
		f := start(testSettings())
		r, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", snapshot: "s2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusConflict))
		Expect(r.header.Get(targetproto.HeaderRefusal)).To(BeEquivalentTo(targetproto.RefusalNotHeld))
	})

	It("counts extra requests to a leaf across its targets", func() {
		f := start(testSettings())
		for _, id := range []model.TargetID{leaf1Slot1, leaf1Slot2, leaf1Slot2} {
			_, err := f.send(context.Background(), f.target(id), call{requestID: "same", snapshot: "s1"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.Stats(false).Total.Requests).To(BeEquivalentTo(3))
		Expect(f.Stats(false).Total.ExtraRequests).To(BeEquivalentTo(2))
	})

	It("stops processing at the deadline and on cancellation", func() {
		s := testSettings()
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		r, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", snapshot: "s1", deadline: 5 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusGatewayTimeout))

		ctx, cancel := context.WithCancel(context.Background())
		done := f.sendInBackground(ctx, leaf1Slot1, call{requestID: "b", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).InFlight }).Should(BeEquivalentTo(1))
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).Cancelled }).Should(BeEquivalentTo(1))
		Expect(f.statsOf(leaf1Slot1).InFlight).To(BeZero())
	})

	It("refuses connections above the limit", func() {
		s := testSettings()
		s.Collections[0].Connections = 1
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		ctx, cancel := context.WithCancel(context.Background())
		done := f.sendInBackground(ctx, leaf1Slot1, call{requestID: "a", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).InFlight }).Should(BeEquivalentTo(1))
		_, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "b", snapshot: "s1"})
		Expect(err).To(HaveOccurred())
		cancel()
		<-done
		Expect(f.statsOf(leaf1Slot1).RefusedConnections).To(BeEquivalentTo(1))
		Expect(f.statsOf(leaf1Slot1).MaxConnections).To(BeEquivalentTo(1))
	})

	It("queues requests above its concurrency and sheds those above the queue", func() {
		s := testSettings()
		s.Collections[0].Concurrency, s.Collections[0].Queue = 1, 1
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.sendInBackground(ctx, leaf1Slot1, call{requestID: "a", snapshot: "s1"})
		f.sendInBackground(ctx, leaf1Slot1, call{requestID: "b", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).InFlight }).Should(BeEquivalentTo(2))
		// Whichever request arrives third is shed, even if the first two are still
		// starting.
		f.sendInBackground(ctx, leaf1Slot1, call{requestID: "c", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).Shed }).Should(BeEquivalentTo(1))
	})

	It("counts the load of a cold target and warms it up by requests", func() {
		s := testSettings()
		s.Collections[0].Cold.AtStart = true
		f := start(s)
		Expect(f.sendQuery(leaf1Slot1).header.Get(targetproto.HeaderState)).To(Equal("cold"))
		for range 3 {
			f.sendQuery(leaf1Slot1)
		}
		Expect(f.sendQuery(leaf1Slot1).header.Get(targetproto.HeaderState)).To(Equal("warm"))
		Expect(f.statsOf(leaf1Slot1).ColdRequests).To(BeEquivalentTo(4))
		Expect(f.statsOf(leaf1Slot1).MaxColdInFlight).To(BeEquivalentTo(1))
		Expect(f.statsOf(leaf1Slot1).ColdOverloads).To(BeZero())
		Expect(f.statsOf(leaf1Slot1).ColdTargets).To(BeZero())
		Expect(f.Stats(false).Total.ColdTargets).To(BeEquivalentTo(17))
		var truth standin.Truth
		f.get(f.ControlAddress(), standin.TruthPath, &truth)
		Expect(truth.IdealWarmUp["shopfront"]).To(BeEquivalentTo(4))
		Expect(f.statsOf(leaf1Slot1).MaxWarmUp).To(BeNumerically(">=", 4))
	})

	It("counts overloads of a cold target and crashes it at the crash load", func() {
		s := testSettings()
		s.Collections[0].Cold.AtStart = true
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		a := f.sendInBackground(context.Background(), leaf1Slot1, call{requestID: "a", snapshot: "s1"})
		b := f.sendInBackground(context.Background(), leaf1Slot1, call{requestID: "b", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).ColdOverloads }).Should(BeEquivalentTo(1))
		c := f.sendInBackground(context.Background(), leaf1Slot1, call{requestID: "c", snapshot: "s1"})
		for _, done := range []<-chan error{a, b, c} {
			Expect(<-done).To(HaveOccurred())
		}
		Expect(f.statsOf(leaf1Slot1).Crashes).To(BeEquivalentTo(1))
		Expect(f.statsOf(leaf1Slot1).Up).To(BeFalse())
	})

	It("counts overloads of a cold target as known only from a second after its first cold signal on", func() {
		s := testSettings()
		s.Collections[0].Cold = standin.Cold{MaxLoad: 1, Requests: 1000, Factor: 1, AtStart: true}
		s.Collections[0].ServiceTime.Median = settings.Duration(200 * time.Millisecond)
		f := start(s)
		sendPair := func() standin.TargetStats {
			a := f.sendInBackground(context.Background(), leaf1Slot1, call{requestID: "a", snapshot: "s1"})
			b := f.sendInBackground(context.Background(), leaf1Slot1, call{requestID: "b", snapshot: "s1"})
			Expect(<-a).To(Succeed())
			Expect(<-b).To(Succeed())
			return f.statsOf(leaf1Slot1)
		}
		before := sendPair()
		Expect(before.ColdOverloads).To(BeEquivalentTo(1))
		Expect(before.KnownColdOverloads).To(BeZero())
		Eventually(func() int64 { return sendPair().KnownColdOverloads }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	It("records every run of an order under its key", func() {
		f := start(testSettings())
		for _, request := range []string{"a", "b"} {
			r, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: request, key: "k", text: "two loaves"})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK))
		}
		var log standin.OrderLog
		f.get(f.ControlAddress(), standin.OrdersPath, &log)
		Expect(log.Runs["k"]).To(HaveLen(2))
		Expect(f.Stats(false).Orders).To(Equal(standin.OrderSummary{Keys: 1, Runs: 2, KeysWithMultipleRuns: 1}))
	})

	It("shows changes of the list only after the lag", func() {
		s := testSettings()
		s.ListLag = settings.Duration(time.Hour)
		f := start(s)
		f.apply(`{"fault": "leave", "targets": ["` + string(leaf1Slot1) + `"]}`)
		Expect(f.target(leaf1Slot1).Leaving).To(BeFalse())
		f = start(testSettings())
		f.apply(`{"fault": "leave", "targets": ["` + string(leaf1Slot1) + `"]}`)
		Expect(f.target(leaf1Slot1).Leaving).To(BeTrue())
	})
})

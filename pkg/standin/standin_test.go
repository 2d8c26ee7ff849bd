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
	first  model.TargetID = "shopfront/svc-01/leaf-1/slot-1"
	second model.TargetID = "shopfront/svc-01/leaf-1/slot-2"
	third  model.TargetID = "shopfront/svc-01/leaf-3/slot-1"
	newer  model.TargetID = "shopfront/svc-01/leaf-1/slot-1@42"
)

var leafOne = model.LeafID{Service: "svc-01", Leaf: 1}

var _ = Describe("The stand-in", func() {
	It("lists targets, versions and snapshots", func() {
		f := start(testSettings())
		list := f.list()
		Expect(list.Targets).To(HaveLen(18)) // 3 leaves (the third is in s3 only), 3 slots, 2 versions
		Expect(f.target(first).AvailabilityZone).To(BeEquivalentTo("split-a"))
		Expect(f.target(second).AvailabilityZone).To(BeEquivalentTo("zadar-b"))
		Expect(f.target(newer).Version).To(BeEquivalentTo("42"))
		Expect(list.Snapshots).To(HaveLen(1))
		Expect(list.Snapshots[0].Leaves).To(HaveLen(2))
	})

	It("answers a query with the defined content", func() {
		f := start(testSettings())
		r := f.sendQuery(first)
		Expect(r.query.Leaf).To(Equal(leafOne))
		Expect(r.query.Snapshot).To(BeEquivalentTo("s1"))
		Expect(r.query.Documents).To(Equal(content.Documents("shopfront", "s1", leafOne, 10)))
		Expect(r.query.Hits).To(Equal(content.Hits("shopfront", "s1", leafOne, "bread")[:3]))
		Expect(r.header.Get(targetproto.HeaderBoot)).To(Equal(string(first) + "#1"))
		Expect(r.header.Get(targetproto.HeaderVersion)).To(Equal("41"))
		Expect(r.header.Get(targetproto.HeaderLeaf)).To(Equal("svc-01/leaf-1"))
		Expect(r.header.Get(targetproto.HeaderState)).To(Equal("warm"))
	})

	It("refuses a snapshot that it does not hold", func() {
		f := start(testSettings())
		r, err := f.send(context.Background(), f.target(first), call{request: "a", snapshot: "s2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusConflict))
		Expect(r.header.Get(targetproto.HeaderRefusal)).To(BeEquivalentTo(targetproto.RefusalNotHeld))
	})

	It("counts extra requests to a leaf across its targets", func() {
		f := start(testSettings())
		for _, id := range []model.TargetID{first, second, second} {
			_, err := f.send(context.Background(), f.target(id), call{request: "same", snapshot: "s1"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.Stats(false).Total.Requests).To(BeEquivalentTo(3))
		Expect(f.Stats(false).Total.ExtraRequests).To(BeEquivalentTo(2))
	})

	It("stops processing at the deadline and on cancellation", func() {
		s := testSettings()
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		r, err := f.send(context.Background(), f.target(first), call{request: "a", snapshot: "s1", deadline: 5 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusGatewayTimeout))

		ctx, cancel := context.WithCancel(context.Background())
		done := f.sendInBackground(ctx, first, call{request: "b", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(first).InFlight }).Should(BeEquivalentTo(1))
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
		Eventually(func() int64 { return f.statsOf(first).Cancelled }).Should(BeEquivalentTo(1))
		Expect(f.statsOf(first).InFlight).To(BeZero())
	})

	It("refuses connections above the limit", func() {
		s := testSettings()
		s.Collections[0].Connections = 1
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		ctx, cancel := context.WithCancel(context.Background())
		done := f.sendInBackground(ctx, first, call{request: "a", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(first).InFlight }).Should(BeEquivalentTo(1))
		_, err := f.send(context.Background(), f.target(first), call{request: "b", snapshot: "s1"})
		Expect(err).To(HaveOccurred())
		cancel()
		<-done
		Expect(f.statsOf(first).RefusedConnections).To(BeEquivalentTo(1))
		Expect(f.statsOf(first).MaxConnections).To(BeEquivalentTo(1))
	})

	It("queues requests above its concurrency and sheds those above the queue", func() {
		s := testSettings()
		s.Collections[0].Concurrency, s.Collections[0].Queue = 1, 1
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.sendInBackground(ctx, first, call{request: "a", snapshot: "s1"})
		f.sendInBackground(ctx, first, call{request: "b", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(first).InFlight }).Should(BeEquivalentTo(2))
		// Whichever request arrives third is shed, even if the first two are still
		// starting.
		f.sendInBackground(ctx, first, call{request: "c", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(first).Shed }).Should(BeEquivalentTo(1))
	})

	It("counts the load of a cold target and warms it up by requests", func() {
		s := testSettings()
		s.Collections[0].Cold.AtStart = true
		f := start(s)
		Expect(f.sendQuery(first).header.Get(targetproto.HeaderState)).To(Equal("cold"))
		for range 3 {
			f.sendQuery(first)
		}
		Expect(f.sendQuery(first).header.Get(targetproto.HeaderState)).To(Equal("warm"))
		Expect(f.statsOf(first).ColdRequests).To(BeEquivalentTo(4))
		Expect(f.statsOf(first).MaxColdInFlight).To(BeEquivalentTo(1))
		Expect(f.statsOf(first).ColdOverloads).To(BeZero())
		Expect(f.statsOf(first).ColdTargets).To(BeZero())
		Expect(f.Stats(false).Total.ColdTargets).To(BeEquivalentTo(17))
		var truth standin.Truth
		f.get(f.ControlAddress(), standin.TruthPath, &truth)
		Expect(truth.IdealWarmUp["shopfront"]).To(BeEquivalentTo(4))
		Expect(f.statsOf(first).MaxWarmUp).To(BeNumerically(">=", 4))
	})

	It("counts overloads of a cold target and crashes it at the crash load", func() {
		s := testSettings()
		s.Collections[0].Cold.AtStart = true
		s.Collections[0].ServiceTime.Median = settings.Duration(slowService)
		f := start(s)
		a := f.sendInBackground(context.Background(), first, call{request: "a", snapshot: "s1"})
		b := f.sendInBackground(context.Background(), first, call{request: "b", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(first).ColdOverloads }).Should(BeEquivalentTo(1))
		c := f.sendInBackground(context.Background(), first, call{request: "c", snapshot: "s1"})
		for _, done := range []<-chan error{a, b, c} {
			Expect(<-done).To(HaveOccurred())
		}
		Expect(f.statsOf(first).Crashes).To(BeEquivalentTo(1))
		Expect(f.statsOf(first).Up).To(BeFalse())
	})

	It("distinguishes overload of a cold target before its first cold signal from that a second after it", func() {
		s := testSettings()
		s.Collections[0].Cold = standin.Cold{Load: 1, Requests: 1000, Factor: 1, AtStart: true}
		s.Collections[0].ServiceTime.Median = settings.Duration(200 * time.Millisecond)
		f := start(s)
		sendPair := func() standin.TargetStats {
			a := f.sendInBackground(context.Background(), first, call{request: "a", snapshot: "s1"})
			b := f.sendInBackground(context.Background(), first, call{request: "b", snapshot: "s1"})
			Expect(<-a).To(Succeed())
			Expect(<-b).To(Succeed())
			return f.statsOf(first)
		}
		before := sendPair()
		Expect(before.ColdOverloads).To(BeEquivalentTo(1))
		Expect(before.KnownColdOverloads).To(BeZero())
		Eventually(func() int64 { return sendPair().KnownColdOverloads }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	It("records every run of an order under its key", func() {
		f := start(testSettings())
		for _, request := range []string{"a", "b"} {
			r, err := f.send(context.Background(), f.target(first), call{request: request, key: "k", query: "two loaves"})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK))
		}
		var log standin.OrderLog
		f.get(f.ControlAddress(), standin.OrdersPath, &log)
		Expect(log.Runs["k"]).To(HaveLen(2))
		Expect(f.Stats(false).Orders).To(Equal(standin.OrderSummary{Keys: 1, Runs: 2, RepeatedKeys: 1}))
	})

	It("shows changes of the list only after the lag", func() {
		s := testSettings()
		s.ListLag = settings.Duration(time.Hour)
		f := start(s)
		f.apply(`{"fault": "leave", "targets": ["` + string(first) + `"]}`)
		Expect(f.target(first).Leaving).To(BeFalse())
		f = start(testSettings())
		f.apply(`{"fault": "leave", "targets": ["` + string(first) + `"]}`)
		Expect(f.target(first).Leaving).To(BeTrue())
	})
})

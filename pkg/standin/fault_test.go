package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/standin"
	"radishturn.example/radishturn/pkg/targetproto"
)

func faultOn(kind string, id model.TargetID, extraFields string) string {
	return fmt.Sprintf(`{"fault": %q, "targets": [%q] %s}`, kind, id, extraFields)
}

var _ = Describe("A fault", func() {
	var f *fixture

	BeforeEach(func() { f = start(testSettings()) })

	refusal := func(r reply) targetproto.Refusal {
		return targetproto.Refusal(r.header.Get(targetproto.HeaderRefusal))
	}

	DescribeTable("applies to the selected targets",
		func(text string, n int) { Expect(f.apply(text)).To(Equal(n)) },
		Entry("all", `{"fault": "cold"}`, 18),
		Entry("one", `{"fault": "cold", "targets": ["shopfront/svc-01/leaf-1/slot-1"]}`, 1),
		Entry("a pattern", `{"fault": "cold", "targets": ["*/leaf-2/*"]}`, 6),
		Entry("an availability zone", `{"fault": "cold", "availabilityZone": "split-a"}`, 6),
		Entry("a version in a zone", `{"fault": "cold", "availabilityZone": "split-a", "version": "42"}`, 3),
	)

	It("is rejected if it is invalid or matches no target", func() {
		for _, invalid := range []standin.Fault{{Kind: "storm"}, {Kind: standin.KindSlow}, {Kind: standin.KindCold, Targets: []string{"nothing"}}} {
			_, err := f.Apply(invalid)
			Expect(err).To(HaveOccurred())
		}
	})

	It("slow delays replies", func() {
		f.apply(faultOn("slow", leaf1Slot1, `, "delay": "40ms"`))
		begin := time.Now()
		f.sendQuery(leaf1Slot1)
		Expect(time.Since(begin)).To(BeNumerically(">=", 40*time.Millisecond))
		f.Clear("slow")
		Expect(f.statsOf(leaf1Slot1).Served).To(BeEquivalentTo(1))
	})

	It("fail applies to the requests that meet its condition", func() {
		f.apply(faultOn("fail", leaf1Slot1, `, "status": 500, "when": {"route": "yield", "afterRequests": 1}`))
		statusFor := func(route string) int {
			r, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", snapshot: "s1", route: route})
			Expect(err).NotTo(HaveOccurred())
			return r.status
		}
		Expect(statusFor("search")).To(Equal(200))
		Expect(statusFor("yield")).To(Equal(500))
		Expect(statusFor("search")).To(Equal(200))
	})

	It("fail distinguishes queries and orders", func() {
		f.apply(faultOn("fail", leaf1Slot1, `, "status": 500, "when": {"kind": "order"}`))
		Expect(f.sendQuery(leaf1Slot1).status).To(Equal(200))
		r, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", key: "k", text: "loaf"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(500))
	})

	It("fail does not affect requests below minInFlight", func() {
		f.apply(faultOn("fail", leaf1Slot1, `, "status": 500, "when": {"minInFlight": 2}`))
		Expect(f.sendQuery(leaf1Slot1).status).To(Equal(200))
	})

	It("fail does not execute an order", func() {
		f.apply(faultOn("fail", leaf1Slot1, `, "status": 500`))
		r, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", key: "k", text: "loaf"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(500))
		Expect(f.Stats(false).Orders.Runs).To(BeZero())
	})

	It("shed and drain refuse requests", func() {
		f.apply(faultOn("shed", leaf1Slot1, ""))
		Expect(refusal(f.sendQuery(leaf1Slot1))).To(Equal(targetproto.RefusalShed))
		f.Clear("*")
		f.apply(faultOn("drain", leaf1Slot1, ""))
		r := f.sendQuery(leaf1Slot1)
		Expect(refusal(r)).To(Equal(targetproto.RefusalDraining))
		Expect(r.header.Get(targetproto.HeaderState)).To(Equal("draining"))
	})

	It("crash closes the port, and a restarted target is cold and has a new boot ID", func() {
		target := f.target(leaf1Slot1)
		f.apply(faultOn("crash", leaf1Slot1, ""))
		_, err := f.send(context.Background(), target, call{requestID: "a", snapshot: "s1"})
		Expect(err).To(HaveOccurred())
		f.apply(faultOn("restart", leaf1Slot1, ""))
		r := f.sendQuery(leaf1Slot1)
		Expect(r.header.Get(targetproto.HeaderBoot)).To(Equal(string(leaf1Slot1) + "#2"))
		Expect(r.header.Get(targetproto.HeaderState)).To(Equal("cold"))
	})

	It("crash restarts the target after restartAfter", func() {
		f.apply(faultOn("crash", leaf1Slot1, `, "restartAfter": "1ms"`))
		Eventually(func() bool { return f.statsOf(leaf1Slot1).Up }).Should(BeTrue())
		Expect(f.sendQuery(leaf1Slot1).header.Get(targetproto.HeaderBoot)).To(HaveSuffix("#2"))
	})

	It("crash-on-request crashes the target that processes the poison request", func() {
		f.apply(`{"fault": "crash-on-request", "when": {"query": "poison"}}`)
		Expect(f.sendQuery(leaf1Slot1).status).To(Equal(200))
		_, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", snapshot: "s1", text: "poison loaf"})
		Expect(err).To(HaveOccurred())
		Expect(f.statsOf(leaf1Slot1).Up).To(BeFalse())
		Expect(f.statsOf(leaf1Slot2).Up).To(BeTrue())
	})

	It("crash-on-request loses the reply to an executed order", func() {
		f.apply(`{"fault": "crash-on-request"}`)
		_, err := f.send(context.Background(), f.target(leaf1Slot1), call{requestID: "a", key: "k", text: "loaf"})
		Expect(err).To(HaveOccurred())
		Expect(f.Stats(false).Orders.Runs).To(Equal(1))
	})

	It("freeze delays requests until it is cleared", func() {
		f.apply(faultOn("freeze", leaf1Slot1, ""))
		done := f.sendInBackground(context.Background(), leaf1Slot1, call{requestID: "a", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(leaf1Slot1).InFlight }).Should(BeEquivalentTo(1))
		Consistently(done, 30*time.Millisecond).ShouldNot(Receive())
		f.Clear("freeze")
		Expect(<-done).To(Succeed())
	})

	It("is cleared after the time in for", func() {
		f.apply(faultOn("freeze", leaf1Slot1, `, "for": "1ms"`))
		Expect(f.sendQuery(leaf1Slot1).status).To(Equal(200))
	})

	It("health overrides the reported health, also of a frozen target", func() {
		var h targetproto.Health
		f.apply(faultOn("health", leaf1Slot1, `, "healthy": false`))
		f.get(f.target(leaf1Slot1).Address, targetproto.HealthPath, &h)
		Expect(h.Healthy).To(BeFalse())
		Expect(f.sendQuery(leaf1Slot1).status).To(Equal(200))
		f.apply(faultOn("health", leaf1Slot1, `, "healthy": true`))
		f.apply(faultOn("freeze", leaf1Slot1, ""))
		f.get(f.target(leaf1Slot1).Address, targetproto.HealthPath, &h)
		Expect(h.Healthy).To(BeTrue())
	})

	It("load overrides the reported load, and stale-hints keeps both hints unchanged", func() {
		var l targetproto.Load
		var h targetproto.Health
		f.apply(faultOn("load", leaf1Slot1, `, "inFlight": 99`))
		f.get(f.target(leaf1Slot1).Address, targetproto.LoadPath, &l)
		Expect(l.InFlight).To(Equal(99))
		f.apply(faultOn("stale-hints", leaf1Slot1, ""))
		f.Clear("load")
		f.apply(faultOn("drain", leaf1Slot1, ""))
		f.get(f.target(leaf1Slot1).Address, targetproto.LoadPath, &l)
		f.get(f.target(leaf1Slot1).Address, targetproto.HealthPath, &h)
		Expect(l.InFlight).To(Equal(99))
		Expect(h.Healthy).To(BeTrue())
		f.Clear("stale-hints")
		f.get(f.target(leaf1Slot1).Address, targetproto.HealthPath, &h)
		Expect(h.Healthy).To(BeFalse())
	})

	It("hold and switch change the held snapshots, also back and to another partition map", func() {
		held := func(id model.TargetID) []model.SnapshotID {
			var h targetproto.Health
			f.get(f.target(id).Address, targetproto.HealthPath, &h)
			return h.Snapshots
		}
		f.apply(`{"fault": "hold", "snapshot": "s2"}`)
		Expect(held(leaf1Slot1)).To(Equal([]model.SnapshotID{"s1", "s2"}))
		f.apply(`{"fault": "switch", "snapshot": "s3"}`)
		Expect(held(leaf1Slot1)).To(Equal([]model.SnapshotID{"s3"}))
		Expect(held(leaf3Slot1)).To(Equal([]model.SnapshotID{"s3"}))
		Expect(f.list().Snapshots[0].Leaves).To(HaveLen(3))
		f.apply(`{"fault": "switch", "snapshot": "s1"}`)
		Expect(held(leaf1Slot1)).To(Equal([]model.SnapshotID{"s1"}))
		Expect(held(leaf3Slot1)).To(BeEmpty())
	})

	It("is set at one target after another within over", func() {
		Expect(f.apply(`{"fault": "switch", "snapshot": "s2", "over": "50ms"}`)).To(Equal(18))
		Eventually(func() []model.Snapshot { return f.list().Snapshots }).Should(HaveLen(2))
		Eventually(func() []model.Snapshot { return f.list().Snapshots }).Should(HaveLen(1))
	})

	It("can be set while another is being set gradually", func() {
		f.apply(`{"fault": "leave", "over": "20ms"}`)
		countLeaving := func() int {
			f.apply(faultOn("cold", leaf1Slot1, ""))
			leaving := 0
			for _, t := range f.list().Targets {
				if t.Leaving {
					leaving++
				}
			}
			return leaving
		}
		Eventually(countLeaving).WithPolling(time.Microsecond).Should(Equal(18))
	})

	It("unlist and list change the platform's list", func() {
		f.apply(faultOn("unlist", leaf1Slot1, ""))
		Expect(f.list().Targets).To(HaveLen(17))
		f.apply(faultOn("list", leaf1Slot1, ""))
		Expect(f.list().Targets).To(HaveLen(18))
	})

	It("is not set at further targets after a reset", func() {
		f.apply(`{"fault": "unlist", "over": "100ms"}`)
		Expect(f.Reset()).To(Succeed())
		listed := func() int { return len(f.list().Targets) }
		Consistently(listed, 150*time.Millisecond).Should(Equal(18))
	})

	It("is undone by a reset", func() {
		f.apply(faultOn("crash", leaf1Slot1, ""))
		f.apply(faultOn("unlist", leaf1Slot2, ""))
		f.apply(`{"fault": "switch", "snapshot": "s2"}`)
		f.apply(`{"fault": "fail", "status": 500}`)
		Expect(f.Reset()).To(Succeed())
		Expect(f.sendQuery(leaf1Slot1).status).To(Equal(200))
		Expect(f.sendQuery(leaf1Slot2).status).To(Equal(200))
	})
})

// lateDelay is long compared to any delay that a busy machine adds.
const (
	lateDelay    = 300 * time.Millisecond
	testDeadline = 10 * time.Millisecond
	// longDeadline does not pass even on a busy machine. After the deadline a
	// target replies 504 instead of sending the damaged reply.
	longDeadline = 5 * time.Second
)

var _ = Describe("A damaged reply", func() {
	var f *fixture

	BeforeEach(func() { f = start(testSettings()) })

	damage := func(kind standin.ReplyFault) {
		_, err := f.Apply(standin.Fault{Kind: standin.KindReply, Reply: kind, Delay: settings.Duration(lateDelay)})
		Expect(err).NotTo(HaveOccurred())
	}
	sendWithin := func(deadline time.Duration, request string) (reply, error) {
		return f.send(context.Background(), f.target(leaf1Slot1), call{requestID: request, snapshot: "s1", text: request, deadline: deadline})
	}
	send := func(request string) (reply, error) { return sendWithin(longDeadline, request) }

	It("comes after the deadline", func() {
		damage(standin.ReplyLate)
		begin := time.Now()
		r, err := sendWithin(testDeadline, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(time.Since(begin)).To(And(
			BeNumerically(">=", testDeadline+lateDelay),
			BeNumerically("<", testDeadline+2*lateDelay),
		))
	})

	It("belongs to another request", func() {
		f.sendQuery(leaf1Slot1)
		damage(standin.ReplySwap)
		r, err := send("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.query.Request).NotTo(BeEquivalentTo("a"))
		Expect(r.query.Hits[0].Title).To(Equal("bread"))
	})

	It("is truncated", func() {
		damage(standin.ReplyTruncate)
		_, err := send("a")
		Expect(err).To(HaveOccurred())
	})

	It("has a wrong Content-Length", func() {
		damage(standin.ReplyWrongLength)
		_, err := send("a")
		Expect(err).To(HaveOccurred())
	})

	It("is sent twice", func() {
		damage(standin.ReplyDuplicate)
		for _, request := range []string{"a", "b"} {
			r, err := send(request)
			if err == nil {
				Expect(r.status).To(Equal(http.StatusOK))
			}
		}
		Expect(f.statsOf(leaf1Slot1).DamagedReplies).To(BeNumerically(">=", 1))
	})

	It("comes from another snapshot", func() {
		f.apply(`{"fault": "hold", "snapshot": "s2"}`)
		damage(standin.ReplyOtherSnapshot)
		r, err := send("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.query.Snapshot).To(BeEquivalentTo("s2"))
	})
})

var _ = DescribeTable("Settings are rejected with",
	func(invalidate func(*standin.Settings), message string) {
		s := testSettings()
		invalidate(s)
		Expect(s.Check()).To(MatchError(ContainSubstring(message)))
	},
	Entry("an address that is not loopback", func(s *standin.Settings) { s.Control = netip.MustParseAddrPort("192.0.2.1:80") }, "192.0.2.1:80 is not a loopback address"),
	Entry("no slots", func(s *standin.Settings) { s.Collections[0].Slots = 0 }, "slots: must be above 0"),
	Entry("too many targets", func(s *standin.Settings) { s.FirstPort = 65530 }, "do not fit"),
	Entry("an invalid schedule step", func(s *standin.Settings) { s.Schedule = []standin.ScheduledFault{{}} }, "is not known"),
)

var _ = It("the settings in the repository are valid", func() {
	for _, pattern := range []string{"../../config/demo/standin.jsonc", "../../config/experiments/standin*.jsonc"} {
		files, err := filepath.Glob(pattern)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := standin.Read(file)
			Expect(err).NotTo(HaveOccurred())
		}
	}
})

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

func at(kind string, id model.TargetID, more string) string {
	return fmt.Sprintf(`{"fault": %q, "targets": [%q] %s}`, kind, id, more)
}

var _ = Describe("A fault", func() {
	var f *fixture

	BeforeEach(func() { f = start(testSettings()) })

	refusal := func(r reply) targetproto.Refusal {
		return targetproto.Refusal(r.header.Get(targetproto.HeaderRefusal))
	}

	DescribeTable("concerns the targets that it names",
		func(text string, n int) { Expect(f.apply(text)).To(Equal(n)) },
		Entry("all", `{"fault": "cold"}`, 18),
		Entry("one", `{"fault": "cold", "targets": ["shopfront/svc-01/leaf-1/slot-1"]}`, 1),
		Entry("a pattern", `{"fault": "cold", "targets": ["*/leaf-2/*"]}`, 6),
		Entry("an availability zone", `{"fault": "cold", "availabilityZone": "split-a"}`, 6),
		Entry("a version in a zone", `{"fault": "cold", "availabilityZone": "split-a", "version": "42"}`, 3),
	)

	It("is refused if it is wrong or concerns no target", func() {
		for _, wrong := range []standin.Fault{{Kind: "storm"}, {Kind: standin.KindSlow}, {Kind: standin.KindCold, Targets: []string{"nothing"}}} {
			_, err := f.Apply(wrong)
			Expect(err).To(HaveOccurred())
		}
	})

	It("slow delays replies until it is cleared", func() {
		f.apply(at("slow", first, `, "delay": "40ms"`))
		begin := time.Now()
		f.ask(first)
		Expect(time.Since(begin)).To(BeNumerically(">=", 40*time.Millisecond))
		f.Clear("slow")
		Expect(f.statsOf(first).Served).To(BeEquivalentTo(1))
	})

	It("fail concerns the requests of its condition", func() {
		f.apply(at("fail", first, `, "status": 500, "when": {"route": "yield", "afterRequests": 1}`))
		ask := func(route string) int {
			r, err := f.send(context.Background(), f.target(first), call{request: "a", snapshot: "s1", route: route})
			Expect(err).NotTo(HaveOccurred())
			return r.status
		}
		Expect(ask("search")).To(Equal(200))
		Expect(ask("yield")).To(Equal(500))
		Expect(ask("search")).To(Equal(200))
	})

	It("fail tells queries from orders", func() {
		f.apply(at("fail", first, `, "status": 500, "when": {"kind": "order"}`))
		Expect(f.ask(first).status).To(Equal(200))
		r, err := f.send(context.Background(), f.target(first), call{request: "a", key: "k", query: "loaf"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(500))
	})

	It("fail leaves requests below a load unharmed", func() {
		f.apply(at("fail", first, `, "status": 500, "when": {"minInFlight": 2}`))
		Expect(f.ask(first).status).To(Equal(200))
	})

	It("fail leaves an order unrun", func() {
		f.apply(at("fail", first, `, "status": 500`))
		r, err := f.send(context.Background(), f.target(first), call{request: "a", key: "k", query: "loaf"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(500))
		Expect(f.Stats(false).Orders.Runs).To(BeZero())
	})

	It("shed and drain refuse", func() {
		f.apply(at("shed", first, ""))
		Expect(refusal(f.ask(first))).To(Equal(targetproto.RefusalShed))
		f.Clear("*")
		f.apply(at("drain", first, ""))
		r := f.ask(first)
		Expect(refusal(r)).To(Equal(targetproto.RefusalDraining))
		Expect(r.header.Get(targetproto.HeaderState)).To(Equal("draining"))
	})

	It("crash closes the port; the target comes back cold and with a new boot ID", func() {
		target := f.target(first)
		f.apply(at("crash", first, ""))
		_, err := f.send(context.Background(), target, call{request: "a", snapshot: "s1"})
		Expect(err).To(HaveOccurred())
		f.apply(at("restart", first, ""))
		r := f.ask(first)
		Expect(r.header.Get(targetproto.HeaderBoot)).To(Equal(string(first) + "#2"))
		Expect(r.header.Get(targetproto.HeaderState)).To(Equal("cold"))
	})

	It("crash restarts the target by itself if told so", func() {
		f.apply(at("crash", first, `, "restartAfter": "1ms"`))
		Eventually(func() bool { return f.statsOf(first).Up }).Should(BeTrue())
		Expect(f.ask(first).header.Get(targetproto.HeaderBoot)).To(HaveSuffix("#2"))
	})

	It("crash-on-request ends the target that runs the poison request", func() {
		f.apply(`{"fault": "crash-on-request", "when": {"query": "poison"}}`)
		Expect(f.ask(first).status).To(Equal(200))
		_, err := f.send(context.Background(), f.target(first), call{request: "a", snapshot: "s1", query: "poison loaf"})
		Expect(err).To(HaveOccurred())
		Expect(f.statsOf(first).Up).To(BeFalse())
		Expect(f.statsOf(second).Up).To(BeTrue())
	})

	It("crash-on-request loses the reply to an order that ran", func() {
		f.apply(`{"fault": "crash-on-request"}`)
		_, err := f.send(context.Background(), f.target(first), call{request: "a", key: "k", query: "loaf"})
		Expect(err).To(HaveOccurred())
		Expect(f.Stats(false).Orders.Runs).To(Equal(1))
	})

	It("freeze keeps requests and the health hint waiting until it is cleared", func() {
		f.apply(at("freeze", first, ""))
		done := f.askInBackground(context.Background(), first, call{request: "a", snapshot: "s1"})
		Eventually(func() int64 { return f.statsOf(first).InFlight }).Should(BeEquivalentTo(1))
		Consistently(done, 30*time.Millisecond).ShouldNot(Receive())
		f.Clear("freeze")
		Expect(<-done).To(Succeed())
	})

	It("ends by itself if told so", func() {
		f.apply(at("freeze", first, `, "for": "1ms"`))
		Expect(f.ask(first).status).To(Equal(200))
	})

	It("health says what it is told", func() {
		var h targetproto.Health
		f.apply(at("health", first, `, "healthy": false`))
		f.get(f.target(first).Address, targetproto.HealthPath, &h)
		Expect(h.Healthy).To(BeFalse())
		Expect(f.ask(first).status).To(Equal(200))
		f.apply(at("health", first, `, "healthy": true`))
		f.apply(at("freeze", first, ""))
		f.get(f.target(first).Address, targetproto.HealthPath, &h)
		Expect(h.Healthy).To(BeTrue())
	})

	It("load says what it is told, and stale hints stay as they were", func() {
		var l targetproto.Load
		var h targetproto.Health
		f.apply(at("load", first, `, "inFlight": 99`))
		f.get(f.target(first).Address, targetproto.LoadPath, &l)
		Expect(l.InFlight).To(Equal(99))
		f.apply(at("stale-hints", first, ""))
		f.Clear("load")
		f.apply(at("drain", first, ""))
		f.get(f.target(first).Address, targetproto.LoadPath, &l)
		f.get(f.target(first).Address, targetproto.HealthPath, &h)
		Expect(l.InFlight).To(Equal(99))
		Expect(h.Healthy).To(BeTrue())
		f.Clear("stale-hints")
		f.get(f.target(first).Address, targetproto.HealthPath, &h)
		Expect(h.Healthy).To(BeFalse())
	})

	It("hold and switch change the snapshots, also back and to another partition map", func() {
		held := func(id model.TargetID) []model.SnapshotID {
			var h targetproto.Health
			f.get(f.target(id).Address, targetproto.HealthPath, &h)
			return h.Snapshots
		}
		f.apply(`{"fault": "hold", "snapshot": "s2"}`)
		Expect(held(first)).To(Equal([]model.SnapshotID{"s1", "s2"}))
		f.apply(`{"fault": "switch", "snapshot": "s3"}`)
		Expect(held(first)).To(Equal([]model.SnapshotID{"s3"}))
		Expect(held(third)).To(Equal([]model.SnapshotID{"s3"}))
		Expect(f.list().Snapshots[0].Leaves).To(HaveLen(3))
		f.apply(`{"fault": "switch", "snapshot": "s1"}`)
		Expect(held(first)).To(Equal([]model.SnapshotID{"s1"}))
		Expect(held(third)).To(BeEmpty())
	})

	It("spreads over its targets in time", func() {
		Expect(f.apply(`{"fault": "switch", "snapshot": "s2", "over": "50ms"}`)).To(Equal(18))
		Eventually(func() []model.Snapshot { return f.list().Snapshots }).Should(HaveLen(2))
		Eventually(func() []model.Snapshot { return f.list().Snapshots }).Should(HaveLen(1))
	})

	It("can be set while another one spreads", func() {
		f.apply(`{"fault": "leave", "over": "20ms"}`)
		left := func() int {
			f.apply(at("cold", first, ""))
			leaving := 0
			for _, t := range f.list().Targets {
				if t.Leaving {
					leaving++
				}
			}
			return leaving
		}
		Eventually(left).WithPolling(time.Microsecond).Should(Equal(18))
	})

	It("unlist and list change the platform's list", func() {
		f.apply(at("unlist", first, ""))
		Expect(f.list().Targets).To(HaveLen(17))
		f.apply(at("list", first, ""))
		Expect(f.list().Targets).To(HaveLen(18))
	})

	It("stops spreading at a reset", func() {
		f.apply(`{"fault": "unlist", "over": "100ms"}`)
		Expect(f.Reset()).To(Succeed())
		listed := func() int { return len(f.list().Targets) }
		Consistently(listed, 150*time.Millisecond).Should(Equal(18))
	})

	It("is undone by a reset", func() {
		f.apply(at("crash", first, ""))
		f.apply(at("unlist", second, ""))
		f.apply(`{"fault": "switch", "snapshot": "s2"}`)
		f.apply(`{"fault": "fail", "status": 500}`)
		Expect(f.Reset()).To(Succeed())
		Expect(f.ask(first).status).To(Equal(200))
		Expect(f.ask(second).status).To(Equal(200))
	})
})

// lateness is long beside any delay that a busy machine adds.
const (
	lateness     = 300 * time.Millisecond
	testDeadline = 10 * time.Millisecond
	// longDeadline does not pass on a busy machine, where a target would answer
	// that the deadline is over in place of the damaged reply.
	longDeadline = 5 * time.Second
)

var _ = Describe("A damaged reply", func() {
	var f *fixture

	BeforeEach(func() { f = start(testSettings()) })

	damage := func(kind standin.ReplyFault) {
		_, err := f.Apply(standin.Fault{Kind: standin.KindReply, Reply: kind, Delay: settings.Duration(lateness)})
		Expect(err).NotTo(HaveOccurred())
	}
	askWithin := func(deadline time.Duration, request string) (reply, error) {
		return f.send(context.Background(), f.target(first), call{request: request, snapshot: "s1", query: request, deadline: deadline})
	}
	ask := func(request string) (reply, error) { return askWithin(longDeadline, request) }

	It("comes after the deadline", func() {
		damage(standin.ReplyLate)
		begin := time.Now()
		r, err := askWithin(testDeadline, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(time.Since(begin)).To(And(
			BeNumerically(">=", testDeadline+lateness),
			BeNumerically("<", testDeadline+2*lateness),
		))
	})

	It("belongs to another request", func() {
		f.ask(first)
		damage(standin.ReplySwap)
		r, err := ask("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.query.Request).NotTo(BeEquivalentTo("a"))
		Expect(r.query.Hits[0].Title).To(Equal("bread"))
	})

	It("is cut off", func() {
		damage(standin.ReplyTruncate)
		_, err := ask("a")
		Expect(err).To(HaveOccurred())
	})

	It("states a wrong length", func() {
		damage(standin.ReplyWrongLength)
		_, err := ask("a")
		Expect(err).To(HaveOccurred())
	})

	It("comes twice", func() {
		damage(standin.ReplyDuplicate)
		for _, request := range []string{"a", "b"} {
			r, err := ask(request)
			if err == nil {
				Expect(r.status).To(Equal(http.StatusOK))
			}
		}
		Expect(f.statsOf(first).DamagedReplies).To(BeNumerically(">=", 1))
	})

	It("comes from another snapshot", func() {
		f.apply(`{"fault": "hold", "snapshot": "s2"}`)
		damage(standin.ReplyOtherSnapshot)
		r, err := ask("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.query.Snapshot).To(BeEquivalentTo("s2"))
	})
})

var _ = DescribeTable("Settings are refused with",
	func(spoil func(*standin.Settings), message string) {
		s := testSettings()
		spoil(s)
		Expect(s.Check()).To(MatchError(ContainSubstring(message)))
	},
	Entry("an address elsewhere", func(s *standin.Settings) { s.Control = netip.MustParseAddrPort("192.0.2.1:80") }, "192.0.2.1:80 is not a loopback address"),
	Entry("no slots", func(s *standin.Settings) { s.Collections[0].Slots = 0 }, "slots: must be above 0"),
	Entry("too many targets", func(s *standin.Settings) { s.FirstPort = 65530 }, "do not fit"),
	Entry("a wrong step", func(s *standin.Settings) { s.Schedule = []standin.ScheduledFault{{}} }, "is not known"),
)

var _ = It("the settings in the repository are valid", func() {
	for _, pattern := range []string{"../../config/demo/standin.jsonc", "../../config/experiments/standin*.jsonc"} {
		files, err := filepath.Glob(pattern)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := standin.Load(file)
			Expect(err).NotTo(HaveOccurred())
		}
	}
})

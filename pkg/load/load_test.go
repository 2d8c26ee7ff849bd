package load_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/load"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/standin"
)

const anyPort = "127.0.0.1:0"

func startStandin() *standin.Standin {
	s := &standin.Settings{
		Platform: netip.MustParseAddrPort(anyPort),
		Control:  netip.MustParseAddrPort(anyPort),
		Collections: []standin.Collection{{
			ID:                  "shopfront",
			AvailabilityZones:   []model.AvailabilityZoneID{"split-a", "zadar-b"},
			Services:            2,
			Leaves:              2,
			Slots:               1,
			Versions:            []model.VersionID{"41"},
			Snapshots:           []standin.Snapshot{{ID: "s1"}, {ID: "s2"}},
			MinDocumentsPerLeaf: 10,
			Connections:         200,
			ServiceTime:         standin.Distribution{Median: settings.Duration(time.Millisecond)},
			Cold:                standin.Cold{MaxLoad: 1, Requests: 10},
		}},
	}
	Expect(s.Check()).To(Succeed())
	running, err := standin.New(s)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- running.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	return running
}

func experimentFor(s *standin.Standin, d defect) *load.Experiment {
	address, stop := startSimpleEntry(s.PlatformAddress(), d)
	DeferCleanup(stop)
	return &load.Experiment{
		Name:    "test",
		Standin: s.ControlAddress(),
		Load: load.Load{
			Collection:  "shopfront",
			Rate:        300,
			Duration:    settings.Duration(300 * time.Millisecond),
			MaxRequests: 200,
			MaxInFlight: 200,
			Seed:        7,
			Timeout:     settings.Duration(2 * time.Second),
			Limit:       8,
			Orders: load.OrderLoad{
				Share: 0.3, Services: 2, Leaves: 1,
				DuplicateShare: 0.5, DuplicateAfter: settings.Duration(50 * time.Millisecond),
			},
		},
		Variants: []load.Variant{{Name: "simple", Entries: []netip.AddrPort{address}}},
	}
}

// delayFirst starts a proxy that delays the first request to a path, and returns its address.
func delayFirst(to netip.AddrPort, path string, delay time.Duration) netip.AddrPort {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to.String()})
	var first sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == path {
			first.Do(func() { time.Sleep(delay) })
		}
		proxy.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func run(e *load.Experiment) *load.Report {
	Expect(e.Check()).To(Succeed())
	report, err := load.Run(context.Background(), e)
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = Describe("A load", func() {
	It("measures a correct entry and finds no violation", func() {
		e := experimentFor(startStandin(), noDefect)
		report := run(e)
		v := report.Variants[0]
		Expect(v.Examples).To(BeEmpty())
		Expect(report.HasViolations()).To(BeFalse())
		Expect(v.Queries.Count + v.Orders.Count).To(BeEquivalentTo(v.Sent))
		Expect(v.Coverage.FullShare).To(BeNumerically("~", 1, 1e-9))
		Expect(v.OrderRuns.Runs).To(Equal(v.OrderRuns.Keys))
		Expect(v.OrderRuns.Repeated).To(BeNumerically(">", 0))
		Expect(v.Targets.Requests).To(BeEquivalentTo(4*int(v.Queries.Count) + v.OrderRuns.Keys))
	})

	It("sends the same requests for the same seed", func() {
		s := startStandin()
		e := experimentFor(s, noDefect)
		first, second := run(e), run(e)
		Expect(second.Variants[0].Sent).To(Equal(first.Variants[0].Sent))
		Expect(second.Variants[0].OrderRuns.Keys).To(Equal(first.Variants[0].OrderRuns.Keys))
	})

	It("keeps sending at the intended times while answers are late", func() {
		e := experimentFor(startStandin(), noDefect)
		e.Load.Orders.Share = 0
		e.Faults = []standin.ScheduledFault{{Fault: standin.Fault{Kind: standin.KindFreeze}}}
		e.Load.Timeout = settings.Duration(400 * time.Millisecond)
		v := run(e).Variants[0]
		Expect(v.Targets.MaxInFlight).To(BeNumerically(">", int64(v.Sent/2)))
		Expect(v.Queries.Max).To(BeNumerically(">=", 400))
	})

	It("stops at the maximum number of requests", func() {
		e := experimentFor(startStandin(), noDefect)
		e.Load.MaxRequests = 10
		Expect(run(e).Variants[0].Sent).To(BeNumerically("<=", 10))
	})

	It("clears faults between variants", func() {
		e := experimentFor(startStandin(), noDefect)
		e.Load.Orders.Share = 0
		e.Faults = []standin.ScheduledFault{{Fault: standin.Fault{Kind: standin.KindFail, Status: 500, Targets: []string{"*svc-01*"}}}}
		withoutFaults := e.Variants[0]
		withoutFaults.Name, withoutFaults.WithoutFaults = "calm", true
		e.Variants = append(e.Variants, withoutFaults)
		report := run(e)
		Expect(report.HasViolations()).To(BeFalse())
		Expect(report.Variants[0].Coverage.Min).To(BeNumerically("<", 0.6))
		Expect(report.Variants[0].FullGoodput).To(BeNumerically("<", report.Variants[0].WeightedGoodput))
		Expect(report.Variants[0].WeightedGoodput).To(BeNumerically("<", report.Variants[0].Goodput))
		Expect(report.Variants[1].Coverage.FullShare).To(BeNumerically("~", 1, 1e-9))
	})

	It("runs variants side by side, each against its own stand-in", func() {
		e := experimentFor(startStandin(), noDefect)
		other := experimentFor(startStandin(), noDefect)
		other.Variants[0].Name = "other"
		other.Variants[0].Standin = other.Standin
		e.SideBySide = true
		e.Variants = append(e.Variants, other.Variants...)
		report := run(e)
		Expect(report.HasViolations()).To(BeFalse())
		Expect(report.Variants[1].Sent).To(Equal(report.Variants[0].Sent))
		Expect(report.Variants[1].Targets.Requests).To(Equal(report.Variants[0].Targets.Requests))
	})

	It("counts every request at the targets even if the first sample of the stand-in is late", func() {
		s := startStandin()
		e := experimentFor(s, noDefect)
		baseline := run(e).Variants[0]
		e.Variants[0].Standin = delayFirst(s.ControlAddress(), standin.StatsPath, 100*time.Millisecond)
		Expect(run(e).Variants[0].Targets.Requests).To(Equal(baseline.Targets.Requests))
	})

	It("refuses variants side by side against one stand-in", func() {
		e := experimentFor(startStandin(), noDefect)
		e.SideBySide = true
		e.Variants = append(e.Variants, e.Variants[0])
		Expect(e.Check()).To(MatchError(ContainSubstring("variants[1].standin: with sideBySide each variant needs its own stand-in")))
	})

	It("sends no new requests to an entry that is not ready", func() {
		e := experimentFor(startStandin(), noDefect)
		notReady := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(notReady.Close)
		e.Variants[0].Entries = append(e.Variants[0].Entries, netip.MustParseAddrPort(notReady.Listener.Addr().String()))
		e.Load.ReadyPollInterval = settings.Duration(20 * time.Millisecond)
		e.Load.UnmeasuredTime = settings.Duration(400 * time.Millisecond)
		e.Load.Duration = settings.Duration(700 * time.Millisecond)
		v := run(e).Variants[0]
		Expect(v.Outcomes).NotTo(BeEmpty())
		for _, o := range v.Outcomes {
			Expect(o.Code).To(Equal(load.CodeOK))
		}
	})

	It("does not count requests that their callers cancel as failures", func() {
		e := experimentFor(startStandin(), noDefect)
		e.Load.Orders.Share = 0
		e.Load.HangUpShare, e.Load.HangUpAfter = 0.5, settings.Duration(20*time.Millisecond)
		// Every query takes longer than HangUpAfter, so that each planned cancellation happens.
		e.Faults = []standin.ScheduledFault{{Fault: standin.Fault{Kind: standin.KindSlow, Delay: settings.Duration(60 * time.Millisecond)}}}
		v := run(e).Variants[0]
		Expect(v.Outcomes).To(ContainElement(HaveField("Code", load.CodeHungUp)))
		Expect(v.Failures.Count).To(BeZero())
		Expect(v.DegradedUntilSecond).To(BeZero())
	})

	It("reports how long removed targets got new requests and how long callers saw failures or partial answers", func() {
		e := experimentFor(startStandin(), noDefect)
		e.Load.Orders.Share = 0
		e.Faults = []standin.ScheduledFault{{At: settings.Duration(50 * time.Millisecond), Fault: standin.Fault{Kind: standin.KindDrain, Targets: []string{"*svc-01/leaf-1*"}}}}
		v := run(e).Variants[0]
		Expect(v.Removals).To(HaveLen(1))
		Expect(v.Removals[0].Targets).To(Equal(1))
		Expect(v.Removals[0].LongestMs).To(And(BeNumerically(">", 100), BeNumerically("<", 2000)))
		Expect(v.DegradedUntilSecond).To(Equal(1))
		Expect(v.Targets.Draining).To(BeNumerically(">", 0))
	})

	It("writes the plot as SVG and PNG", func() {
		e := experimentFor(startStandin(), noDefect)
		report := run(e)
		for _, name := range []string{"plot.svg", "plot.png"} {
			file := filepath.Join(GinkgoT().TempDir(), name)
			Expect(report.WritePlot(file)).To(Succeed())
			info, err := os.Stat(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Size()).To(BeNumerically(">", 1000))
		}
		Expect(report.WritePlot("plot.gif")).To(MatchError(ContainSubstring("extension")))
	})
})

var _ = DescribeTable("The checker finds",
	func(d defect, fault standin.FaultKind, kind load.ViolationKind) {
		e := experimentFor(startStandin(), d)
		if fault != "" {
			e.Faults = []standin.ScheduledFault{{Fault: standin.Fault{Kind: fault, Status: 500, Targets: []string{"*svc-01*"}}}}
		}
		report := run(e)
		Expect(report.Variants[0].Violations).To(HaveKey(kind), fmt.Sprint(report.Variants[0].Examples))
	},
	Entry("a missing leaf that is not listed as missing", hideMissing, standin.KindFail, load.WrongHits),
	Entry("a lost hit", dropHits, standin.FaultKind(""), load.WrongHits),
	Entry("an answer to another query", answerOtherQuery, standin.FaultKind(""), load.OtherRequest),
	Entry("a hit from another snapshot", otherSnapshotHit, standin.FaultKind(""), load.MixedAnswer),
	Entry("an order that ran twice", runOrderTwice, standin.FaultKind(""), load.MultipleRuns),
	Entry("an order that ran although the answer says not-run", answerNotRunAfterOrder, standin.FaultKind(""), load.FalseNotRun),
	Entry("an answer under a request ID that no target knows", changeRequestID, standin.FaultKind(""), load.UnseenRequest),
	Entry("a query that ran although the answer says not-run", answerNotRunAfterQuery, standin.FaultKind(""), load.FalseNotRun),
)

var _ = DescribeTable("An experiment is refused with",
	func(text, message string) {
		_, err := load.Parse([]byte(text))
		Expect(err).To(MatchError(load.ErrInvalidExperiment))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
	Entry("an unknown field", `{"nam": "x"}`, "unknown field"),
	Entry("no limit on the duration", `{"load": {"rate": 1}}`, "load.duration: must be above 0"),
	Entry("no limit on the number of requests", `{"load": {"rate": 1}}`, "load.maxRequests: must be above 0"),
	Entry("an address that is not loopback", `{"variants": [{"name": "a", "entries": ["192.0.2.1:80"]}]}`, "192.0.2.1:80 is not a loopback address"),
	Entry("an unknown fault", `{"faults": [{"set": {"fault": "storm"}}]}`, `fault "storm" is not known`),
)

var _ = It("the experiments in the repository are valid", func() {
	files, err := filepath.Glob("../../experiments/*.jsonc")
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		_, err := load.Read(file)
		Expect(err).NotTo(HaveOccurred())
	}
})

package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
)

// fleetRun plays a fleet in which every instance takes all extra requests that
// it may, for one service, and returns the arrivals.
type fleetRun struct {
	bound     retry.Bound
	instances int
	// perSecond is the rate of first requests of the whole fleet.
	perSecond float64
	// lost is when the leader is lost, and back when another one serves.
	lost, back time.Duration
	// quiet is the time from which hedges are wanted.
	quiet time.Duration
}

const (
	step  = 50 * time.Millisecond
	renew = 400 * time.Millisecond
)

func (f fleetRun) play(length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(7, uint64(f.instances)))
	budgets := make([]retry.Budget, f.instances)
	usage := make([]retry.Usage, f.instances)
	allowances := make([]*retry.Allowance, f.instances)
	heard := make([]time.Duration, f.instances)
	ledger := retry.NewLedger(f.bound, -time.Minute)
	told := make([]*retry.Ledger, f.instances)
	for i := range told {
		told[i] = ledger
	}
	var arrivals []arrival
	for now := time.Duration(0); now < length; now += step {
		if now >= f.back && now-step < f.back {
			ledger = retry.NewLedger(f.bound, now)
		}
		leads := now < f.lost || now >= f.back
		for i := range budgets {
			if rng.Float64() < f.perSecond*step.Seconds()/float64(f.instances) {
				budgets[i].Note(now, f.bound)
				usage[i].First++
				arrivals = append(arrivals, arrival{at: now})
			}
			allowance := allowances[i]
			if now-heard[i] > 1500*time.Millisecond {
				allowance = nil
			}
			for now >= f.quiet && budgets[i].TakeShared(now, retry.Member{Fleet: f.bound, Instances: f.instances, Ordinal: uint64(i)}, "s", allowance, 0) {
				usage[i].Extra++
				arrivals = append(arrivals, arrival{at: now, extra: true})
			}
			if leads && (now+time.Duration(i)*time.Millisecond)%renew < step {
				usage[i].Service = "s"
				if told[i] != ledger {
					usage[i].First, usage[i].Extra = budgets[i].Window(now, f.bound)
					told[i] = ledger
				}
				ledger.Note(now, usage[i:i+1])
				usage[i] = retry.Usage{}
				allowances[i], heard[i] = ledger.Allowance(now), now
			}
		}
	}
	return arrivals
}

var _ = Describe("Ledger", func() {
	never := time.Hour
	small := retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}
	large := retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 196}

	DescribeTable("keeps a fleet that wants all it can get within the bound", func(f fleetRun) {
		arrivals := f.play(40 * time.Second)
		at, bad := exceeded(arrivals, f.bound)
		Expect(bad).To(BeFalse(), "window from %s", at)
	},
		Entry("6 instances", fleetRun{bound: small, instances: 6, perSecond: 90, lost: never, back: never}),
		Entry("6 instances, from a quiet fleet", fleetRun{bound: small, instances: 6, perSecond: 90, lost: never, back: never, quiet: 15 * time.Second}),
		Entry("78 instances, from a quiet fleet", fleetRun{bound: large, instances: 78, perSecond: 45, lost: never, back: never, quiet: 15 * time.Second}),
		Entry("300 instances, from a quiet fleet", fleetRun{bound: large, instances: 300, perSecond: 45, lost: never, back: never, quiet: 15 * time.Second}),
		Entry("78 instances, the leader is lost as hedging begins", fleetRun{bound: large, instances: 78, perSecond: 45, lost: 15500 * time.Millisecond, back: 17 * time.Second, quiet: 15 * time.Second}),
		Entry("6 instances, the leader is lost as hedging begins", fleetRun{bound: small, instances: 6, perSecond: 90, lost: 15500 * time.Millisecond, back: 17 * time.Second, quiet: 15 * time.Second}),
		Entry("78 instances without a leader for long", fleetRun{bound: large, instances: 78, perSecond: 45, lost: 16 * time.Second, back: never, quiet: 15 * time.Second}),
	)

	// On the grown site one entry needed a fourth repeat to a shard for a query
	// while the other 77 needed none.
	It("lets one instance use more than its own share while the others need little", func() {
		ledger := retry.NewLedger(large, -time.Minute)
		b, alone := &retry.Budget{}, &retry.Budget{}
		free := ledger.Allowance(0)
		got, strict := 0, 0
		member := retry.Member{Fleet: large, Instances: 78, Ordinal: 3}
		for now := time.Duration(0); now < 10*time.Second; now += step {
			if b.TakeShared(now, member, "s", free, 0) {
				got++
			}
			if alone.TakeShared(now, member, "s", nil, 0) {
				strict++
			}
		}
		Expect(strict).To(BeNumerically("<=", 2))
		Expect(got).To(BeNumerically(">", 2*strict))
	})

	It("calls a service tight once much of its bound is used", func() {
		ledger := retry.NewLedger(large, -time.Minute)
		ledger.Note(0, []retry.Usage{{Service: "s", First: 100, Extra: 150}, {Service: "t", First: 100, Extra: 20}})
		Expect(ledger.Allowance(0).Tight).To(Equal([]model.ServiceID{"s"}))
	})

	It("uses most of the bound when all instances want extra requests for long", func() {
		f := fleetRun{bound: small, instances: 6, perSecond: 90, lost: never, back: never}
		arrivals := f.play(40 * time.Second)
		last := count(arrivals, 25*time.Second, 10*time.Second, true)
		Expect(last).To(BeNumerically(">", 0.55*(0.2*900+52)))
	})

	It("leaves nothing free until the instances have told a new leader what they used", func() {
		ledger := retry.NewLedger(large, 0)
		Expect(ledger.Allowance(time.Second).Free).To(BeFalse())
		Expect(ledger.Allowance(3 * time.Second).Free).To(BeTrue())
	})
})

package gather_test

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/gather"
)

func TestGather(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gather")
}

const ms = time.Millisecond

var plan = gather.Plan{ObjectiveEnd: 180 * ms, Deadline: 2000 * ms, UsualLatency: 20 * ms, Required: 3, MaxTargets: 2}

// sendAll sends the first request to each shard.
func sendAll(r *gather.Run, shards int) {
	Expect(r.Due(0)).To(HaveLen(shards))
	for i := range shards {
		r.RecordSent(i, 0)
	}
}

var _ = Describe("Run", func() {
	var r *gather.Run

	BeforeEach(func() {
		r = gather.New(plan, 4)
		sendAll(r, 4)
	})

	It("answers as soon as all parts have arrived", func() {
		for i := range 4 {
			Expect(r.Decide(30 * ms)).To(Equal(gather.Wait))
			Expect(r.RecordPart(i)).To(BeTrue())
		}
		Expect(r.Decide(30 * ms)).To(Equal(gather.Answer))
	})

	It("hedges only overdue requests, and uses at most MaxTargets targets", func() {
		r.RecordPart(0)
		Expect(r.Due(r.HedgeDelay() - ms)).To(BeEmpty())
		Expect(r.Due(r.HedgeDelay())).To(Equal([]int{1, 2, 3}))
		r.RecordSent(1, r.HedgeDelay())
		Expect(r.Due(r.HedgeDelay())).To(Equal([]int{2, 3}))
		Expect(r.Due(100 * r.HedgeDelay())).NotTo(ContainElement(1))
	})

	// Guards against hedges that go out too late to be answered within the objective, and
	// against those that only use up the retry budget.
	Describe("whose shards have expected latencies", func() {
		expect := func(i int, current, next time.Duration) {
			r.Expect(i, gather.Expectation{Current: current, Next: next})
		}

		It("hedges in time for the objective while required parts are missing", func() {
			expect(0, 20*ms, 140*ms)
			Expect(r.Due(28 * ms)).To(ConsistOf(0))
			for _, i := range []int{1, 2, 3} {
				r.RecordPart(i)
			}
			Expect(r.Due(100 * ms)).To(BeEmpty())
		})

		It("does not hedge earlier if the hedge would be late anyway", func() {
			expect(0, 20*ms, 170*ms)
			Expect(r.Due(r.HedgeDelay() - ms)).To(BeEmpty())
			Expect(r.Due(r.HedgeDelay())).To(ContainElement(0))
		})

		It("waits for the latency that the load of the target explains", func() {
			expect(0, 50*ms, 20*ms)
			Expect(r.Due(r.HedgeDelay() + 29*ms)).NotTo(ContainElement(0))
			Expect(r.Due(r.HedgeDelay() + 30*ms)).To(ContainElement(0))
		})

		It("does not hedge where the request would queue for longer than the query lasts", func() {
			expect(0, 20*ms, plan.Deadline)
			Expect(r.Due(plan.Deadline - ms)).NotTo(ContainElement(0))
		})
	})

	It("answers with three of four parts at the end of the objective while a target is stalled", func() {
		for i := range 3 {
			r.RecordPart(i)
		}
		Expect(r.Decide(plan.ObjectiveEnd - ms)).To(Equal(gather.Wait))
		Expect(r.NextCheck(100 * ms)).To(BeNumerically("<=", plan.ObjectiveEnd))
		Expect(r.Decide(plan.ObjectiveEnd)).To(Equal(gather.Answer))
	})

	It("waits past the objective for the required parts, and times out at the deadline", func() {
		r.RecordPart(0)
		r.RecordPart(1)
		Expect(r.Decide(plan.ObjectiveEnd)).To(Equal(gather.Wait))
		Expect(r.Decide(plan.Deadline)).To(Equal(gather.TimedOut))
	})

	It("answers at once when the missing shards have no usable target", func() {
		for i := range 3 {
			r.RecordPart(i)
		}
		r.RecordFailure(3, 25*ms, false)
		r.RecordUnsent(3, 25*ms, false)
		Expect(r.Decide(25 * ms)).To(Equal(gather.Answer))
	})

	It("fails at once when the required parts cannot be reached", func() {
		r.RecordPart(0)
		r.RecordPart(1)
		for _, i := range []int{2, 3} {
			r.RecordFailure(i, 25*ms, false)
			r.RecordUnsent(i, 25*ms, false)
		}
		Expect(r.Decide(25 * ms)).To(Equal(gather.Unreachable))
	})

	It("retries a failed request at once", func() {
		r.RecordFailure(2, 5*ms, true)
		Expect(r.Due(5 * ms)).To(Equal([]int{2}))
	})

	// After a power loss targets reset new connections for a short time.
	It("spreads further retries, so that short periods of resets do not fail the query", func() {
		now := 5 * ms
		for range gather.MaxSends - 1 {
			r.RecordFailure(2, now, true)
			for !slices.Contains(r.Due(now), 2) {
				now += ms
			}
			Expect(r.Decide(now)).To(Equal(gather.Wait))
			r.RecordSent(2, now)
		}
		Expect(now).To(BeNumerically(">", 300*ms))
	})

	// After a power loss a shard had used its six requests, none of which was sent, and the
	// query failed while time remained.
	It("does not count requests for which there was no connection, and waits out a pause", func() {
		for range 2 * gather.MaxSends {
			r.RecordNoConnection(0)
			Expect(r.Due(ms)).To(ContainElement(0))
			r.RecordSent(0, ms)
		}
		r.RecordNoConnection(0)
		r.RecordUnsent(0, 2*ms, true)
		r.RecordWaiting(0, 40*ms)
		Expect(r.Due(39 * ms)).NotTo(ContainElement(0))
		Expect(r.Due(40 * ms)).To(ContainElement(0))
		Expect(r.Decide(40 * ms)).To(Equal(gather.Wait))
	})

	It("counts a part once if two requests return it", func() {
		r.RecordSent(0, r.HedgeDelay())
		Expect(r.RecordPart(0)).To(BeTrue())
		Expect(r.RecordPart(0)).To(BeFalse())
		Expect(r.Parts()).To(Equal(1))
	})
})

// record returns a record with the given rank.
func record(rank uint32) []byte {
	b := make([]byte, gather.RecordBytes)
	binary.BigEndian.PutUint32(b, rank)
	return b
}

var _ = Describe("Top", func() {
	It("keeps the greatest records of all parts, including duplicates", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ranks := rapid.SliceOf(rapid.Uint32Range(0, 50)).Draw(t, "ranks")
			limit := rapid.IntRange(1, 12).Draw(t, "limit")
			top := gather.NewTop(limit)
			var all [][]byte
			for _, n := range ranks {
				top.Add(record(n))
				all = append(all, record(n))
			}
			slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
			want := bytes.Join(all[:min(limit, len(all))], nil)
			if !bytes.Equal(top.Bytes(), want) {
				t.Fatalf("got %x, want %x", top.Bytes(), want)
			}
		})
	})

	It("ignores a trailing remainder shorter than a record", func() {
		top := gather.NewTop(3)
		top.Add(append(record(7), 1, 2, 3))
		Expect(top.Bytes()).To(Equal(record(7)))
	})
})

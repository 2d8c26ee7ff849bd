package state_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/usage"
)

var _ = Describe("duties", func() {
	const lease = 3 * time.Second
	var (
		s     *state.State
		index uint64
	)
	BeforeEach(func() { s, index = state.New(), 0 })

	apply := func(c *state.Command) *state.Result {
		index++
		return s.Apply(index, c)
	}
	acquire := func(at time.Duration, holder model.InstanceID, process string) *state.Result {
		return apply(&state.Command{Clock: at, AcquireDuty: &state.AcquireDuty{Name: duty.Usage, Holder: holder, Process: process, Lease: lease}})
	}
	decide := func(token uint64, w usage.Window, runs uint64) *state.Result {
		return apply(&state.Command{DecideUsage: &state.DecideUsage{Token: token, Window: w, Counts: []usage.Count{{Caller: "a", Runs: runs}}}})
	}
	accept := func(w usage.Window) {
		Expect(apply(&state.Command{AcceptUsage: &state.AcceptUsage{Window: w}}).Refusal).To(BeNil())
	}
	pending := func() (windows []usage.Window) {
		for _, w := range s.UsagePending() {
			windows = append(windows, w.Window)
		}
		return windows
	}
	refused := func(r *state.Result) {
		GinkgoHelper()
		Expect(r.Refusal).NotTo(BeNil())
		Expect(r.Refusal.Code).To(Equal(failure.Conflict))
	}

	It("have one holder at a time, with a token that only increases", func() {
		Expect(acquire(0, "a", "p").Duty.Token).To(BeEquivalentTo(1))
		refused(acquire(lease-1, "b", "q"))
		Expect(s.Duty(duty.Usage).Token).To(BeEquivalentTo(1))
		Expect(acquire(lease-1, "a", "p2").Duty.Token).To(BeEquivalentTo(3), "a new process of the holder")
		refused(acquire(2*lease-2, "b", "q"))
		Expect(acquire(2*lease-1, "b", "q").Duty).To(Equal(&duty.Record{Name: duty.Usage, Holder: "b", Process: "q", Token: 5, AcquiredAt: 2*lease - 1}))
		refused(acquire(2*lease, "a", "p2"))
	})

	It("decide a window once, in order, and only for the newest token", func() {
		acquire(0, "a", "p")
		Expect(decide(1, 1000, 5).Refusal).To(BeNil())
		refused(decide(1, 1000, 6))
		refused(decide(1, 999, 6))
		acquire(lease, "b", "q")
		refused(decide(1, 1001, 5))
		Expect(decide(s.Duty(duty.Usage).Token, 1001, 5).Refusal).To(BeNil())
		Expect(s.UsagePending()[0].Counts).To(Equal([]usage.Count{{Caller: "a", Runs: 5}}))
	})

	It("keep a window until it is accepted, and never decide it again", func() {
		acquire(0, "a", "p")
		for w := range usage.Window(3) {
			decide(1, 1000+w, 1)
		}
		accept(1001)
		accept(1001)
		accept(77)
		Expect(pending()).To(Equal([]usage.Window{1000, 1002}))
		refused(decide(1, 1001, 2))
		progress, known := s.UsageProgress()
		Expect(known).To(BeTrue())
		Expect(progress).To(Equal(state.UsageProgress{Decided: 1002, Accepted: []usage.Window{1001}}))
	})

	It("bound what is kept, and drop the oldest windows first", func() {
		acquire(0, "a", "p")
		for w := range usage.Window(usage.MaxWindows + 2) {
			decide(1, 1000+w, 1)
		}
		Expect(pending()).To(HaveLen(usage.MaxWindows))
		Expect(pending()[0]).To(BeEquivalentTo(1002))
		progress, _ := s.UsageProgress()
		Expect(progress.Dropped).To(BeEquivalentTo(2))
		refused(decide(1, 1001, 1))
		for w := range usage.Window(usage.MaxWindows) {
			accept(1002 + w)
		}
		progress, _ = s.UsageProgress()
		Expect(len(progress.Accepted)).To(BeNumerically("<", usage.MaxWindows))
	})

	// Guards against a member that has the state from a snapshot and disagrees.
	It("are part of a snapshot", func() {
		acquire(0, "a", "p")
		decide(1, 1000, 1)
		decide(1, 1001, 1)
		accept(1000)
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Duty(duty.Usage)).To(Equal(s.Duty(duty.Usage)))
		Expect(restored.UsagePending()).To(Equal(s.UsagePending()))
		refusedBy := restored.Apply(9, &state.Command{DecideUsage: &state.DecideUsage{Token: 1, Window: 1001}})
		Expect(refusedBy.Refusal).NotTo(BeNil())
		again, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(snapshot))
	})
})

package driver_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/move/driver"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/view"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Move driver")
}

var begin = time.Date(2026, 12, 5, 3, 0, 0, 0, time.UTC)

// group is the replicated state shared by all drivers of a test.
type group struct {
	state  move.State
	shares []float64
}

// member is one instance of the group.
type member struct {
	group   *group
	leading bool
	// failWith is the error returned by the next proposal; applied is whether that
	// proposal takes effect nevertheless.
	failWith error
	applied  bool
}

func (m *member) IsLeader() bool                 { return m.leading }
func (m *member) Subscribe(control.EvidenceSink) {}
func (m *member) LocalMoves() []move.State       { return []move.State{m.group.state} }

func (m *member) ProposeStep(_ context.Context, s move.Step) error {
	err := m.failWith
	m.failWith = nil
	if err != nil && !m.applied {
		return err
	}
	state := &m.group.state
	if s.Expect != state.Step || s.Revision != state.Revision {
		return failure.New(failure.Conflict, failure.NotRun, "step", "", "at step %d", state.Step)
	}
	state.Step++
	state.Phase, state.Share, state.SteppedAt, state.Evidence = s.Phase, s.Share, s.At, s.Evidence
	m.group.shares = append(m.group.shares, s.Share)
	return err
}

var _ = Describe("the driver", func() {
	var (
		g   *group
		now time.Duration
	)
	const (
		duration = 10 * time.Minute
		tick     = 500 * time.Millisecond
	)
	clock := func() move.DecisionTime { return move.DecisionTime{Wall: begin.Add(now), Monotonic: now} }
	newMember := func() (*member, *driver.Driver) {
		m := &member{group: g, leading: true}
		return m, driver.New(m, clock)
	}
	run := func(d *driver.Driver, until time.Duration, each func()) {
		for ; now < until; now += tick {
			each()
			d.Tick(context.Background())
		}
	}
	answers := func(v model.VersionID, ok, failed uint64) view.Evidence {
		return view.Evidence{Outcomes: []view.Outcome{{Collection: "ledger", Version: v, Route: "search", OK: ok, Failed: failed}}}
	}

	BeforeEach(func() {
		now = 0
		g = &group{state: move.State{
			Rule:     rules.Move{Collection: "ledger", From: "1", To: "2", By: begin.Add(duration)},
			Revision: 5, Phase: move.PhaseUnderWay, Started: begin, SteppedAt: begin,
		}}
	})

	It("steps a good version up and finishes before the deadline", func() {
		_, d := newMember()
		run(d, duration, func() {
			d.Evidence("entry-1", answers("1", 100, 0))
			d.Evidence("entry-1", answers("2", 10, 0))
		})
		Expect(g.shares).To(Equal([]float64{0.01, 0.05, 0.25, 0.5, 1, 1}))
		Expect(g.state.Phase).To(Equal(move.PhaseDone))
	})

	It("starts at the first share of the rule", func() {
		g.state.Rule.FirstShare = 0.002
		_, d := newMember()
		run(d, time.Second, func() {})
		Expect(g.state.Share).To(Equal(0.002))
	})

	It("continues from the replicated step after a leader change at each step", func() {
		old, d := newMember()
		for range 5 {
			steps := g.state.Step
			for g.state.Step == steps {
				run(d, now+tick, func() {})
			}
			old.leading = false
			run(d, now+3*time.Second, func() {})
			old, d = newMember()
		}
		run(d, duration, func() {})
		Expect(g.shares).To(Equal([]float64{0.01, 0.05, 0.25, 0.5, 1, 1}))
		Expect(g.state.Phase).To(Equal(move.PhaseDone))
	})

	It("catches up after a long time without a leader", func() {
		_, d := newMember()
		run(d, time.Second, func() {})
		now = duration * 8 / 10
		_, d = newMember()
		run(d, duration, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseDone))
	})

	It("does not skip through the steps when the wall clock jumps ahead", func() {
		_, d := newMember()
		run(d, 2*time.Second, func() {})
		jumped := driver.New(&member{group: g, leading: true}, func() move.DecisionTime {
			return move.DecisionTime{Wall: begin.Add(now + time.Hour), Monotonic: now}
		})
		run(jumped, now+9*time.Second, func() {})
		Expect(g.state.Share).To(Equal(0.05))
	})

	It("proposes nothing while it is not the leader", func() {
		m, d := newMember()
		m.leading = false
		run(d, time.Minute, func() {})
		Expect(g.shares).To(BeEmpty())
	})

	It("rolls a failing version back and does not retry", func() {
		_, d := newMember()
		run(d, time.Minute, func() {
			d.Evidence("entry-1", answers("1", 100, 0))
			d.Evidence("entry-1", answers("2", 0, 2))
		})
		Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
		Expect(g.state.SteppedAt).To(BeTemporally("<", begin.Add(8*time.Second)))
		Expect(g.shares).To(Equal([]float64{0.01, 0}))
	})

	It("does not roll back a version that fails at the rate of the old one", func() {
		_, d := newMember()
		run(d, duration, func() {
			d.Evidence("entry-1", answers("1", 50, 50))
			d.Evidence("entry-1", answers("2", 5, 5))
		})
		Expect(g.state.Phase).To(Equal(move.PhaseDone))
	})

	It("rolls back when enough entries have stopped the version locally", func() {
		_, d := newMember()
		stop := view.Evidence{VersionStops: []view.VersionStop{{Collection: "ledger", Version: "2", Reason: "6 failures in a row"}}}
		run(d, 2*time.Second, func() {
			for _, entry := range []model.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
				d.Evidence(entry, answers("1", 10, 0))
			}
		})
		d.Evidence("a", stop)
		d.Evidence("b", stop)
		run(d, now+time.Second, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseUnderWay), "two of nine entries are too few")
		d.Evidence("c", stop)
		run(d, now+time.Second, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
	})

	It("waits for other entries to report before the stop of one entry decides", func() {
		_, d := newMember()
		stop := view.Evidence{VersionStops: []view.VersionStop{{Collection: "ledger", Version: "2", Reason: "6 failures in a row"}}}
		run(d, now+time.Second/2, func() {})
		d.Evidence("a", stop)
		run(d, now+time.Second/2, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseUnderWay), "no other entry has reported yet")
		run(d, now+2*time.Second, func() {
			for _, entry := range []model.InstanceID{"a", "b", "c"} {
				d.Evidence(entry, answers("1", 10, 0))
			}
		})
		Expect(g.state.Phase).To(Equal(move.PhaseUnderWay), "one of three entries is too few")
	})

	It("rolls back on the stop of the only entry", func() {
		_, d := newMember()
		run(d, now+time.Second/2, func() {})
		d.Evidence("a", view.Evidence{VersionStops: []view.VersionStop{{Collection: "ledger", Version: "2", Reason: "6 failures in a row"}}})
		run(d, now+3*time.Second, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
		Expect(g.state.Evidence).To(ContainSubstring("1 of 1 entries"))
	})

	DescribeTable("steps once when the reply to a proposal is lost",
		func(applied bool) {
			m, d := newMember()
			m.failWith, m.applied = errors.New("reply lost"), applied
			run(d, 4*time.Second, func() {})
			Expect(g.shares).To(Equal([]float64{0.01}))
		},
		Entry("and the proposal was applied", true),
		Entry("and the proposal was not applied", false),
	)

	Context("with a directly requested move of 12 s", func() {
		const short = 12 * time.Second
		// simulate returns the fraction of all requests that the new version received
		// while the move was under way, at 90 requests per second.
		simulate := func(failing float64) (exposed float64) {
			g.state.Rule.By, g.state.Requested = begin.Add(short), true
			_, d := newMember()
			perTick := 90 * tick.Seconds()
			all, remainder := 0.0, 0.0
			run(d, short+time.Second, func() {
				// An entry reports the outcomes of the previous tick.
				sentToNew := perTick * g.state.Share
				if g.state.Phase == move.PhaseUnderWay {
					exposed += sentToNew
				}
				all += perTick
				fails := remainder + sentToNew*failing
				failed := float64(int(fails))
				remainder = fails - failed
				d.Evidence("entry-1", answers("1", uint64(perTick-sentToNew), 0))
				d.Evidence("entry-1", answers("2", uint64(max(0, sentToNew-failed)), uint64(failed)))
			})
			return exposed / all
		}

		It("finishes in time, with less than a tenth of requests on the new version until then", func() {
			Expect(simulate(0)).To(BeNumerically("<", 0.1))
			Expect(g.state.Phase).To(Equal(move.PhaseDone))
			Expect(g.state.Share).To(Equal(1.0))
			Expect(g.state.SteppedAt).To(BeTemporally("<", begin.Add(short)))
		})

		It("rolls back a version that fails a third of its requests", func() {
			Expect(simulate(0.33)).To(BeNumerically("<", 0.1))
			Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
		})
	})
})

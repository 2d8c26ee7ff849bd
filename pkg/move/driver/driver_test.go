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
	RunSpecs(t, "Driver of moves")
}

var begin = time.Date(2026, 12, 5, 3, 0, 0, 0, time.UTC)

// group is the replicated state that all drivers of a test share.
type group struct {
	state  move.State
	shares []float64
}

// member is one instance of the group.
type member struct {
	group   *group
	leading bool
	// failWith is returned by the next proposal; applied says whether it took effect.
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

	It("keeps to the first share of the rule", func() {
		g.state.Rule.FirstShare = 0.002
		_, d := newMember()
		run(d, time.Second, func() {})
		Expect(g.state.Share).To(Equal(0.002))
	})

	It("goes on where the leader before was, at every step", func() {
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

	It("does not rush through the steps when the wall clock jumps", func() {
		_, d := newMember()
		run(d, 2*time.Second, func() {})
		jumped := driver.New(&member{group: g, leading: true}, func() move.DecisionTime {
			return move.DecisionTime{Wall: begin.Add(now + time.Hour), Monotonic: now}
		})
		run(jumped, now+9*time.Second, func() {})
		Expect(g.state.Share).To(Equal(0.05))
	})

	It("proposes nothing where it does not lead", func() {
		m, d := newMember()
		m.leading = false
		run(d, time.Minute, func() {})
		Expect(g.shares).To(BeEmpty())
	})

	It("takes a failing version back, for good", func() {
		_, d := newMember()
		run(d, time.Minute, func() {
			d.Evidence("entry-1", answers("1", 100, 0))
			d.Evidence("entry-1", answers("2", 0, 2))
		})
		Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
		Expect(g.state.SteppedAt).To(BeTemporally("<", begin.Add(8*time.Second)))
		Expect(g.shares).To(Equal([]float64{0.01, 0}))
	})

	It("leaves a version alone that fails as the old one does", func() {
		_, d := newMember()
		run(d, duration, func() {
			d.Evidence("entry-1", answers("1", 50, 50))
			d.Evidence("entry-1", answers("2", 5, 5))
		})
		Expect(g.state.Phase).To(Equal(move.PhaseDone))
	})

	It("takes back when enough entries stopped by themselves", func() {
		_, d := newMember()
		stop := view.Evidence{Stop: []view.VersionStop{{Collection: "ledger", Version: "2", Reason: "6 failures in a row"}}}
		run(d, 2*time.Second, func() {
			for _, entry := range []model.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
				d.Evidence(entry, answers("1", 10, 0))
			}
		})
		d.Evidence("a", stop)
		d.Evidence("b", stop)
		run(d, now+time.Second, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseUnderWay), "two of nine are too few")
		d.Evidence("c", stop)
		run(d, now+time.Second, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
	})

	It("waits for the others to report before one entry's stop decides", func() {
		_, d := newMember()
		stop := view.Evidence{Stop: []view.VersionStop{{Collection: "ledger", Version: "2", Reason: "6 failures in a row"}}}
		run(d, now+time.Second/2, func() {})
		d.Evidence("a", stop)
		run(d, now+time.Second/2, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseUnderWay), "nobody has reported yet")
		run(d, now+2*time.Second, func() {
			for _, entry := range []model.InstanceID{"a", "b", "c"} {
				d.Evidence(entry, answers("1", 10, 0))
			}
		})
		Expect(g.state.Phase).To(Equal(move.PhaseUnderWay), "one of three is too few")
	})

	It("lets the only entry's stop decide", func() {
		_, d := newMember()
		run(d, now+time.Second/2, func() {})
		d.Evidence("a", view.Evidence{Stop: []view.VersionStop{{Collection: "ledger", Version: "2", Reason: "6 failures in a row"}}})
		run(d, now+3*time.Second, func() {})
		Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
		Expect(g.state.Evidence).To(ContainSubstring("1 of 1 entries"))
	})

	DescribeTable("steps once although the answer to a proposal is lost",
		func(applied bool) {
			m, d := newMember()
			m.failWith, m.applied = errors.New("answer lost"), applied
			run(d, 4*time.Second, func() {})
			Expect(g.shares).To(Equal([]float64{0.01}))
		},
		Entry("and it was accepted", true),
		Entry("and it was not", false),
	)

	Context("with a move that was ordered by itself, over 12 s", func() {
		const short = 12 * time.Second
		// played has the part of all requests that the new version got, at 90 a second.
		play := func(failing float64) (exposed float64) {
			g.state.Rule.By, g.state.Ordered = begin.Add(short), true
			_, d := newMember()
			perTick := 90 * tick.Seconds()
			all, bad := 0.0, 0.0
			run(d, short+time.Second, func() {
				// An entry reports what it did in the tick before.
				moved := perTick * g.state.Share
				if g.state.Phase == move.PhaseUnderWay {
					exposed += moved
				}
				all += perTick
				fails := bad + moved*failing
				whole := float64(int(fails))
				bad = fails - whole
				d.Evidence("entry-1", answers("1", uint64(perTick-moved), 0))
				d.Evidence("entry-1", answers("2", uint64(max(0, moved-whole)), uint64(whole)))
			})
			return exposed / all
		}

		It("finishes in time, and the new version gets less than a tenth up to then", func() {
			Expect(play(0)).To(BeNumerically("<", 0.1))
			Expect(g.state.Phase).To(Equal(move.PhaseDone))
			Expect(g.state.Share).To(Equal(1.0))
			Expect(g.state.SteppedAt).To(BeTemporally("<", begin.Add(short)))
		})

		It("takes a version back of whose answers a third fails", func() {
			Expect(play(0.33)).To(BeNumerically("<", 0.1))
			Expect(g.state.Phase).To(Equal(move.PhaseRolledBack))
		})
	})
})

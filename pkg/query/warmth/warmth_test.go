package warmth_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/targetproto"
)

const usual = 10 * time.Millisecond

func answer(boot model.BootID, state targetproto.State, latency time.Duration) warmth.Answer {
	return warmth.Answer{Boot: boot, State: state, Latency: latency, Usual: usual}
}

func warmed() *warmth.State {
	var s warmth.State
	for range 8 {
		s.RecordAnswer(answer("b1", targetproto.StateWarm, usual))
	}
	Expect(s.Warm()).To(BeTrue())
	return &s
}

var _ = Describe("a target", func() {
	It("is cold until several consecutive answers state and show that it is warm", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var s warmth.State
			run := 0
			for range rapid.IntRange(1, 60).Draw(t, "answers") {
				a := answer("b1",
					rapid.SampledFrom([]targetproto.State{"", targetproto.StateCold, targetproto.StateWarm}).Draw(t, "state"),
					rapid.SampledFrom([]time.Duration{usual, 4 * usual, 20 * usual}).Draw(t, "latency"))
				before := s.Warm()
				s.RecordAnswer(a)
				run++
				if a.State != targetproto.StateWarm || a.Latency > 3*usual {
					run = 0
				}
				if !before && s.Warm() && run < 4 {
					t.Fatalf("warm after %d good answers", run)
				}
			}
		})
	})

	It("shows by speed alone that it sustains its load, without counting as warm", func() {
		var s warmth.State
		changes := make(map[warmth.Change]int)
		for range 40 {
			changes[s.RecordAnswer(answer("b1", "", usual))]++
		}
		Expect(changes[warmth.SustainedLoad]).To(Equal(2))
		Expect(s.Warm()).To(BeFalse())
	})

	It("is cold at once after a restart", func() {
		s := warmed()
		Expect(s.RecordAnswer(answer("b2", targetproto.StateWarm, usual))).To(Equal(warmth.TurnedCold))
		Expect(s.Warm()).To(BeFalse())
	})

	It("is cold at once when it states so", func() {
		s := warmed()
		Expect(s.RecordAnswer(answer("b1", targetproto.StateCold, usual))).To(Equal(warmth.TurnedCold))
	})

	It("is cold after slow answers without a restart", func() {
		s := warmed()
		var last warmth.Change
		for range 4 {
			last = s.RecordAnswer(answer("b1", "", 9*usual))
		}
		Expect(last).To(Equal(warmth.TurnedCold))
	})

	It("may have restarted after a lost connection, until the same incarnation answers", func() {
		s := warmed()
		Expect(s.RecordConnectionLoss()).To(Equal(warmth.MayHaveRestarted))
		Expect(s.Warm()).To(BeFalse())
		Expect(s.RecordConnectionLoss()).To(Equal(warmth.Unchanged))
		Expect(s.RecordAnswer(answer("b1", targetproto.StateWarm, usual))).To(Equal(warmth.NotRestarted))
		Expect(s.Warm()).To(BeTrue())
	})

	It("does not become warm by its health endpoint", func() {
		var s warmth.State
		s.RecordAnswer(answer("b1", "", usual))
		for range 100 {
			Expect(s.ApplyHealth("b1")).To(Equal(warmth.Unchanged))
		}
		Expect(s.Warm()).To(BeFalse())
		Expect(s.ApplyHealth("b2")).To(Equal(warmth.TurnedCold))
	})
})

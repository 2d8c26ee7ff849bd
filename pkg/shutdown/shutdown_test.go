package shutdown_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/shutdown"
)

func durations(from, to time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, "duration"))
	})
}

func TestEveryTakenRequestEndsWithinTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		grace := durations(time.Millisecond, time.Minute).Draw(t, "grace")
		s := shutdown.Plan(grace, durations(0, time.Minute).Draw(t, "balancerLag"))
		g.Expect(s.TakeUntil).To(BeNumerically("<", s.AnswerBy))
		g.Expect(s.AnswerBy).To(BeNumerically("<", s.CloseAt))
		g.Expect(s.CloseAt).To(BeNumerically("<", grace))
		since := durations(0, 2*grace).Draw(t, "since")
		r := shutdown.Request{
			Timeout:  durations(1, time.Minute).Draw(t, "timeout"),
			Expected: durations(0, time.Minute).Draw(t, "expected"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		}
		timeout, ok := s.Admit(since, r)
		if !ok {
			return
		}
		g.Expect(since).To(BeNumerically("<", s.TakeUntil))
		g.Expect(timeout).To(BeNumerically("<=", r.Timeout))
		g.Expect(since + timeout).To(BeNumerically("<=", s.AnswerBy))
	})
}

func TestAdmitLeavesTimeForTheExpectedDuration(t *testing.T) {
	s := shutdown.Plan(6*time.Second, 2500*time.Millisecond)
	for name, c := range map[string]struct {
		since   time.Duration
		request shutdown.Request
		timeout time.Duration
		ok      bool
	}{
		"early enough":                            {time.Second, shutdown.Request{Timeout: time.Second, Expected: time.Second}, time.Second, true},
		"repeatable, shortened":                   {2 * time.Second, shutdown.Request{Timeout: 8 * time.Second, Expected: 700 * time.Millisecond, Repeatable: true}, 3 * time.Second, true},
		"repeatable, too long":                    {2 * time.Second, shutdown.Request{Timeout: 8 * time.Second, Expected: 800 * time.Millisecond, Repeatable: true}, 3 * time.Second, false},
		"not repeatable, shortened":               {2 * time.Second, shutdown.Request{Timeout: 8 * time.Second, Expected: 300 * time.Millisecond}, 3 * time.Second, true},
		"not repeatable, too long":                {2 * time.Second, shutdown.Request{Timeout: 8 * time.Second, Expected: 400 * time.Millisecond}, 3 * time.Second, false},
		"after the last moment for requests":      {2500 * time.Millisecond, shutdown.Request{Timeout: time.Millisecond}, 0, false},
		"with an expected duration not yet known": {0, shutdown.Request{Timeout: 8 * time.Second}, 5 * time.Second, true},
	} {
		timeout, ok := s.Admit(c.since, c.request)
		g := NewWithT(t)
		g.Expect(ok).To(Equal(c.ok), name)
		g.Expect(timeout).To(Equal(c.timeout), name)
	}
}

func TestBeganIsOneGraceBeforeTheDeadline(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(4*time.Second))
	defer cancel()
	g.Expect(shutdown.Began(ctx, 6*time.Second, now)).To(Equal(now.Add(-2 * time.Second)))
	g.Expect(shutdown.Began(context.Background(), 6*time.Second, now)).To(Equal(now))
}

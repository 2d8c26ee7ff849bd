package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against instances that open further connections to a target that has just reset
// one: after a power loss 9,778 connections were reset within 3.5 s.
func TestLimiterOpensOneConnectionAfterEachPause(t *testing.T) {
	g, random := NewWithT(t), rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var l openLimiter
		var resetAt []time.Time
		now := time.Time{}
		for i := 0; now.Before(time.Time{}.Add(10 * time.Second)); i++ {
			now = now.Add(time.Duration(random.IntN(20)+1) * time.Millisecond)
			if !l.allows(now) {
				continue
			}
			l.begin()
			g.Expect(l.limited() && l.allows(now)).To(BeFalse(), "a second one while the first is opened")
			if len(resetAt) > 0 {
				g.Expect(now.Sub(resetAt[len(resetAt)-1])).To(BeNumerically(">=", firstOpenPause/2))
			}
			now = now.Add(time.Duration(random.IntN(10)+1) * time.Millisecond)
			l.end()
			l.reset(now, random.Float64())
			resetAt = append(resetAt, now)
		}
		g.Expect(len(resetAt)).To(BeNumerically("<=", 20), "connections within 10 s")
		g.Expect(len(resetAt)).To(BeNumerically(">=", 5), "released connections must be found")
	}
}

func TestLimiterCountsResetsOfOnePauseOnce(t *testing.T) {
	g, l, now := NewWithT(t), openLimiter{}, time.Time{}
	for range 3 {
		l.begin()
	}
	for i := range 3 {
		l.end()
		g.Expect(l.reset(now.Add(time.Duration(i)*time.Millisecond), 0.5)).To(Equal(i == 0))
	}
	g.Expect(l.pauseLeft(now)).To(Equal(firstOpenPause))
	g.Expect(l.proven()).To(BeTrue())
	g.Expect(l.allows(now)).To(BeTrue())
}

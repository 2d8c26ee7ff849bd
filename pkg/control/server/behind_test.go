package server

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestAnInstanceThatRenewsWithoutTakingAChangeIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	l := make(lags)
	logged := 0
	for range 10 {
		version, log := l.observe("a", 5, 8)
		g.Expect(version).To(BeEquivalentTo(8))
		if log {
			logged++
		}
	}
	g.Expect(logged).To(Equal(1))
	l.observe("a", 8, 8)
	g.Expect(l).To(BeEmpty())
}

func TestAnInstanceThatFollowsManyChangesIsNotBehind(t *testing.T) {
	g := NewWithT(t)
	l := make(lags)
	for held := range uint64(20) {
		_, log := l.observe("a", held, held+1)
		g.Expect(log).To(BeFalse())
	}
}

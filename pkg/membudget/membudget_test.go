package membudget_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

func TestReservationsStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(1000)
	var workers sync.WaitGroup
	for range 50 {
		workers.Go(func() {
			r := b.Reserve()
			defer r.Release()
			for r.Grow(7) == nil {
				g.Expect(b.Used()).To(BeNumerically("<=", 1000+50*7))
			}
		})
	}
	workers.Wait()
	g.Expect(b.Used()).To(BeZero())
}

func TestReleasedReservationCannotGrow(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(10)
	r := b.Reserve()
	g.Expect(r.Grow(10)).To(Succeed())
	g.Expect(b.Reserve().Grow(1)).To(MatchError(membudget.ErrExhausted))
	r.Release()
	r.Release()
	g.Expect(b.Used()).To(BeZero())
	g.Expect(r.Grow(1)).To(MatchError(membudget.ErrExhausted))
	var unlimited *membudget.Budget
	g.Expect(unlimited.Reserve().Grow(1 << 40)).To(Succeed())
}

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
			var r membudget.Reservation
			defer r.Release()
			for r.Grow(b, 7) == nil {
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
	var r, other membudget.Reservation
	g.Expect(r.Grow(b, 10)).To(Succeed())
	g.Expect(other.Grow(b, 1)).To(MatchError(membudget.ErrExhausted))
	r.Release()
	r.Release()
	g.Expect(b.Used()).To(BeZero())
	g.Expect(r.Grow(b, 1)).To(MatchError(membudget.ErrExhausted))
	g.Expect(other.Grow(nil, 1<<40)).To(Succeed())
}

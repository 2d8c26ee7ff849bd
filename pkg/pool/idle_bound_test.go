package pool_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/pool"
)

// Guards against idle connections to targets that have no room for them after a restart
// of the whole fleet.
var _ = Describe("A bound on the idle connections of several pools", func() {
	ask := func(p *pool.Pool, id string) {
		GinkgoHelper()
		var results chan pool.Result
		Eventually(func() (ok bool) {
			_, results, ok = send(p, id)
			return ok
		}, "5s").Should(BeTrue())
		Expect(await(results).Err).NotTo(HaveOccurred())
		Eventually(p.Availability, "5s").Should(Equal(pool.Idle))
	}
	pools := func(n, limit int) ([]*pool.Pool, *pool.IdleBound) {
		bound := pool.NewIdleBound()
		bound.SetLimit(limit)
		var all []*pool.Pool
		for range n {
			p := newPool(start(func(int) exchangetest.Behaviour { return exchangetest.Behaviour{} }), 1)
			p.SetLimit(1, time.Minute)
			p.SetIdleBound(bound)
			all = append(all, p)
		}
		return all, bound
	}
	idle := func(all []*pool.Pool) (open []int) {
		for i, p := range all {
			if p.Connections() > 0 {
				open = append(open, i)
			}
		}
		return open
	}

	It("closes those that have been idle for longest", func() {
		all, _ := pools(4, 2)
		for i, p := range all {
			ask(p, fmt.Sprint(i))
		}
		Eventually(func() []int { return idle(all) }, "5s").Should(Equal([]int{2, 3}))
	})

	It("counts a connection that was used again as idle since then", func() {
		all, _ := pools(3, 2)
		ask(all[0], "a")
		ask(all[1], "b")
		ask(all[0], "c")
		ask(all[2], "d")
		Eventually(func() []int { return idle(all) }, "5s").Should(Equal([]int{0, 2}))
	})

	It("closes the surplus when it is lowered", func() {
		all, bound := pools(3, 3)
		for i, p := range all {
			ask(p, fmt.Sprint(i))
		}
		bound.SetLimit(1)
		Eventually(func() []int { return idle(all) }, "5s").Should(Equal([]int{2}))
	})
})

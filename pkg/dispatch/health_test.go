package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
)

var _ = Describe("health", func() {
	const ms = time.Millisecond

	// In a large fleet an instance sends each target one request every few seconds,
	// so a few results must suffice to detect a target that sheds 60% of its requests
	// for nine seconds.
	It("judges a target that gets few requests by few results", func() {
		infrequent, frequent := health{}, health{}
		for now := 2 * time.Second; now <= 4*time.Second; now += 2 * time.Second {
			infrequent.shed(now)
		}
		for now := 10 * time.Millisecond; now <= 20*time.Millisecond; now += 10 * time.Millisecond {
			frequent.shed(now)
		}
		Expect(infrequent.failureShare).To(BeNumerically(">", 0.6))
		Expect(frequent.failureShare).To(BeNumerically("<", 0.4))
	})

	It("raises the cost of a target as soon as a reply is overdue", func() {
		h := health{concurrency: 2}
		before := h.cost(0)
		h.begin(0, 10*ms)
		Expect(h.cost(100 * ms)).To(BeNumerically(">", 5*before))
		h.end(0)
		Expect(h.cost(100 * ms)).To(BeNumerically("~", before, 0.1))
	})

	// Guards against a target that sheds 45% of its requests being preferred to a
	// healthy, busier target of the same shard.
	It("prefers a busy target to one that sheds requests", func() {
		shedding, busy := health{concurrency: 2}, health{concurrency: 2}
		now := time.Duration(0)
		for i := range 40 {
			now += 10 * ms
			if i%2 == 0 {
				shedding.shed(now)
			} else {
				shedding.reached(now, 10*ms, 10*ms, false)
			}
			busy.reached(now, 14*ms, 10*ms, false)
		}
		busy.begin(now, 10*ms)
		busy.begin(now, 10*ms)
		busy.end(now)
		busy.end(now)
		Expect(shedding.cost(now + 70*ms)).To(BeNumerically(">", busy.cost(now+70*ms)))
	})

	It("forgets that a target was slow, so that it is tried again", func() {
		h := health{concurrency: 2}
		for i := range 20 {
			h.reached(time.Duration(i)*ms, 110*ms, 10*ms, false)
		}
		Expect(h.cost(20 * ms)).To(BeNumerically(">", 5))
		Expect(h.cost(30 * time.Second)).To(BeNumerically("<", 1.1))
	})

	It("pauses an unreachable target, for longer each time, and uses it again once it replies", func() {
		h := health{}
		h.connectFailed(0)
		Expect(h.unreachable(firstUnreachablePause - ms)).To(BeTrue())
		Expect(h.unreachable(firstUnreachablePause)).To(BeFalse())
		h.connectFailed(firstUnreachablePause)
		Expect(h.unreachable(2 * firstUnreachablePause)).To(BeTrue())
		h.reached(3*firstUnreachablePause, 10*ms, 10*ms, false)
		Expect(h.unreachable(3 * firstUnreachablePause)).To(BeFalse())
	})

	// Guards against a pause, which a target reports by its pace not to be slow work, being
	// held against it for seconds; and against any change for targets without a pace.
	It("prices a target that reports a pace by pace and queue, and any other as before", func() {
		paced, plain, never := health{}, health{}, health{}
		now := 10 * time.Second
		for _, h := range []*health{&paced, &plain, &never} {
			pace := 0.0
			if h == &paced {
				pace = 1
			}
			if h != &never {
				h.loadReported(now, exchange.Load{Known: true, Running: 1, MaxRunning: 2, Pace: pace})
			}
			h.reached(now, 200*ms, 10*ms, false)
			h.concurrency = 2
		}
		Expect(plain.cost(now + time.Second)).To(Equal(never.cost(now + time.Second)))
		Expect(paced.cost(now + time.Second)).To(BeNumerically("<", 0.5*plain.cost(now+time.Second)))

		paced = health{}
		paced.loadReported(now, exchange.Load{Known: true, Running: 2, Waiting: 3, MaxRunning: 2, Pace: 2.5})
		Expect(paced.cost(now)).To(BeNumerically("~", 2.5*(1+3.0/2), 0.01))
	})
})

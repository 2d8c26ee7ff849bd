package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/query/queue"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

const ms = time.Millisecond

func started(t *queue.Ticket) bool { return decided(t) && !t.Refused }

func decided(t *queue.Ticket) bool {
	select {
	case <-t.Decided:
		return true
	default:
		return false
	}
}

var _ = Describe("Queue", func() {
	queryArrivingAt := func(arrived time.Duration) queue.Request {
		return queue.Request{Arrived: arrived, OnTimeStart: arrived + 100*ms, LatestStart: arrived + 2*time.Second}
	}

	It("starts queries at once while there is room, and the rest in order", func() {
		var q queue.Queue
		first, _ := q.Enqueue(0, 1, queryArrivingAt(0))
		second, _ := q.Enqueue(1*ms, 1, queryArrivingAt(1*ms))
		third, _ := q.Enqueue(2*ms, 1, queryArrivingAt(2*ms))
		Expect(started(first)).To(BeTrue())
		Expect(decided(second)).To(BeFalse())
		q.Release(first, 30*ms, 1)
		Expect(started(second)).To(BeTrue())
		Expect(decided(third)).To(BeFalse())
	})

	// Guards against refusals of requests that would probably be served before their
	// deadlines: they went by the mean and two standard deviations.
	It("refuses no request that is expected to start in time for its deadline", func() {
		var q queue.Queue
		now := time.Duration(0)
		for i := range 40 {
			t, _ := q.Enqueue(now, 1, queryArrivingAt(now))
			now += []time.Duration{10 * ms, 300 * ms}[i%2]
			q.Release(t, now, 1)
		}
		for range 2 {
			_, _ = q.Enqueue(now, 1, queryArrivingAt(now))
		}
		request := queryArrivingAt(now)
		request.LatestStart = now + 450*ms
		waiting, wait := q.Enqueue(now, 1, request)
		Expect(wait).To(BeNumerically("~", 320*ms, 60*ms))
		Expect(decided(waiting)).To(BeFalse())
	})

	It("prefers the higher priority, and then queries that can still meet their objective", func() {
		var q queue.Queue
		first, _ := q.Enqueue(0, 1, queryArrivingAt(0))
		late, _ := q.Enqueue(1*ms, 1, queryArrivingAt(1*ms))
		inTime, _ := q.Enqueue(150*ms, 1, queryArrivingAt(150*ms))
		low := queryArrivingAt(150 * ms)
		low.Priority = 1
		lowest, _ := q.Enqueue(150*ms, 1, low)
		q.Release(first, 160*ms, 1)
		Expect(started(inTime)).To(BeTrue())
		q.Release(inTime, 170*ms, 1)
		Expect(started(late)).To(BeTrue())
		Expect(decided(lowest)).To(BeFalse())
	})

	It("refuses at once queries that would wait too long, and returns the expected wait", func() {
		var q queue.Queue
		first, _ := q.Enqueue(0, 1, queryArrivingAt(0))
		q.Release(first, 100*ms, 1)
		q.Enqueue(100*ms, 1, queryArrivingAt(100*ms))
		for range 3 {
			q.Enqueue(100*ms, 1, queryArrivingAt(100*ms))
		}
		short := queryArrivingAt(100 * ms)
		short.LatestStart = 300 * ms
		t, wait := q.Enqueue(100*ms, 1, short)
		Expect(t.Refused).To(BeTrue())
		Expect(wait).To(Equal(400 * ms))
		Expect(q.Waiting()).To(Equal(3))
	})

	It("refuses waiting queries whose latest start has passed", func() {
		var q queue.Queue
		first, _ := q.Enqueue(0, 1, queryArrivingAt(0))
		t, _ := q.Enqueue(0, 1, queryArrivingAt(0))
		q.Release(first, 3*time.Second, 1)
		Expect(t.Refused).To(BeTrue())
		Expect(q.Starting()).To(BeZero())
	})

	It("never starts more queries than its limit, and decides each query once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var q queue.Queue
			var tickets []*queue.Ticket
			released := make(map[*queue.Ticket]bool)
			now, limit, left := time.Duration(0), rapid.IntRange(1, 4).Draw(t, "limit"), 0
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * ms
				switch {
				case rapid.Bool().Draw(t, "enter"):
					query := queue.Request{
						Arrived: now, OnTimeStart: now + 50*ms, Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
						LatestStart: now + time.Duration(rapid.IntRange(0, 200).Draw(t, "latest"))*ms,
					}
					ticket, _ := q.Enqueue(now, limit, query)
					tickets = append(tickets, ticket)
				case q.Starting() > 0:
					left++
					i := slices.IndexFunc(tickets, func(ticket *queue.Ticket) bool { return started(ticket) && !released[ticket] })
					released[tickets[i]] = true
					q.Release(tickets[i], now, limit)
				case len(tickets) > 0:
					q.Abandon(tickets[len(tickets)-1], now)
				}
				if q.Starting() > limit {
					t.Fatalf("%d queries are starting, the limit is %d", q.Starting(), limit)
				}
				if q.Waiting() > 0 && q.Starting() == 0 {
					t.Fatal("queries are waiting but none is starting")
				}
			}
			begun, refused := 0, 0
			for _, ticket := range tickets {
				switch {
				case started(ticket):
					begun++
				case decided(ticket):
					refused++
				}
			}
			if begun != q.Starting()+left || begun+refused+q.Waiting() != len(tickets) {
				t.Fatalf("%d started, %d refused, %d waiting of %d", begun, refused, q.Waiting(), len(tickets))
			}
		})
	})
})

// arrival is a recorded query: when its processing began after the restart, and
// how long its caller still waited from then on.
type arrival struct{ at, patience time.Duration }

// afterPowerLoss are the queries of one entry instance after a power loss of the whole
// platform, taken from its log (RT5021): the queries that arrived during the
// outage all start at once.
var afterPowerLoss = []arrival{
	{0, 251 * ms}, {0, 1986 * ms}, {0, 1367 * ms}, {0, 1993 * ms}, {0, 228 * ms}, {0, 1993 * ms}, {0, 297 * ms},
	{0, 1985 * ms}, {0, 1364 * ms}, {0, 1986 * ms}, {0, 1986 * ms}, {0, 790 * ms}, {0, 793 * ms}, {0, 255 * ms}, {0, 792 * ms},
	{100 * ms, 1983 * ms}, {100 * ms, 233 * ms}, {200 * ms, 1989 * ms}, {200 * ms, 290 * ms}, {300 * ms, 245 * ms},
	{400 * ms, 1989 * ms}, {500 * ms, 800 * ms}, {500 * ms, 783 * ms}, {600 * ms, 2000 * ms}, {700 * ms, 1984 * ms},
	{800 * ms, 800 * ms}, {1000 * ms, 2000 * ms},
}

// replay simulates arrivals against shards that process four requests of the
// entry instance at a time, 100 ms each, as they do when all of these are loaded. It
// counts the queries that were answered at all and within 200 ms, and the parts
// that were processed after their query had ended. useQueue enables the queue.
type replay struct {
	useQueue bool
	random   *rand.Rand

	queue   queue.Queue
	running []*replayedQuery
	busy    [shards][]busyConnection

	answered, inTime, wastedParts int
}

const (
	shards      = 20
	connections = 4
	work        = 100 * ms
	required    = 18
	step        = 5 * ms
)

type replayedQuery struct {
	arrival
	ticket   *queue.Ticket
	began    time.Duration
	parts    int
	sent     [shards]bool
	ended    bool
	released bool
}

type busyConnection struct {
	query *replayedQuery
	until time.Duration
}

func (r *replay) run(arrivals []arrival) {
	var all []*replayedQuery
	for now := time.Duration(0); now < 4*time.Second; now += step {
		for len(arrivals) > 0 && arrivals[0].at <= now {
			all = append(all, r.arrive(now, arrivals[0]))
			arrivals = arrivals[1:]
		}
		r.finish(now)
		for _, p := range all {
			r.advance(now, p)
		}
		r.send(now)
	}
}

func (r *replay) arrive(now time.Duration, a arrival) *replayedQuery {
	p := &replayedQuery{arrival: a}
	if r.useQueue {
		p.ticket, _ = r.queue.Enqueue(now, connections, queue.Request{
			Arrived: a.at, OnTimeStart: a.at + work, LatestStart: a.at + a.patience - work,
		})
	}
	return p
}

// advance starts a query that may start, and ends one that has its required
// parts or whose caller has timed out.
func (r *replay) advance(now time.Duration, p *replayedQuery) {
	running := p.began > 0
	switch {
	case !running && !p.ended && (p.ticket == nil || started(p.ticket)):
		p.began = max(now, 1)
		r.running = append(r.running, p)
	case running && !p.ended && p.parts >= required:
		r.answered++
		if now-p.at <= 200*ms {
			r.inTime++
		}
		r.end(now, p)
	case running && !p.ended && now >= p.at+p.patience:
		r.end(now, p)
	}
	if running && r.useQueue && !p.released && (p.ended || p.parts >= shards/2) {
		p.released = true
		r.queue.Release(p.ticket, now, connections)
	}
}

func (r *replay) end(_ time.Duration, p *replayedQuery) {
	p.ended = true
	for i, q := range r.running {
		if q == p {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

func (r *replay) finish(now time.Duration) {
	for i := range r.busy {
		var busy []busyConnection
		for _, s := range r.busy[i] {
			if s.until > now {
				busy = append(busy, s)
				continue
			}
			s.query.parts++
			if s.query.ended {
				r.wastedParts++
			}
		}
		r.busy[i] = busy
	}
}

// send assigns free connections to running queries in random order.
func (r *replay) send(now time.Duration) {
	for i := range r.busy {
		for _, k := range r.random.Perm(len(r.running)) {
			if p := r.running[k]; len(r.busy[i]) < connections && !p.sent[i] {
				p.sent[i] = true
				r.busy[i] = append(r.busy[i], busyConnection{p, now + work})
			}
		}
	}
}

var _ = Describe("The queries after a power loss", func() {
	play := func(useQueue bool) *replay {
		r := &replay{useQueue: useQueue, random: rand.New(rand.NewPCG(1, 2))}
		r.run(afterPowerLoss)
		return r
	}

	It("are answered sooner, and waste less work of the targets, when the queue orders them", func() {
		withoutQueue, withQueue := play(false), play(true)
		GinkgoWriter.Println("without queue", withoutQueue.answered, withoutQueue.inTime, withoutQueue.wastedParts)
		GinkgoWriter.Println("with queue", withQueue.answered, withQueue.inTime, withQueue.wastedParts)
		Expect(withQueue.answered).To(BeNumerically(">=", withoutQueue.answered))
		Expect(withQueue.inTime).To(BeNumerically(">", withoutQueue.inTime))
		Expect(withQueue.wastedParts).To(BeNumerically("<", withoutQueue.wastedParts))
	})
})

package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/gather"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
	"radishturn.example/radishturn/pkg/retry"
)

// The replay runs the decisions of a fleet, choice of targets, hedges and retry budgets,
// against simulated targets that pause and change their pace. It uses neither a network
// nor the clock.

const (
	replayInstances, replayShards, replaySlots, replayQueue = 78, 90, 2, 10
	replaySendTime                                          = 80 * time.Microsecond
	replayConnectTime                                       = 6 * time.Millisecond
)

// replayRoute is a kind of query, with the work that it is at a target at pace 1.
type replayRoute struct {
	least, most, objective time.Duration
	required               int
}

var replayRoutes = []replayRoute{
	{5 * time.Millisecond, 9 * time.Millisecond, 50 * time.Millisecond, 77},
	{15 * time.Millisecond, 28 * time.Millisecond, 150 * time.Millisecond, 86},
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(v any)        { *e = append(*e, v.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type replay struct {
	now         time.Duration
	events      replayEvents
	random      *rand.Rand
	reportsPace bool
	targets     []*replayTarget
	roundTrip   [3][3]time.Duration
	instances   []*replayInstance
	tracker     *catalog.CostTracker
	hints       map[model.TargetID]float64
	score       [2]replayScore
}

type replayScore struct{ queries, inTime, parts, first, extra int }

type replayInstance struct {
	zone    int
	engine  *Engine
	targets []*target
	stats   [2]*routeStats
	budgets [replayShards]retry.Budget
	busy    []bool
	lastUse []time.Duration
}

func (r *replay) at(at time.Duration, do func()) { heap.Push(&r.events, replayEvent{at, do}) }

func newReplay(seed uint64, reportsPace bool, length time.Duration) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, 1)), reportsPace: reportsPace, tracker: catalog.NewCostTracker(1)}
	for a := range 3 {
		r.roundTrip[a][a] = 300 * time.Microsecond
		for b := range a {
			d := 2*900*time.Microsecond + time.Duration(r.random.Float64()*float64(5*time.Millisecond))
			r.roundTrip[a][b], r.roundTrip[b][a] = d, d
		}
	}
	for i := range replayShards * 3 {
		t := &replayTarget{id: i, zone: i % 3, base: []float64{0.8, 1, 1.3}[r.random.IntN(3)], phase: time.Duration(r.random.IntN(600)) * time.Millisecond}
		for at := time.Duration(0); at < 2*length; at += 600 * time.Millisecond {
			t.slow = append(t.slow, r.random.Float64() < 0.15)
		}
		for at := time.Duration(r.random.IntN(4800)) * time.Millisecond; at < 2*length; at += time.Duration(3600+r.random.IntN(2400)) * time.Millisecond {
			t.pauses = append(t.pauses, [2]time.Duration{at, at + time.Duration(150+r.random.IntN(100))*time.Millisecond})
		}
		r.targets = append(r.targets, t)
	}
	for i := range replayInstances {
		n := &replayInstance{zone: i % 3, busy: make([]bool, len(r.targets)), lastUse: make([]time.Duration, len(r.targets))}
		n.engine = New(Options{AvailabilityZone: model.AvailabilityZoneID(fmt.Sprint(n.zone))})
		for k, route := range replayRoutes {
			n.stats[k] = newRouteStats(route.objective)
		}
		for k, t := range r.targets {
			n.lastUse[k] = -time.Hour
			n.targets = append(n.targets, &target{
				Target:  model.Target{ID: model.TargetID(fmt.Sprint(k)), AvailabilityZone: model.AvailabilityZoneID(fmt.Sprint(t.zone))},
				process: &process{health: health{concurrency: replaySlots}},
			})
		}
		r.instances = append(r.instances, n)
	}
	return r
}

type replayQuery struct {
	*replay
	n     *replayInstance
	kind  int
	run   *gather.Run
	plan  gather.Plan
	asked [replayShards][]int
	work  [replayShards]time.Duration
	ended bool
	// timers counts the timers set.
	timers int
}

func (r *replay) query(n *replayInstance, kind int) {
	route := replayRoutes[kind]
	q := &replayQuery{replay: r, n: n, kind: kind, plan: gather.Plan{
		ObjectiveEnd: r.now + time.Duration((1-answerMarginShare)*float64(route.objective)) - answerMargin, Deadline: r.now + 2*time.Second,
		UsualLatency: n.stats[kind].usual(), Required: route.required, MaxTargets: 3,
	}}
	q.run = gather.New(q.plan, replayShards)
	for i := range q.work {
		q.work[i] = route.least + time.Duration(r.random.Float64()*float64(route.most-route.least))
		n.budgets[i].RecordRequest(r.now, replayBound)
	}
	q.step()
}

var replayBound = retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 190}.ForInstance(replayInstances, budgetSafety)

func (q *replayQuery) step() {
	if q.ended {
		return
	}
	for k, i := range q.run.Due(q.now) {
		q.at(q.now+time.Duration(k)*replaySendTime, func() { q.send(i) })
		q.run.RecordSent(i, q.now)
	}
	if d := q.run.Decide(q.now); d != gather.Wait {
		q.ended = true
		s := &q.score[q.kind]
		s.queries++
		s.parts += q.run.Parts()
		if d == gather.Answer && q.now <= q.plan.ObjectiveEnd+time.Millisecond {
			s.inTime++
		}
		return
	}
	// Only the latest timer counts.
	q.timers++
	timer := q.timers
	q.at(max(q.now+time.Microsecond, q.run.NextCheck(q.now)), func() {
		if timer == q.timers {
			q.step()
		}
	})
}

func (q *replayQuery) send(i int) {
	if q.ended {
		return
	}
	n, b := q.n, &q.n.budgets[i]
	further := len(q.asked[i]) > 0
	stats := n.stats[q.kind]
	c := selection{now: q.now, usual: stats.usual(), work: stats.usualWork(), further: further, fleetCosts: q.hints}
	var chosen chooser
	for k := 3 * i; k < 3*i+3; k++ {
		if slices.Contains(q.asked[i], k) {
			continue
		}
		own := q.targets[k].zone == n.zone
		connections := pool.Idle
		switch {
		case n.busy[k]:
			connections = pool.Full
		case !own && q.now-n.lastUse[k] > maxOnDemandIdle:
			connections = pool.CanOpen
		}
		if p, ok := n.engine.registry.price(n.targets[k], c, connections); ok {
			if !own {
				p.cost += onDemandCost
			}
			chosen.consider(n.targets[k], p)
		}
	}
	if chosen.best == nil {
		q.run.RecordFailure(i, q.now, false)
		q.run.RecordUnsent(i, q.now, true)
		return
	}
	if further {
		if b.Remaining(q.now, replayBound) < 1+reserveShare*replayBound.Slack && !q.run.NeedsPart(i, q.now) || !b.Take(q.now, replayBound) {
			q.run.RecordFailure(i, q.now, false)
			q.run.RecordDenied(i, q.now)
			return
		}
		q.score[q.kind].extra++
	} else {
		q.score[q.kind].first++
	}
	choice := chosen.choice()
	q.run.Expect(i, gather.Expectation{Current: choice.completion, Next: choice.next})
	q.ask(i, choice.target)
}

func (q *replayQuery) ask(i int, t *target) {
	n, stats, sent := q.n, q.n.stats[q.kind], q.now
	var k int
	_, _ = fmt.Sscan(string(t.ID), &k)
	q.asked[i] = append(q.asked[i], k)
	remote := q.targets[k]
	usual, trip := stats.usual(), q.roundTrip[n.zone][remote.zone]
	reused := remote.zone == n.zone || q.now-n.lastUse[k] <= maxOnDemandIdle
	arrive := q.now + trip/2
	if !reused {
		arrive += replayConnectTime + trip
	}
	t.begin(sent, usual)
	n.busy[k], n.lastUse[k] = true, q.now
	q.at(arrive, func() {
		q.receive(remote, q.work[i], func(load *exchange.Load) {
			q.at(q.now+trip/2, func() {
				n.busy[k], n.lastUse[k] = false, q.now
				result := pool.Result{Reply: &exchange.Reply{Status: http.StatusServiceUnavailable, NotRun: true}}
				if load != nil {
					result.Reply = &exchange.Reply{Status: http.StatusOK, Signature: "s", Load: *load}
					stats.add(q.now - sent)
				}
				t.recordResult(q.now, sent, usual, 2*time.Second, result)
				n.engine.learnCompletion(stats, t, q.now, sent, reused, result)
				q.tracker.Record(q.now, []catalog.CostSample{{Target: t.ID, Sum: observedCost(result, q.now-sent, usual), Count: 1}})
				switch {
				case q.ended:
				case load != nil:
					q.run.RecordPart(i)
				default:
					q.run.RecordFailure(i, q.now, false)
				}
				q.step()
			})
		})
	})
}

// play runs queries from all instances, and counts those that arrive after the warm-up.
func (r *replay) play(length, warmUp time.Duration, perSecond float64) {
	var arrive func()
	arrive = func() {
		r.query(r.instances[r.random.IntN(replayInstances)], r.random.IntN(2))
		r.at(r.now+time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	r.at(0, arrive)
	var refresh func()
	refresh = func() {
		if d := r.tracker.Since(r.now, catalog.Position{}); d != nil {
			next := d.Apply(nil)
			r.at(r.now+200*time.Millisecond, func() { r.hints = next })
		}
		r.at(r.now+200*time.Millisecond, refresh)
	}
	r.at(0, refresh)
	r.at(warmUp, func() { r.score = [2]replayScore{} })
	for len(r.events) > 0 && r.now < length {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
}

// Guards against queries of 90 shards that are late because nearly each of them meets
// paused and slow targets, and against hedges that use more than the retry budget's share.
// The queries arrive at twice the usual rate, so that enough of them are late to compare.
func TestReplayOfPausesAndPaces(t *testing.T) {
	const length, warmUp, perInstance, maxExtra = 24 * time.Second, 12 * time.Second, 1.4, 0.2
	var late [2][2]float64
	for run, reportsPace := range []bool{false, true} {
		r := newReplay(3, reportsPace, length)
		r.play(length, warmUp, perInstance*replayInstances)
		for k, s := range r.score {
			extra := float64(s.extra) / float64(s.first)
			late[run][k] = 1 - float64(s.inTime)/float64(s.queries)
			t.Logf("objective %s, pace known: %t: of %d queries %.4f late, %.1f parts, %.3f extra requests",
				replayRoutes[k].objective, reportsPace, s.queries, late[run][k], float64(s.parts)/float64(s.queries), extra)
			if extra > maxExtra {
				t.Errorf("%.3f extra requests for each first one", extra)
			}
		}
	}
	for k := range replayRoutes {
		if late[1][k] > 0.5*late[0][k] {
			t.Errorf("objective %s: %.4f late with the pace known, %.4f without", replayRoutes[k].objective, late[1][k], late[0][k])
		}
	}
}

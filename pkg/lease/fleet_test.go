package lease

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/lease/granter"
	"radishturn.example/radishturn/pkg/lease/table"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

const (
	testDuration    = 2000 * time.Millisecond
	testGrace       = 1000 * time.Millisecond
	testLifetime    = testDuration + testGrace
	stepsPerRun     = 400
	faultFreeRounds = 40
	faultFreeStepMs = 300
)

// simulation runs a fleet under a random schedule: holders with leases, one leader
// at a time, and a network that loses, delays, duplicates and reorders messages.
type simulation struct {
	now     time.Duration
	leader  *granter.Granter
	term    uint64
	limits  map[model.TargetID]grant.Limit
	holders []*testHolder
	// registered maps the instances in the replicated state to their registration time.
	registered map[model.InstanceID]time.Duration
	// version grows with each change of registered.
	version  uint64
	requests []request
	replies  []reply
}

type testHolder struct {
	*holder
	boots  int
	paused bool
	// partitioned holders reach neither the leader nor holders that are not partitioned.
	partitioned bool
	// sentAt is when the newest renewal was sent.
	sentAt time.Duration
}

type request struct {
	renewal *wire.Renewal
	sentAt  time.Duration
}

type reply struct {
	to     int
	boot   string
	sentAt time.Duration
	reply  *wire.RenewalReply
}

func instanceOf(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("e%d", i)) }

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{now: 1, limits: make(map[model.TargetID]grant.Limit), registered: make(map[model.InstanceID]time.Duration)}
	for i := range 3 {
		id := model.TargetID(fmt.Sprintf("shopfront/svc-01/leaf-1/slot-%d", i))
		w.limits[id] = grant.Limit{Connections: rapid.IntRange(0, 12).Draw(t, "connections"), ColdLoad: rapid.IntRange(0, 6).Draw(t, "cold")}
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "instances") {
		w.holders = append(w.holders, &testHolder{})
		w.boot(i)
	}
	w.elect()
	return w
}

// boot starts a new process of an instance, which holds nothing.
func (w *simulation) boot(i int) {
	h := w.holders[i]
	h.boots++
	h.paused = false
	h.holder = newHolder(model.Instance{ID: instanceOf(i)}, fmt.Sprintf("%d-%d", i, h.boots), testDuration, testGrace)
}

// elect ends the leader's term and starts a new one.
func (w *simulation) elect() {
	w.term++
	var known []table.KnownInstance
	for id, at := range w.registered {
		known = append(known, table.KnownInstance{Instance: id, TooNew: w.now < at+testLifetime})
	}
	w.leader = granter.New("leader", w.term, w.now, testDuration, testLifetime, known)
	w.leader.SetLimits(w.limits)
}

func (w *simulation) send(i int) {
	h := w.holders[i]
	if h.paused {
		return
	}
	h.sentAt = w.now
	w.requests = append(w.requests, request{renewal: h.nextRenewal(w.now), sentAt: w.now})
}

// deliver passes a request to the current leader.
func (w *simulation) deliver(r request) {
	id := r.renewal.Instance.ID
	for i, h := range w.holders {
		if instanceOf(i) != id || h.partitioned {
			continue
		}
		w.register(id)
		answer, err := w.leader.Renew(w.now, r.renewal)
		if err != nil {
			return
		}
		answer.Delta = w.delta(r.renewal.Version)
		w.replies = append(w.replies, reply{to: i, boot: r.renewal.Boot, sentAt: r.sentAt, reply: answer})
	}
}

func (w *simulation) register(id model.InstanceID) {
	if _, ok := w.registered[id]; !ok {
		w.registered[id] = w.now
		w.version++
	}
}

// delta returns the change that lists the known instances.
func (w *simulation) delta(version uint64) *state.Delta {
	if version == w.version {
		return nil
	}
	d := &state.Delta{To: w.version, InstancesVersion: w.version}
	for id := range w.registered {
		d.Instances = append(d.Instances, model.Instance{ID: id})
	}
	return d
}

func (w *simulation) receive(r reply) {
	h := w.holders[r.to]
	if h.boot == r.boot && !h.paused && !h.partitioned {
		h.applyReply(w.now, r.sentAt, r.reply)
	}
}

// poll lets a holder whose lease has expired ask those it can reach.
func (w *simulation) poll(i int) {
	h := w.holders[i]
	if h.paused || h.times.state(w.now) == view.LeaseHeld {
		return
	}
	p := h.newPoll(w.now)
	for _, other := range h.view.Instances {
		for j, o := range w.holders {
			if instanceOf(j) == other.ID && !o.paused && o.partitioned == h.partitioned {
				p.add(o.pollAnswer(w.now))
			}
		}
	}
	h.applyPoll(w.now, p)
}

// check fails if the holders together hold more of a target than its limit.
func (w *simulation) check(t *rapid.T) {
	for id, limit := range w.limits {
		if sum := w.heldBy(id); sum.Connections > limit.Connections || sum.ColdLoad > limit.ColdLoad {
			t.Fatalf("%s has the limit %+v, but %+v is held", id, limit, sum)
		}
	}
}

// heldBy returns what the holders that may still serve hold of a target.
func (w *simulation) heldBy(id model.TargetID) view.Grant {
	sum := view.Grant{}
	for _, h := range w.holders {
		if s := h.times.state(w.now); s == view.LeaseHeld || s == view.LeaseControlLost {
			sum.Connections += h.view.Grants[id].Connections
			sum.ColdLoad += h.view.Grants[id].ColdLoad
		}
	}
	return sum
}

// takeMessage returns a random message. If repeat is drawn, the message stays in
// the queue and can be delivered again.
func takeMessage[T any](t *rapid.T, from *[]T) (T, bool) {
	var none T
	if len(*from) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "message")
	m := (*from)[i]
	if !rapid.Bool().Draw(t, "repeat") {
		*from = append((*from)[:i], (*from)[i+1:]...)
	}
	return m, true
}

// roundTrip renews without message loss, as most renewals do.
func (w *simulation) roundTrip(i int) {
	w.send(i)
	if w.holders[i].paused {
		return
	}
	before := len(w.replies)
	w.deliver(w.requests[len(w.requests)-1])
	w.requests = w.requests[:len(w.requests)-1]
	if len(w.replies) > before {
		w.receive(w.replies[len(w.replies)-1])
		w.replies = w.replies[:len(w.replies)-1]
	}
}

// action is one kind of step; a larger weight makes it more frequent.
type action struct {
	weight int
	run    func(w *simulation, t *rapid.T, i int)
}

var actions = []action{
	{30, func(w *simulation, _ *rapid.T, i int) { w.roundTrip(i) }},
	{8, func(w *simulation, _ *rapid.T, _ int) { w.roundTrips() }},
	{22, func(w *simulation, t *rapid.T, _ int) { w.advance(rapid.IntRange(1, 900).Draw(t, "ms")) }},
	{8, func(w *simulation, _ *rapid.T, i int) { w.send(i) }},
	{10, func(w *simulation, t *rapid.T, _ int) {
		if r, ok := takeMessage(t, &w.requests); ok {
			w.deliver(r)
		}
	}},
	{10, func(w *simulation, t *rapid.T, _ int) {
		if r, ok := takeMessage(t, &w.replies); ok {
			w.receive(r)
		}
	}},
	{3, func(w *simulation, _ *rapid.T, i int) { w.holders[i].paused = !w.holders[i].paused }},
	{3, func(w *simulation, _ *rapid.T, i int) { w.holders[i].partitioned = !w.holders[i].partitioned }},
	{1, func(w *simulation, _ *rapid.T, i int) { w.boot(i) }},
	{4, func(w *simulation, _ *rapid.T, _ int) { w.polls() }},
	{1, func(w *simulation, _ *rapid.T, _ int) { w.elect() }},
	{1, func(w *simulation, _ *rapid.T, i int) { w.returnLease(i) }},
}

// advance advances the time and lets the leader end expired leases.
func (w *simulation) advance(ms int) {
	w.now += time.Duration(ms) * time.Millisecond
	w.leader.Tick(w.now)
}

// step runs one random action.
func (w *simulation) step(t *rapid.T) {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := rapid.IntRange(0, total-1).Draw(t, "action")
	i := rapid.IntRange(0, len(w.holders)-1).Draw(t, "instance")
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.run(w, t, i)
			return
		}
	}
}

func (w *simulation) roundTrips() {
	for i := range w.holders {
		w.roundTrip(i)
	}
}

func (w *simulation) polls() {
	for i := range w.holders {
		w.poll(i)
	}
}

// returnLease returns a lease and starts a new process.
func (w *simulation) returnLease(i int) {
	h := w.holders[i]
	if h.paused || h.partitioned {
		return
	}
	w.leader.Return(w.now, instanceOf(i), h.boot)
	delete(w.registered, instanceOf(i))
	w.version++
	w.boot(i)
}

// checkConvergence ends all faults, then expects that the limits are fully handed
// out within faultFreeRounds and that the grants no longer change.
func (w *simulation) checkConvergence(t *rapid.T) {
	for _, h := range w.holders {
		h.partitioned, h.paused = false, false
	}
	w.requests, w.replies = nil, nil
	var last []uint64
	for range faultFreeRounds {
		w.advance(faultFreeStepMs)
		w.roundTrips()
		w.check(t)
		last = w.grantSequences(last)
	}
	for id, limit := range w.limits {
		if sum := w.heldBy(id); sum != (view.Grant(limit)) {
			t.Fatalf("%s has the limit %+v, but %+v is held after all faults ended", id, limit, sum)
		}
	}
	w.roundTrips()
	if now := w.grantSequences(nil); !slices.Equal(now, last) {
		t.Fatalf("grants still change after all faults ended: %v, then %v", last, now)
	}
}

func (w *simulation) grantSequences(into []uint64) []uint64 {
	into = into[:0]
	for _, h := range w.holders {
		into = append(into, h.grantSequence)
	}
	return into
}

func TestGrantsNeverExceedALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range stepsPerRun {
			w.step(t)
			w.check(t)
		}
		w.checkConvergence(t)
	})
}

// TestMain fixes the seed, so that each run gives the same result; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	pathElectionTimeout = 350 * time.Millisecond
	pathHeartbeat       = 50 * time.Millisecond
	pathLatency         = time.Millisecond
	// pathTick is the resolution of the simulated time.
	pathTick = time.Millisecond
	// catchUpBound is the time within which a learner is promoted: replacing a member is
	// to take seconds.
	catchUpBound = 30 * time.Second
)

// slowPath leads to one member. It carries messages with entries one after the other.
type slowPath struct {
	member         Member
	bytesPerSecond int
	// lossPercent is the share of all messages, in both directions, that is lost.
	lossPercent int
	// limited gives up a message after an election timeout for each started MiB.
	limited bool

	busyUntil time.Duration
	// carried is the total size of the entries and snapshots that were begun to be sent.
	carried int
}

// arrival returns when a message that is sent now arrives, or false if it is lost.
func (p *slowPath) arrival(now time.Duration, m Message, random *rand.Rand) (time.Duration, bool) {
	lost := random.IntN(100) < p.lossPercent
	size := 0
	if m.Append != nil {
		for _, e := range m.Append.Entries {
			size += e.size()
		}
	}
	if size == 0 || m.To != p.member {
		return now + pathLatency, !lost
	}
	p.carried += size
	took := time.Duration(float64(size) / float64(p.bytesPerSecond) * float64(time.Second))
	limit := pathElectionTimeout * time.Duration(1+size>>20)
	if p.limited && took > limit {
		took, lost = limit, true
	}
	p.busyUntil = max(now, p.busyUntil) + took
	return p.busyUntil + pathLatency, !lost
}

type arriving struct {
	at time.Duration
	m  Message
}

// pathGroup is a group in simulated time of which one member is behind a slow path.
type pathGroup struct {
	random *rand.Rand
	now    time.Duration
	rafts  map[Member]*Raft
	order  []Member
	path   slowPath
	queue  []arriving
}

func newPathGroup(seed uint64, path slowPath) *pathGroup {
	g := &pathGroup{random: rand.New(rand.NewPCG(seed, seed)), rafts: make(map[Member]*Raft), path: path}
	var voters []Member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		voters = append(voters, memberOf(id))
	}
	state := PersistentState{HardState: HardState{Term: BootstrapTerm}, Snapshot: BootstrapSnapshot(voters).Meta}
	for _, m := range voters {
		g.start(m, state)
	}
	return g
}

func (g *pathGroup) start(m Member, s PersistentState) {
	g.rafts[m] = New(Config{
		Self: m, ElectionTimeout: pathElectionTimeout, Heartbeat: pathHeartbeat,
		Jitter: func(limit time.Duration) time.Duration { return time.Duration(g.random.Int64N(int64(limit))) },
	}, s, g.now)
	g.order = append(g.order, m)
}

// stop ends a member for good.
func (g *pathGroup) stop(m Member) {
	delete(g.rafts, m)
	g.order = slices.DeleteFunc(g.order, func(other Member) bool { return other == m })
}

func (g *pathGroup) leader() *Raft {
	for _, m := range g.order {
		if r := g.rafts[m]; r.LeaseUntil(g.now) > g.now {
			return r
		}
	}
	return nil
}

// step advances the time by a tick.
func (g *pathGroup) step() {
	g.now += pathTick
	var due []arriving
	due, g.queue = partition(g.queue, func(a arriving) bool { return a.at <= g.now })
	slices.SortStableFunc(due, func(a, b arriving) int { return int(a.at - b.at) })
	for _, a := range due {
		if r := g.rafts[a.m.To]; r != nil {
			r.Step(g.now, a.m)
			g.flush(r)
		}
	}
	for _, m := range g.order {
		if r := g.rafts[m]; g.now >= r.Deadline() {
			r.Tick(g.now)
			g.flush(r)
		}
	}
}

func partition(all []arriving, first func(arriving) bool) (yes, no []arriving) {
	for _, a := range all {
		if first(a) {
			yes = append(yes, a)
			continue
		}
		no = append(no, a)
	}
	return yes, no
}

func (g *pathGroup) flush(r *Raft) {
	for r.HasEffects() {
		e := r.TakeEffects()
		for _, m := range append(e.EarlyMessages, e.Messages...) {
			g.send(m)
		}
		r.Synced(g.now, e.Mark)
	}
}

func (g *pathGroup) send(m Message) {
	at, arrives := g.now+pathLatency, true
	if m.To == g.path.member || m.From == g.path.member {
		at, arrives = g.path.arrival(g.now, m, g.random)
	}
	if arrives {
		g.queue = append(g.queue, arriving{at, m})
	}
}

// runUntil advances the time until done, and fails after the bound.
func (g *pathGroup) runUntil(what string, bound time.Duration, done func() bool) {
	ginkgo.GinkgoHelper()
	for end := g.now + bound; !done(); g.step() {
		if g.now >= end {
			r := g.rafts[g.path.member]
			Expect(g.now).To(BeNumerically("<", end), fmt.Sprintf("%s; log of the member behind the path ends at %d", what, r.log.lastIndex()))
		}
	}
}

func (g *pathGroup) propose(commandBytes int) {
	if r := g.leader(); r != nil {
		_, _, _ = r.Propose(g.now, [][]byte{make([]byte, commandBytes)})
		g.flush(r)
	}
}

func (g *pathGroup) change(c Change) {
	if r := g.leader(); r != nil {
		_, _, _ = r.ProposeChange(g.now, c)
		g.flush(r)
	}
}

// replaceBy replaces a lost voter by a new member, step by step, while commands are proposed
// in the given interval.
func (g *pathGroup) replaceBy(next Member, commandBytes int, every time.Duration) {
	ginkgo.GinkgoHelper()
	g.runUntil("no leader", catchUpBound, func() bool { return g.leader() != nil })
	old := g.order[len(g.order)-1]
	if old == g.leader().cfg.Self {
		old = g.order[0]
	}
	g.stop(old)
	g.start(next, PersistentState{})
	nextCommand := g.now
	nextStep := g.now
	g.runUntil("not promoted", catchUpBound, func() bool {
		if g.now >= nextCommand {
			nextCommand = g.now + every
			g.propose(commandBytes)
		}
		r := g.leader()
		if r != nil && g.now >= nextStep {
			nextStep = g.now + pathHeartbeat
			if c, ok := r.ReplacementStep(g.now, old, next); ok {
				g.change(c)
			}
		}
		return r != nil && r.membership.IsVoter(next) && !r.membership.IsVoter(old) && r.membershipIndex <= r.commit
	})
}

// Guards against a transfer that takes longer than its time limit, is begun anew in full,
// and therefore never completes.
var _ = ginkgo.Describe("A new member behind a slow path", func() {
	const (
		seed = 37
		// dutyPercent is the share of the path that the commands proposed meanwhile need.
		dutyPercent = 25
	)
	ginkgo.DescribeTable("catches up and is promoted while commands are proposed",
		func(path slowPath, commands, commandBytes int) {
			path.member = memberOf("x")
			g := newPathGroup(seed, path)
			g.runUntil("no leader", catchUpBound, func() bool { return g.leader() != nil })
			for range commands {
				g.propose(commandBytes)
			}
			every := time.Duration(commandBytes) * time.Second * 100 / dutyPercent / time.Duration(path.bytesPerSecond)
			g.replaceBy(path.member, commandBytes, every)
			// It has to be promoted by what arrived, not by repeating it many times.
			Expect(g.path.carried).To(BeNumerically("<=", path.bytesPerSecond*int(catchUpBound/time.Second)))
		},
		ginkgo.Entry("of 100 kB/s", slowPath{bytesPerSecond: 100_000, limited: true}, 150, 10_000),
		ginkgo.Entry("of 20 kB/s, with smaller commands", slowPath{bytesPerSecond: 20_000, limited: true}, 150, 2_000),
		ginkgo.Entry("of 100 kB/s that loses a fifth of the messages", slowPath{bytesPerSecond: 100_000, limited: true, lossPercent: 20}, 100, 10_000),
		ginkgo.Entry("of 100 kB/s, with commands that each take longer than an election timeout", slowPath{bytesPerSecond: 100_000}, 50, 50_000),
	)
})

// Guards against an estimate that stays low once the path is fast again.
var _ = ginkgo.Describe("A member whose slow path becomes fast", func() {
	ginkgo.It("catches up at the new pace", func() {
		const (
			seed     = 37
			slow     = 20_000
			fast     = 10_000_000
			commands = 400
			bound    = 5 * time.Second
		)
		path := slowPath{member: memberOf("b"), bytesPerSecond: slow}
		g := newPathGroup(seed, path)
		g.runUntil("no leader", catchUpBound, func() bool { return g.leader() != nil && g.leader().cfg.Self != path.member })
		for range commands {
			g.propose(10_000)
		}
		end := g.now + catchUpBound
		g.runUntil("slow", 2*catchUpBound, func() bool { return g.now >= end })
		// What is on the slow path still takes its time.
		g.path.bytesPerSecond = fast
		g.path.busyUntil = g.now
		g.runUntil("not caught up", bound, func() bool {
			return g.leader() != nil && g.rafts[path.member].log.lastIndex() == g.leader().log.lastIndex()
		})
	})
})

// Guards against a lost message or reply that is waited for as if the path were slow.
var _ = ginkgo.Describe("A group whose majority needs a member behind a lossy path", func() {
	const (
		seeds       = 40
		commands    = 200
		lossPercent = 20
		fast        = 10_000_000
		// commitBound is the time in which a change is to be in force.
		commitBound = 4 * time.Second
	)
	behindPath := memberOf("b")
	// stopTwo stops two voters, neither the leader nor the one behind the path.
	stopTwo := func(g *pathGroup) {
		stopped := 0
		for _, m := range slices.Clone(g.order) {
			if stopped < 2 && m != behindPath && m != g.leader().cfg.Self {
				g.stop(m)
				stopped++
			}
		}
	}
	ginkgo.It("commits each command soon", func() {
		for seed := range uint64(seeds) {
			g := newPathGroup(seed, slowPath{member: behindPath, bytesPerSecond: fast, lossPercent: lossPercent})
			g.runUntil("no leader", catchUpBound, func() bool { return g.leader() != nil })
			stopTwo(g)
			for range commands {
				g.runUntil("no leader", catchUpBound, func() bool { return g.leader() != nil })
				leader := g.leader()
				g.propose(10_000)
				index := leader.log.lastIndex()
				g.runUntil(fmt.Sprintf("seed %d: not committed", seed), commitBound, func() bool {
					return leader.role != Leader || leader.commit >= index
				})
			}
		}
	})
})

// Guards against a leader that waits for the transfer time of a slow path although the
// message has arrived and the member has lost it, as one that restarts does.
var _ = ginkgo.Describe("A member on a slow path that loses what it has received", func() {
	const (
		seed         = 37
		slow         = 20_000
		fast         = 10_000_000
		commandBytes = 200_000
		// resendBound is the time in which a change is to be in force.
		resendBound = 4 * time.Second
	)
	isLarge := func(m Message) bool { return m.Snapshot != nil || m.Append != nil && len(m.Append.Entries) > 0 }
	behindPath := memberOf("b")

	// slowGroup returns a group whose leader has seen that the path to b is slow, and that has
	// committed everything. The path is fast from now on.
	slowGroup := func() *pathGroup {
		g := newPathGroup(seed, slowPath{member: behindPath, bytesPerSecond: slow})
		isReady := func() bool { return g.leader() != nil && g.leader().cfg.Self != behindPath }
		g.runUntil("no leader", catchUpBound, isReady)
		for range 5 {
			g.propose(commandBytes)
		}
		path := &g.leader().progress[behindPath].path
		g.runUntil("path not seen as slow", 2*catchUpBound, func() bool { return path.rate <= 2*slow })
		g.path.bytesPerSecond, g.path.busyUntil = fast, g.now
		return g
	}
	// loseFirst delivers and loses the first message with entries or a snapshot that was sent
	// to b, and returns the time until the leader sends one again.
	loseFirst := func(g *pathGroup) time.Duration {
		leader := g.leader()
		g.queue = slices.DeleteFunc(g.queue, func(a arriving) bool {
			lost := a.m.To == behindPath && isLarge(a.m)
			if lost {
				leader.ReportDelivered(g.now, a.m)
			}
			return lost
		})
		lostAt := g.now
		g.runUntil("not sent again", resendBound, func() bool {
			return slices.ContainsFunc(g.queue, func(a arriving) bool { return a.m.To == behindPath && isLarge(a.m) })
		})
		return g.now - lostAt
	}

	ginkgo.It("is sent entries again soon", func() {
		g := slowGroup()
		Expect(loseFirst(g)).To(BeNumerically("<", resendBound))
	})
	ginkgo.It("is sent a snapshot again soon", func() {
		g := slowGroup()
		leader := g.leader()
		leader.Compact(leader.SnapshotMeta(), commandBytes, 0)
		leader.progress[behindPath].probe(1)
		leader.replicate(g.now, behindPath, leader.progress[behindPath])
		g.flush(leader)
		Expect(leader.progress[behindPath].state).To(Equal(installing))
		Expect(loseFirst(g)).To(BeNumerically("<", resendBound))
	})
})

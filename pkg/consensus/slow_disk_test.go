package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	minSlowSync = 200 * time.Millisecond
	maxSlowSync = 600 * time.Millisecond
	// minSlowStep and maxSlowStep are the processor time of a step without a sync.
	minSlowStep = 5 * time.Millisecond
	maxSlowStep = 40 * time.Millisecond
)

// slowMember is a member whose steps take time. Messages wait until the step has ended, as
// in the event loop of package replica.
type slowMember struct {
	raft      *Raft
	inbox     []Message
	proposals [][]byte
	// began is when the current step began, and busyUntil when its current effects are done.
	began, busyUntil time.Duration
	effects          *Effects
}

// slowGroup is a group in simulated time with slow disks and processors.
type slowGroup struct {
	random  *rand.Rand
	now     time.Duration
	members map[Member]*slowMember
	order   []Member
	queue   []arriving
}

func newSlowGroup(seed uint64, running int) *slowGroup {
	g := &slowGroup{random: rand.New(rand.NewPCG(seed, seed)), members: make(map[Member]*slowMember)}
	var voters []Member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		voters = append(voters, memberOf(id))
	}
	state := PersistentState{HardState: HardState{Term: BootstrapTerm}, Snapshot: BootstrapSnapshot(voters).Meta}
	for _, m := range voters[:running] {
		raft := New(Config{
			Self: m, ElectionTimeout: pathElectionTimeout, Heartbeat: pathHeartbeat,
			Jitter: func(limit time.Duration) time.Duration { return time.Duration(g.random.Int64N(int64(limit))) },
		}, state, 0)
		g.members[m] = &slowMember{raft: raft}
		g.order = append(g.order, m)
	}
	return g
}

func (g *slowGroup) between(from, to time.Duration) time.Duration {
	return from + time.Duration(g.random.Int64N(int64(to-from)))
}

func (g *slowGroup) send(messages []Message) {
	for _, m := range messages {
		g.queue = append(g.queue, arriving{g.now + pathLatency, m})
	}
}

// step advances the time by a tick.
func (g *slowGroup) step() {
	g.now += pathTick
	var due []arriving
	due, g.queue = partition(g.queue, func(a arriving) bool { return a.at <= g.now })
	for _, a := range due {
		if m := g.members[a.m.To]; m != nil {
			m.inbox = append(m.inbox, a.m)
		}
	}
	for _, id := range g.order {
		g.run(g.members[id])
	}
}

func (g *slowGroup) run(m *slowMember) {
	if m.effects != nil {
		if g.now < m.busyUntil {
			return
		}
		g.complete(m)
		return
	}
	if len(m.inbox) == 0 && len(m.proposals) == 0 && g.now < m.raft.Deadline() {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, message := range inbox {
		m.raft.Step(g.now, message)
	}
	m.raft.Tick(g.now)
	if len(m.proposals) > 0 {
		_, _, _ = m.raft.Propose(g.now, m.proposals)
		m.proposals = nil
	}
	m.began = g.now
	g.begin(m)
}

// begin starts to carry out the effects of the member.
func (g *slowGroup) begin(m *slowMember) {
	e := m.raft.TakeEffects()
	m.effects = &e
	g.send(e.EarlyMessages)
	m.busyUntil = g.now + g.between(minSlowStep, maxSlowStep)
	if e.MustSync() {
		m.busyUntil += g.between(minSlowSync, maxSlowSync)
	}
}

// complete ends the current effects, and the step unless there are more.
func (g *slowGroup) complete(m *slowMember) {
	g.send(m.effects.Messages)
	m.raft.Synced(g.now, m.effects.Mark)
	if m.raft.HasEffects() {
		g.begin(m)
		return
	}
	m.effects = nil
	m.raft.RecordStep(g.now, g.now-m.began)
}

// leader returns the member with a lease, or nil.
func (g *slowGroup) leader() *slowMember {
	for _, id := range g.order {
		if m := g.members[id]; m.raft.LeaseUntil(g.now) > g.now {
			return m
		}
	}
	return nil
}

// propose lets the leader propose a command if it holds the lease.
func (g *slowGroup) propose() {
	if m := g.leader(); m != nil {
		m.proposals = append(m.proposals, make([]byte, 10_000))
	}
}

// Guards against elections without end, and against leaders that step down while their
// followers are writing, among members that start at once on slow machines.
var _ = ginkgo.DescribeTable("Three of five voters that start at once on slow disks and processors elect a leader that stays",
	func(proposeEvery time.Duration) {
		const (
			seeds = 50
			// electionBound is the time within which the group has a leader with a lease.
			electionBound = 10 * time.Second
			watched       = 20 * time.Second
		)
		for seed := range uint64(seeds) {
			g := newSlowGroup(seed, 3)
			for g.leader() == nil && g.now < electionBound {
				g.step()
			}
			leader := g.leader()
			Expect(leader).NotTo(BeNil(), "seed %d: no leader after %s", seed, g.now)
			term, commit := leader.raft.term, leader.raft.commit
			nextProposal := g.now
			for end := g.now + watched; g.now < end; g.step() {
				if proposeEvery > 0 && g.now >= nextProposal {
					nextProposal = g.now + proposeEvery
					g.propose()
				}
			}
			Expect(leader.raft.role).To(Equal(Leader), "seed %d", seed)
			Expect(leader.raft.term).To(Equal(term), "seed %d", seed)
			if proposeEvery > 0 {
				Expect(leader.raft.commit).To(BeNumerically(">", commit), "seed %d", seed)
			}
		}
	},
	ginkgo.Entry("without proposals", time.Duration(0)),
	ginkgo.Entry("with a proposal each second", time.Second),
	ginkgo.Entry("with ten proposals a second", 100*time.Millisecond),
)

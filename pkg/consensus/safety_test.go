package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

func TestConsensus(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "consensus")
}

const (
	seedsPerSize  = 200
	stepsPerSeed  = 3000
	recoverySteps = 4000
	// maxVoters limits the size of the group under random membership changes.
	maxVoters = 7
)

// action is a random step of a simulation.
type action struct {
	weight int
	run    func(*simulation)
}

// actions lists the steps with their default weights.
var actions = []action{
	{550, (*simulation).deliverMessages},
	{250, (*simulation).advanceTime},
	{100, (*simulation).proposeCommands},
	{30, (*simulation).changeMembership},
	{10, (*simulation).blockLinks},
	{15, func(sim *simulation) { clear(sim.blocked) }},
	{10, func(sim *simulation) { sim.pickNode().raft = nil }},
	{25, (*simulation).restartNode},
	{3, (*simulation).loseDisk},
	{7, (*simulation).transferLeadership},
	{20, (*simulation).delayMessage},
	{20, (*simulation).deliverDelayed},
}

// randomizeWeights draws the weights of the actions for one seed (swarm testing).
// Seeds that omit some faults and emphasize others reach states that a uniform
// mixture rarely does.
func (sim *simulation) randomizeWeights() {
	factors := []int{0, 1, 1, 2, 5}
	for i, a := range actions {
		weight := a.weight
		if i > 1 {
			weight *= factors[sim.rand.IntN(len(factors))]
		}
		sim.totalWeight += weight
		sim.weights = append(sim.weights, weight)
	}
}

// step runs one random action.
func (sim *simulation) step() {
	p := sim.rand.IntN(sim.totalWeight)
	for i, weight := range sim.weights {
		if p < weight {
			actions[i].run(sim)
			return
		}
		p -= weight
	}
}

// delayMessage withholds a random message for a long time.
func (sim *simulation) delayMessage() {
	if len(sim.pending) > 0 {
		i := sim.rand.IntN(len(sim.pending))
		sim.delayed = append(sim.delayed, sim.pending[i])
		sim.pending = slices.Delete(sim.pending, i, i+1)
	}
}

func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) > 0 {
		i := sim.rand.IntN(len(sim.delayed))
		m := sim.delayed[i]
		sim.delayed = slices.Delete(sim.delayed, i, i+1)
		sim.deliver(m)
	}
}

func (sim *simulation) pickNode() *node { return sim.nodes[sim.rand.IntN(len(sim.nodes))] }

// deliverMessages delivers some messages out of order, and may lose or duplicate them.
func (sim *simulation) deliverMessages() {
	for range sim.nodes {
		if len(sim.pending) == 0 {
			return
		}
		i := sim.rand.IntN(min(len(sim.pending), 8))
		m := sim.pending[i]
		outcome := sim.rand.IntN(20)
		if outcome != 0 {
			sim.pending = slices.Delete(sim.pending, i, i+1)
		}
		if outcome != 1 {
			sim.deliver(m)
		}
	}
}

func (sim *simulation) advanceTime() {
	sim.time += time.Duration(sim.rand.Int64N(int64(testHeartbeat)))
	if sim.rand.IntN(200) == 0 {
		sim.time += 2 * testElectionTimeout
	}
	for _, n := range sim.nodes {
		// Some members miss ticks, like a process that is paused.
		if n.raft != nil && sim.rand.IntN(10) > 0 {
			n.raft.Tick(n.now(sim))
			sim.flush(n)
		}
		// Some steps take long, whether or not the others are as slow.
		if n.raft != nil && sim.rand.IntN(30) == 0 {
			n.raft.RecordStep(n.now(sim), time.Duration(sim.rand.Int64N(int64(3*testElectionTimeout))))
		}
	}
}

func (sim *simulation) randomLeader() *node {
	for _, i := range sim.rand.Perm(len(sim.nodes)) {
		if n := sim.nodes[i]; n.raft != nil && n.raft.role == Leader {
			return n
		}
	}
	return nil
}

func (sim *simulation) proposeCommands() {
	n := sim.randomLeader()
	if n == nil {
		return
	}
	var commands [][]byte
	for range 1 + sim.rand.IntN(4) {
		sim.commandCount++
		commands = append(commands, fmt.Appendf(nil, "c%d", sim.commandCount))
	}
	_, _, _ = n.raft.Propose(n.now(sim), commands)
	sim.flush(n)
}

// changeMembership proposes a membership change like an operator: members are
// added, promoted and removed at random, and lost ones are replaced step by step.
func (sim *simulation) changeMembership() {
	n := sim.randomLeader()
	if n == nil {
		return
	}
	change := sim.pickChange(n)
	next, err := n.raft.membershipAfter(change)
	if err != nil || sim.voterDisksLeft(next, nil) < next.quorum() || len(next.Voters) > maxVoters {
		return
	}
	_, _, _ = n.raft.ProposeChange(n.now(sim), change)
	sim.flush(n)
}

func (sim *simulation) pickChange(n *node) Change {
	m := sim.pickNode()
	switch {
	case n.raft.membership.IsVoter(m.member) && (m.diskLost || sim.rand.IntN(4) == 0):
		next := sim.pickNode().member
		if step, ok := n.raft.ReplacementStep(n.now(sim), m.member, next); ok && n.raft.membership.Contains(next) {
			return step
		}
		return Change{Kind: Remove, Member: m.member}
	case n.raft.membership.IsLearner(m.member) && !m.diskLost:
		return Change{Kind: Promote, Member: m.member}
	case n.raft.membership.IsLearner(m.member):
		return Change{Kind: Remove, Member: m.member}
	}
	return Change{Kind: AddLearner, Member: m.member}
}

// voterDisksLeft returns the number of voters, other than excluded, whose disk is
// not lost.
func (sim *simulation) voterDisksLeft(c Membership, excluded *node) int {
	count := 0
	for _, m := range c.Voters {
		if n := sim.find(m); !n.diskLost && n != excluded {
			count++
		}
	}
	return count
}

func (sim *simulation) blockLinks() {
	for range 3 {
		sim.blocked[[2]model.InstanceID{sim.pickNode().member.Instance, sim.pickNode().member.Instance}] = true
	}
}

func (sim *simulation) restartNode() {
	if n := sim.pickNode(); n.raft == nil && !n.diskLost {
		sim.start(n)
	}
}

func (sim *simulation) transferLeadership() {
	if n := sim.randomLeader(); n != nil && sim.rand.IntN(4) == 0 {
		n.raft.TransferLeadership(n.now(sim))
		sim.flush(n)
	}
}

// loseDisk gives a random instance an empty disk, which makes it a new member, if every
// membership that may be in effect keeps a majority of its disks.
func (sim *simulation) loseDisk() {
	n := sim.pickNode()
	if n.diskLost {
		return
	}
	if !sim.keepsMajorityWithout(n) {
		return
	}
	n.diskLost = true
	n.raft = nil
	replacement := &node{member: sim.newMember(n.member.Instance)}
	sim.nodes = append(sim.nodes, replacement)
	sim.start(replacement)
}

func (sim *simulation) keepsMajorityWithout(lost *node) bool {
	all := sim.membershipsInTransit()
	for _, n := range sim.nodes {
		all = append(all, n.memberships()...)
	}
	for _, c := range all {
		if sim.voterDisksLeft(c, lost) < c.quorum() {
			return false
		}
	}
	return true
}

// membershipsInTransit returns the memberships in undelivered messages.
func (sim *simulation) membershipsInTransit() []Membership {
	var all []Membership
	for _, m := range append(slices.Clone(sim.pending), sim.delayed...) {
		if m.Append == nil {
			continue
		}
		for _, e := range m.Append.Entries {
			if e.Membership != nil {
				all = append(all, *e.Membership)
			}
		}
	}
	return all
}

// memberships returns all memberships that may be in effect at n, now or after a
// crash.
func (n *node) memberships() []Membership {
	if n.diskLost || n.disk.state.Snapshot.Index == 0 {
		return nil
	}
	all := []Membership{n.disk.state.Snapshot.Membership}
	for _, e := range n.disk.state.Entries {
		if e.Membership != nil {
			all = append(all, *e.Membership)
		}
	}
	if n.raft != nil {
		all = append(all, n.raft.membership)
	}
	return all
}

// runWithoutFaults ends all faults and runs the group without further ones.
func (sim *simulation) runWithoutFaults() {
	sim.faults = false
	sim.delayed = nil
	clear(sim.blocked)
	for _, n := range sim.nodes {
		if n.raft == nil && !n.diskLost {
			sim.start(n)
		}
	}
	for range recoverySteps {
		sim.time += time.Millisecond
		for _, n := range sim.nodes {
			if n.raft != nil {
				n.raft.Tick(n.now(sim))
				sim.flush(n)
			}
		}
		for batch := sim.takePending(); len(batch) > 0; batch = sim.takePending() {
			for _, m := range batch {
				sim.deliver(m)
			}
		}
	}
}

func (sim *simulation) takePending() []Message {
	batch := sim.pending
	sim.pending = nil
	return batch
}

// run simulates one seed. It returns the first violation, or what did not recover
// after the faults ended.
func run(seed uint64, voters int) (sim *simulation, err error) {
	sim = newSimulation(seed, voters)
	sim.randomizeWeights()
	for range stepsPerSeed {
		sim.step()
		if sim.violation != nil {
			return sim, sim.violation
		}
	}
	sim.runWithoutFaults()
	if sim.violation != nil {
		return sim, sim.violation
	}
	return sim, sim.checkRecovered()
}

// checkRecovered proposes a command and checks that every live member applies it.
func (sim *simulation) checkRecovered() error {
	leader := sim.randomLeader()
	if leader == nil {
		return fmt.Errorf("no leader after the faults ended")
	}
	_, index, err := leader.raft.Propose(leader.now(sim), [][]byte{[]byte("last")})
	if err != nil {
		return fmt.Errorf("proposal after the faults ended: %w", err)
	}
	sim.flush(leader)
	sim.runWithoutFaults()
	for _, n := range sim.nodes {
		if n.raft != nil && leader.raft.membership.Contains(n.member) && n.raft.applied < index {
			return fmt.Errorf("%s has applied %d of %d", n.member, n.raft.applied, index)
		}
	}
	return sim.violation
}

var _ = ginkgo.Describe("Safety under message loss, duplication, partitions, crashes and lost disks", func() {
	for _, voters := range []int{1, 3, 5} {
		ginkgo.It(fmt.Sprintf("holds with %d voters", voters), func() {
			applied, disks := 0, 0
			for seed := range uint64(seedsPerSize) {
				sim, err := run(seed, voters)
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				applied += len(sim.applied)
				disks += sim.diskCount - voters
			}
			Expect(applied).To(BeNumerically(">", seedsPerSize*20))
			ginkgo.AddReportEntry("entries applied and disks lost", []int{applied, disks})
		})
	}
})

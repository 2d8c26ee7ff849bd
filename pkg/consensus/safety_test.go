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
	seedsPerSize = 200
	stepsPerSeed = 3000
	healedSteps  = 4000
	// maxVoters bounds the group in changes at random.
	maxVoters = 7
)

// action is something random that a world does.
type action struct {
	weight int
	do     func(*world)
}

// actions with their usual weights.
var actions = []action{
	{550, (*world).deliverSome},
	{250, (*world).passTime},
	{100, (*world).proposeSome},
	{30, (*world).changeSome},
	{10, (*world).blockSome},
	{15, func(w *world) { clear(w.blocked) }},
	{10, func(w *world) { w.pickNode().raft = nil }},
	{25, (*world).restartSome},
	{3, (*world).loseDisk},
	{7, (*world).transferSome},
	{20, (*world).delaySome},
	{20, (*world).releaseDelayed},
}

// swarm draws the weights of one seed. Seeds that lack some faults and have
// much of others reach states that an even mixture rarely does.
func (w *world) swarm() {
	factors := []int{0, 1, 1, 2, 5}
	for i, a := range actions {
		weight := a.weight
		if i > 1 {
			weight *= factors[w.rand.IntN(len(factors))]
		}
		w.total += weight
		w.weights = append(w.weights, weight)
	}
}

// step does one random thing.
func (w *world) step() {
	p := w.rand.IntN(w.total)
	for i, weight := range w.weights {
		if p < weight {
			actions[i].do(w)
			return
		}
		p -= weight
	}
}

// delaySome sets a message aside for long.
func (w *world) delaySome() {
	if len(w.pending) > 0 {
		i := w.rand.IntN(len(w.pending))
		w.delayed = append(w.delayed, w.pending[i])
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

func (w *world) releaseDelayed() {
	if len(w.delayed) > 0 {
		i := w.rand.IntN(len(w.delayed))
		m := w.delayed[i]
		w.delayed = slices.Delete(w.delayed, i, i+1)
		w.deliver(m)
	}
}

func (w *world) pickNode() *node { return w.nodes[w.rand.IntN(len(w.nodes))] }

// deliverSome takes some messages out of order, and may lose or repeat them.
func (w *world) deliverSome() {
	for range w.nodes {
		if len(w.pending) == 0 {
			return
		}
		i := w.rand.IntN(min(len(w.pending), 8))
		m := w.pending[i]
		fate := w.rand.IntN(20)
		if fate != 0 {
			w.pending = slices.Delete(w.pending, i, i+1)
		}
		if fate != 1 {
			w.deliver(m)
		}
	}
}

func (w *world) passTime() {
	w.time += time.Duration(w.rand.Int64N(int64(worldHeartbeat)))
	if w.rand.IntN(200) == 0 {
		w.time += 2 * worldElectionTimeout
	}
	for _, n := range w.nodes {
		// A member whose process is stopped for a while misses ticks.
		if n.raft != nil && w.rand.IntN(10) > 0 {
			n.raft.Tick(n.now(w))
			w.flush(n)
		}
	}
}

func (w *world) leading() *node {
	for _, i := range w.rand.Perm(len(w.nodes)) {
		if n := w.nodes[i]; n.raft != nil && n.raft.role == Leader {
			return n
		}
	}
	return nil
}

func (w *world) proposeSome() {
	n := w.leading()
	if n == nil {
		return
	}
	var commands [][]byte
	for range 1 + w.rand.IntN(4) {
		w.proposed++
		commands = append(commands, fmt.Appendf(nil, "c%d", w.proposed))
	}
	_, _, _ = n.raft.Propose(n.now(w), commands)
	w.flush(n)
}

// changeSome lets an operator change the group: disks are added, promoted and
// removed at random, and lost ones are replaced in steps.
func (w *world) changeSome() {
	n := w.leading()
	if n == nil {
		return
	}
	change := w.pickChange(n)
	next, err := n.raft.changed(change)
	if err != nil || w.aliveVoters(next, nil) < next.quorum() || len(next.Voters) > maxVoters {
		return
	}
	_, _, _ = n.raft.ProposeChange(n.now(w), change)
	w.flush(n)
}

func (w *world) pickChange(n *node) Change {
	m := w.pickNode()
	switch {
	case n.raft.membership.IsVoter(m.member) && (m.lost || w.rand.IntN(4) == 0):
		next := w.pickNode().member
		if step, ok := n.raft.ReplacementStep(n.now(w), m.member, next); ok && n.raft.membership.Contains(next) {
			return step
		}
		return Change{Kind: Remove, Member: m.member}
	case n.raft.membership.IsLearner(m.member) && !m.lost:
		return Change{Kind: Promote, Member: m.member}
	case n.raft.membership.IsLearner(m.member):
		return Change{Kind: Remove, Member: m.member}
	}
	return Change{Kind: AddLearner, Member: m.member}
}

// aliveVoters counts the voters whose disk lives, apart from one.
func (w *world) aliveVoters(c Membership, apart *node) int {
	alive := 0
	for _, m := range c.Voters {
		if n := w.find(m); !n.lost && n != apart {
			alive++
		}
	}
	return alive
}

func (w *world) blockSome() {
	for range 3 {
		w.blocked[[2]model.InstanceID{w.pickNode().member.Instance, w.pickNode().member.Instance}] = true
	}
}

func (w *world) restartSome() {
	if n := w.pickNode(); n.raft == nil && !n.lost {
		w.boot(n)
	}
}

func (w *world) transferSome() {
	if n := w.leading(); n != nil && w.rand.IntN(4) == 0 {
		n.raft.TransferLeadership(n.now(w))
		w.flush(n)
	}
}

// loseDisk brings an instance back with an empty disk, as another member, if
// every membership that may count keeps a majority of its disks.
func (w *world) loseDisk() {
	n := w.pickNode()
	if n.lost {
		return
	}
	if !w.majorityLivesWithout(n) {
		return
	}
	n.lost = true
	n.raft = nil
	fresh := &node{member: w.newMember(n.member.Instance)}
	w.nodes = append(w.nodes, fresh)
	w.boot(fresh)
}

func (w *world) majorityLivesWithout(lost *node) bool {
	all := w.travellingMemberships()
	for _, n := range w.nodes {
		all = append(all, n.memberships()...)
	}
	for _, c := range all {
		if w.aliveVoters(c, lost) < c.quorum() {
			return false
		}
	}
	return true
}

// travellingMemberships returns those in messages on their way.
func (w *world) travellingMemberships() []Membership {
	var all []Membership
	for _, m := range append(slices.Clone(w.pending), w.delayed...) {
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

// memberships returns all that may count at n, now or after a crash.
func (n *node) memberships() []Membership {
	if n.lost || n.disk.state.Snapshot.Index == 0 {
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

// heal ends all faults and lets the group work undisturbed.
func (w *world) heal() {
	w.faults = false
	w.delayed = nil
	clear(w.blocked)
	for _, n := range w.nodes {
		if n.raft == nil && !n.lost {
			w.boot(n)
		}
	}
	for range healedSteps {
		w.time += time.Millisecond
		for _, n := range w.nodes {
			if n.raft != nil {
				n.raft.Tick(n.now(w))
				w.flush(n)
			}
		}
		for batch := w.takePending(); len(batch) > 0; batch = w.takePending() {
			for _, m := range batch {
				w.deliver(m)
			}
		}
	}
}

func (w *world) takePending() []Message {
	batch := w.pending
	w.pending = nil
	return batch
}

// run returns what the seed violated, or what did not recover after it.
func run(seed uint64, voters int) (w *world, err error) {
	w = newWorld(seed, voters)
	w.swarm()
	for range stepsPerSeed {
		w.step()
		if w.violated != nil {
			return w, w.violated
		}
	}
	w.heal()
	if w.violated != nil {
		return w, w.violated
	}
	return w, w.checkRecovered()
}

// checkRecovered proposes once more and expects it to reach every live member.
func (w *world) checkRecovered() error {
	leader := w.leading()
	if leader == nil {
		return fmt.Errorf("no leader after the faults ended")
	}
	_, index, err := leader.raft.Propose(leader.now(w), [][]byte{[]byte("last")})
	if err != nil {
		return fmt.Errorf("proposal after the faults ended: %w", err)
	}
	w.flush(leader)
	w.heal()
	for _, n := range w.nodes {
		if n.raft != nil && leader.raft.membership.Contains(n.member) && n.raft.applied < index {
			return fmt.Errorf("%s has applied %d of %d", n.member, n.raft.applied, index)
		}
	}
	return w.violated
}

var _ = ginkgo.Describe("Safety under drops, repeats, partitions, crashes and lost disks", func() {
	for _, voters := range []int{1, 3, 5} {
		ginkgo.It(fmt.Sprintf("holds with %d voters", voters), func() {
			accepted, disks := 0, 0
			for seed := range uint64(seedsPerSize) {
				w, err := run(seed, voters)
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				accepted += len(w.accepted)
				disks += w.disks - voters
			}
			Expect(accepted).To(BeNumerically(">", seedsPerSize*20))
			ginkgo.AddReportEntry("entries accepted and disks lost", []int{accepted, disks})
		})
	}
})

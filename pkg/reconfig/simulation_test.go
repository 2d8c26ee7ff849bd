package reconfig_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/reconfig"
)

const (
	simulationSeeds = 400
	// simulationStep is the interval between decisions.
	simulationStep = 100 * time.Millisecond
	faultySteps    = 600
	quietSteps     = 600
	spareInstances = 2
)

// instance is a simulated instance with a disk.
type instance struct {
	member reconfig.Member
	disks  int
	// upAt is when it runs again.
	upAt time.Duration
	// slow is set if no new disk of it ever catches up.
	slow bool
}

// simulation is a group whose leader makes the changes that Decide returns. Disks are
// lost, as long as a majority is left; learners catch up or never do;
// leaders fail between the steps of a replacement.
type simulation struct {
	rand      *rand.Rand
	now       time.Duration
	instances []*instance
	group     reconfig.Input
	initial   []reconfig.Member
	violation error
}

func newSimulation(seed uint64, voters int) *simulation {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, uint64(voters)))}
	for n := range voters + spareInstances {
		i := &instance{member: member(n+1, "d0"), slow: n%3 == int(seed%3)}
		sim.instances = append(sim.instances, i)
		if n < voters {
			sim.group.Voters = append(sim.group.Voters, i.member)
		}
	}
	sim.initial = slices.Clone(sim.group.Voters)
	sim.group.DesiredVoters = voters
	sim.elect()
	return sim
}

// elect starts a leader that has received no offers.
func (sim *simulation) elect() {
	sim.group.Offers = make(map[model.InstanceID]reconfig.Offer)
	sim.group.ListeningSince = sim.now
}

// runs reports whether the disk of m exists and its instance runs.
func (sim *simulation) runs(m reconfig.Member) bool {
	return slices.ContainsFunc(sim.instances, func(i *instance) bool { return i.member == m && i.upAt <= sim.now })
}

func (sim *simulation) hasDisk(m reconfig.Member) bool {
	return slices.ContainsFunc(sim.instances, func(i *instance) bool { return i.member == m })
}

func quorum(voters []reconfig.Member) int { return len(voters)/2 + 1 }

// spare returns how many of the voters that satisfy a condition may be lost.
func spare(voters []reconfig.Member, satisfies func(reconfig.Member) bool) int {
	n := 0
	for _, v := range voters {
		if satisfies(v) {
			n++
		}
	}
	return n - quorum(voters)
}

// loseDisk replaces the disk of a random instance, if the others or, without any change of
// the voters, the initial ones would be a majority.
func (sim *simulation) loseDisk() {
	i := sim.instances[sim.rand.IntN(len(sim.instances))]
	runsWithout := func(m reconfig.Member) bool { return m != i.member && sim.runs(m) }
	hasDiskWithout := func(m reconfig.Member) bool { return m != i.member && sim.hasDisk(m) }
	if spare(sim.group.Voters, runsWithout) < 0 && spare(sim.initial, hasDiskWithout) < 0 {
		return
	}
	i.disks++
	i.member.Disk = model.DiskID(fmt.Sprintf("d%d", i.disks))
	i.upAt = sim.now + time.Duration(sim.rand.Int64N(int64(4*reconfig.VoterTimeout)))
	if sim.rand.IntN(2) == 0 {
		sim.elect()
	}
}

// catchUp lets each learner catch up or not, and receives offers.
func (sim *simulation) catchUp() {
	var caughtUp []reconfig.Member
	for _, i := range sim.instances {
		if i.upAt > sim.now {
			continue
		}
		sim.group.Offers[i.member.Instance] = reconfig.Offer{Member: i.member, ReceivedAt: sim.now}
		if !slices.Contains(sim.group.Learners, i.member) || i.slow && i.disks > 0 {
			continue
		}
		if slices.Contains(sim.group.CaughtUp, i.member) || sim.rand.IntN(20) == 0 {
			caughtUp = append(caughtUp, i.member)
		}
	}
	sim.group.CaughtUp = caughtUp
}

// setVoters makes one change of the voters, and checks that it does not lower how many
// running voters may be lost.
func (sim *simulation) setVoters(voters []reconfig.Member) {
	before, after := spare(sim.group.Voters, sim.runs), spare(voters, sim.runs)
	if after < before && sim.violation == nil {
		sim.violation = fmt.Errorf("voters %v tolerate %d losses, %v only %d", sim.group.Voters, before, voters, after)
	}
	sim.group.Voters = voters
}

func without(members []reconfig.Member, m reconfig.Member) []reconfig.Member {
	return slices.DeleteFunc(slices.Clone(members), func(other reconfig.Member) bool { return other == m })
}

func (sim *simulation) promote(m reconfig.Member) {
	if !slices.Contains(sim.group.CaughtUp, m) {
		return
	}
	sim.group.Learners = without(sim.group.Learners, m)
	sim.setVoters(append(slices.Clone(sim.group.Voters), m))
}

// replace makes the steps of a replacement; the leader may fail between them.
func (sim *simulation) replace(old, next reconfig.Member) {
	if !slices.Contains(sim.group.CaughtUp, next) {
		return
	}
	first, second := func() { sim.setVoters(without(sim.group.Voters, old)) }, func() { sim.promote(next) }
	if sim.runs(old) {
		first, second = second, first
	}
	first()
	if sim.rand.IntN(3) == 0 {
		sim.elect()
		return
	}
	second()
}

func (sim *simulation) change() {
	if spare(sim.group.Voters, sim.runs) < 0 {
		return
	}
	switch c := reconfig.Decide(sim.now, sim.group); c.Kind {
	case reconfig.AddLearner:
		sim.group.Learners = append(sim.group.Learners, c.New)
	case reconfig.Promote:
		sim.promote(c.New)
	case reconfig.ReplaceVoter:
		sim.replace(c.Old, c.New)
	case reconfig.RemoveLearner:
		sim.group.Learners = without(sim.group.Learners, c.Old)
	case reconfig.RemoveVoter:
		sim.setVoters(without(sim.group.Voters, c.Old))
	case reconfig.None:
	}
}

func (sim *simulation) step() {
	sim.now += simulationStep
	sim.catchUp()
	sim.change()
	if got, unchanged := spare(sim.group.Voters, sim.hasDisk), spare(sim.initial, sim.hasDisk); got < unchanged && sim.violation == nil {
		sim.violation = fmt.Errorf("voters %v tolerate %d lost disks, the initial ones %d", sim.group.Voters, got, unchanged)
	}
}

// possibleVoters returns how many voters the group may have: those with their disks, and
// the instances whose new disks catch up.
func (sim *simulation) possibleVoters() int {
	n := 0
	for _, i := range sim.instances {
		if slices.Contains(sim.group.Voters, i.member) || !i.slow || i.disks == 0 {
			n++
		}
	}
	return n
}

func (sim *simulation) run() error {
	for range faultySteps {
		if sim.rand.IntN(20) == 0 {
			sim.loseDisk()
		}
		sim.step()
	}
	for range quietSteps {
		sim.step()
	}
	if sim.violation != nil {
		return sim.violation
	}
	isLost := func(m reconfig.Member) bool { return !sim.hasDisk(m) }
	if slices.ContainsFunc(sim.group.Learners, isLost) {
		return fmt.Errorf("learners %v at the end", sim.group.Learners)
	}
	lost := slices.ContainsFunc(sim.group.Voters, isLost)
	if sim.possibleVoters() >= sim.group.DesiredVoters && (lost || len(sim.group.Voters) != sim.group.DesiredVoters) {
		return fmt.Errorf("voters %v at the end, caught up %v", sim.group.Voters, sim.group.CaughtUp)
	}
	return nil
}

var _ = Describe("Lost disks, learners that never catch up, and leaders that fail", func() {
	// Guards against a change of members that makes the group weaker than without it, and
	// against lost voters that stay although learners have caught up.
	for _, voters := range []int{3, 5} {
		It(fmt.Sprintf("never weaken a group of %d voters, which returns to that number", voters), func() {
			disks, complete := 0, 0
			for seed := range uint64(simulationSeeds) {
				sim := newSimulation(seed, voters)
				Expect(sim.run()).To(Succeed(), "seed %d", seed)
				for _, i := range sim.instances {
					disks += i.disks
				}
				if sim.possibleVoters() >= voters {
					complete++
				}
			}
			Expect(disks).To(BeNumerically(">", simulationSeeds))
			Expect(complete).To(BeNumerically(">", simulationSeeds/2))
		})
	}
})

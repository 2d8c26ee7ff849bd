package reconfig_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/reconfig"
)

const (
	// repairTime is the time without faults after which the group tolerates the loss of as
	// many disks as its initial members would.
	repairTime = 4 * time.Second
	// outages is the number of periods with faults, each of outageSteps decisions.
	outages     = 30
	outageSteps = 40
)

// restartInstance stops a random instance, which keeps its disk, for a random time, if the
// voters that run remain a majority.
func (sim *simulation) restartInstance() {
	i := sim.instances[sim.rand.IntN(len(sim.instances))]
	runsWithout := func(m reconfig.Member) bool { return m != i.member && sim.runs(m) }
	if spare(sim.group.Voters, runsWithout) < 0 {
		return
	}
	i.upAt = sim.now + time.Duration(sim.rand.Int64N(int64(4*reconfig.VoterTimeout)))
	if sim.rand.IntN(2) == 0 {
		sim.elect()
	}
}

// advance makes the next decision, without the checks of step.
func (sim *simulation) advance() {
	sim.now += simulationStep
	sim.catchUp()
	sim.change()
}

// runOutages lets instances restart in periods, and checks after each that the group
// tolerates the loss of as many disks as before.
func (sim *simulation) runOutages() error {
	for outage := range outages {
		for range outageSteps {
			if sim.rand.IntN(10) == 0 {
				sim.restartInstance()
			}
			sim.advance()
		}
		for _, i := range sim.instances {
			i.upAt = min(i.upAt, sim.now)
		}
		for end := sim.now + repairTime; sim.now < end; {
			sim.advance()
		}
		if got, want := spare(sim.group.Voters, sim.runs), spare(sim.initial, sim.hasDisk); got < want {
			return fmt.Errorf("outage %d: voters %v tolerate %d losses, %d were tolerated before", outage, sim.group.Voters, got, want)
		}
	}
	return nil
}

var _ = Describe("Instances that restart without the loss of their disks, and leaders that fail", func() {
	// Guards against a voter that is given up while it restarts, and whose place stays empty.
	for _, voters := range []int{3, 5} {
		It(fmt.Sprintf("leave a group of %d voters as tolerant of losses as before", voters), func() {
			for seed := range uint64(simulationSeeds) {
				Expect(newSimulation(seed, voters).runOutages()).To(Succeed(), "seed %d", seed)
			}
		})
	}
})

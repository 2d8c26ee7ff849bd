//go:build soak

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Guards against empty disks that never become members: all processes that the settings
// name as seeds had lost their disks, or were gone, while three others led.
func TestDisksLostAtAllSeedsAreNeverReplaced(t *testing.T) {
	useMemoryFolder(t)
	f := newFleet(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	o := &outage{fleet: f, spare: f.newMember(meshPort)}
	// The last one is replaced, which is a seed, and the first two are the other seeds.
	o.members = []*instance{f.instances[1], f.instances[2], f.instances[3], f.instances[4], f.instances[0]}
	f.replaceConfiguration(ctx)
	f.awaitVoters(ctx, o.members)
	o.replaceMember()
	f.awaitVoters(ctx, o.members)

	for _, n := range o.members[:2] {
		n.stop()
	}
	time.Sleep(time.Second)
	for _, n := range o.members[:2] {
		n.removeData()
		n.start()
	}
	o.awaitFiveVoters(ctx)
	slices.Reverse(o.members)
	o.losePower(2)
	f.awaitLeader(ctx)
	f.replaceConfigurationInTime(ctx)
	f.report(1)
}

// roundsPerSeed is the number of rounds of TestLossOfPower with each seed.
const roundsPerSeed = 10

// TestLossOfPower lets all processes lose power in rounds, with disks that are lost at the
// same moment or before. It runs only if SOAK_SEEDS is set. SOAK_ROUTES makes the
// configurations larger, and SOAK_BUSY is the number of busy loops on each processor.
func TestLossOfPower(t *testing.T) {
	for i := range envInt("SOAK_SEEDS", 0) {
		seed := uint64(envInt("SOAK_SEED", 1) + i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runPowerLosses(t, seed) })
	}
}

func runPowerLosses(t *testing.T, seed uint64) {
	useMemoryFolder(t)
	f := newFleet(t, seed)
	f.fixedRoutes = envInt("SOAK_ROUTES", 0)
	ctx, cancel := context.WithTimeout(context.Background(), roundsPerSeed*time.Minute)
	defer cancel()
	o := &outage{fleet: f, rng: rand.New(rand.NewPCG(seed, 7)), spare: f.newMember(meshPort)}
	o.members = slices.Clone(f.instances[:controlCount])
	for range changesBefore {
		f.replaceConfiguration(ctx)
	}
	f.awaitVoters(ctx, o.members)
	stopLoops := startBusyLoops(t, envInt("SOAK_BUSY", 0))
	stopChanges := f.startChanges(ctx)
	for round := 0; round < roundsPerSeed && !f.hasFindings(); round++ {
		o.runRound(ctx, round)
	}
	stopChanges()
	stopLoops()
	f.report(seed)
}

// hasFindings reports whether a check has failed. Rounds after it would only show again
// that the group does not come back.
func (f *fleet) hasFindings() bool {
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	return len(f.checker.findings) > 0
}

// startBusyLoops keeps the processors busy; stop ends it. The loops also end with the
// process of the test.
func startBusyLoops(t *testing.T, perProcessor int) (stop func()) {
	var loops []*exec.Cmd
	for range perProcessor * runtime.NumCPU() {
		p := exec.Command("sh", "-c", "while kill -0 $PPID 2>/dev/null; do :; done")
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		loops = append(loops, p)
	}
	return func() {
		for _, p := range loops {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
}

// outage disturbs the control instances of a fleet. At most two of the five members have
// lost their disks or are gone at a time.
type outage struct {
	fleet *fleet
	rng   *rand.Rand
	// members are the five members that run, and spare is the one that does not.
	members []*instance
	spare   *instance
}

// outageKinds are the kinds of rounds.
var outageKinds = []struct {
	name string
	run  func(o *outage, ctx context.Context)
}{
	{"two disks after a change", func(o *outage, ctx context.Context) {
		o.fleet.replaceConfiguration(ctx)
		o.losePower(2)
	}},
	{"two disks", func(o *outage, _ context.Context) { o.losePower(2) }},
	{"one disk while a member is replaced", func(o *outage, _ context.Context) {
		o.replaceMember()
		o.wait(3 * time.Second)
		o.losePower(1)
	}},
	{"one disk while another is replaced", func(o *outage, _ context.Context) {
		o.members[4].loseDisk(time.Second)
		o.wait(3 * time.Second)
		o.losePower(1)
	}},
	{"two disks after another was replaced", func(o *outage, _ context.Context) {
		o.members[4].loseDisk(time.Second)
		time.Sleep(catchUpTime)
		o.wait(3 * time.Second)
		o.losePower(2)
	}},
	{"two disks after a member was replaced", func(o *outage, _ context.Context) {
		o.replaceMember()
		time.Sleep(catchUpTime)
		o.wait(3 * time.Second)
		o.losePower(2)
	}},
	{"leader stopped, successor killed", func(o *outage, ctx context.Context) { o.stopLeader(ctx) }},
}

// runRound runs one kind of outage on members in a random order.
func (o *outage) runRound(ctx context.Context, round int) {
	o.rng.Shuffle(len(o.members), func(i, j int) { o.members[i], o.members[j] = o.members[j], o.members[i] })
	kind := outageKinds[o.rng.IntN(len(outageKinds))]
	o.playRound(ctx, round, kind.name, func() { kind.run(o, ctx) })
}

// playRound runs a round, and waits until the group has its five voters again.
func (o *outage) playRound(ctx context.Context, round int, name string, run func()) {
	f := o.fleet
	f.checker.contact.log("round %d: %s", round, name)
	o.wait(time.Second)
	run()
	served := f.awaitLeader(ctx)
	restored := o.awaitFiveVoters(ctx)
	f.t.Logf("round %d, %s: a leader after %d ms, five voters after %d ms", round, name, served.Milliseconds(), restored.Milliseconds())
}

// awaitFiveVoters waits until the members are the voters, and returns how long that took.
func (o *outage) awaitFiveVoters(ctx context.Context) time.Duration {
	began := time.Now()
	for !o.fleet.areVoters(ctx, o.members) {
		if time.Since(began) > leaderBound {
			o.fleet.addFinding("the members are not the voters again after %s", leaderBound)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	o.fleet.checker.contact.log("the members are the voters again")
	return time.Since(began)
}

// wait waits for a random time.
func (o *outage) wait(limit time.Duration) { time.Sleep(time.Duration(o.rng.Int64N(int64(limit)))) }

// losePower kills all processes at once and starts them after a second. The first members
// lose their disks.
func (o *outage) losePower(lostDisks int) {
	all := slices.Concat(o.members, o.fleet.instances[controlCount:])
	o.fleet.losePower(time.Second, all, o.members[:lostDisks])
}

// replaceMember ends the last member for good, and starts one with an empty disk at another
// address.
func (o *outage) replaceMember() {
	last := len(o.members) - 1
	o.members[last], o.spare = o.spare, o.members[last]
	o.spare.stop()
	time.Sleep(time.Second)
	o.spare.removeData()
	o.members[last].start()
}

// stopLeader stops the process of the leader, kills its successor, and lets the former
// leader go on after a random time.
func (o *outage) stopLeader(ctx context.Context) {
	leader := o.awaitLeaderBeside(ctx, nil)
	leader.signal(syscall.SIGSTOP)
	successor := o.awaitLeaderBeside(ctx, leader)
	successor.signal(syscall.SIGKILL)
	o.fleet.awaitLeader(ctx)
	o.wait(2 * time.Second)
	leader.signal(syscall.SIGCONT)
}

// awaitLeaderBeside waits until another member than the given one leads.
func (o *outage) awaitLeaderBeside(ctx context.Context, other *instance) *instance {
	for {
		for _, n := range o.members {
			if n != other && n.status(ctx).Role == "leader" {
				return n
			}
		}
		o.fleet.must(ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

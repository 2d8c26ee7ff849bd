//go:build soak

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// cutZone are the indexes of the control instances in the zone that is cut off.
var cutZone = []int{1, 3}

// zoneOutages are the kinds of rounds of TestLossOfAZone. The last two members are those of
// the zone that is cut off.
var zoneOutages = []struct {
	name string
	run  func(o *outage, path *relay)
}{
	{"a disk outside is replaced during the cut", func(o *outage, path *relay) {
		path.setFault(pathFault{cut: true})
		o.wait(2 * time.Second)
		o.members[0].loseDisk(time.Second)
		o.wait(6 * time.Second)
		path.setFault(pathFault{})
	}},
	{"a disk inside is replaced during the cut", func(o *outage, path *relay) {
		path.setFault(pathFault{cut: true})
		o.wait(2 * time.Second)
		o.members[3].loseDisk(time.Second)
		o.wait(6 * time.Second)
		path.setFault(pathFault{})
	}},
	{"the cut begins during a replacement", func(o *outage, path *relay) {
		o.members[0].loseDisk(time.Second)
		o.wait(300 * time.Millisecond)
		path.setFault(pathFault{cut: true})
		o.wait(8 * time.Second)
		path.setFault(pathFault{})
	}},
	{"two disks after the cut", func(o *outage, path *relay) {
		path.setFault(pathFault{cut: true})
		o.wait(8 * time.Second)
		path.setFault(pathFault{})
		time.Sleep(catchUpTime)
		o.losePower(2)
	}},
	{"two disks after a replacement during the cut", func(o *outage, path *relay) {
		path.setFault(pathFault{cut: true})
		o.members[3].loseDisk(time.Second)
		o.wait(4 * time.Second)
		path.setFault(pathFault{})
		time.Sleep(catchUpTime)
		o.losePower(2)
	}},
}

// TestLossOfAZone cuts a zone off while disks are replaced, in rounds. It runs only if
// SOAK_SEEDS is set.
func TestLossOfAZone(t *testing.T) {
	for i := range envInt("SOAK_SEEDS", 0) {
		seed := uint64(envInt("SOAK_SEED", 1) + i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runZoneLosses(t, seed) })
	}
}

func runZoneLosses(t *testing.T, seed uint64) {
	useMemoryFolder(t)
	f := newFleet(t, seed, cutZone...)
	f.fixedRoutes = envInt("SOAK_ROUTES", 0)
	ctx, cancel := context.WithTimeout(context.Background(), roundsPerSeed*time.Minute)
	defer cancel()
	var inside, outside []*instance
	for i, n := range f.instances {
		if slices.Contains(cutZone, i) {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	path := f.startRelay(seed, outside, inside)
	o := &outage{fleet: f, rng: rand.New(rand.NewPCG(seed, 8))}
	o.members = slices.Concat(outside[:controlCount-len(inside)], inside)
	f.replaceConfiguration(ctx)
	f.awaitVoters(ctx, o.members)
	stopChanges := f.startChanges(ctx)
	for round := range roundsPerSeed {
		kind := zoneOutages[o.rng.IntN(len(zoneOutages))]
		outsideMembers := o.members[:controlCount-len(inside)]
		o.rng.Shuffle(len(outsideMembers), func(i, j int) {
			outsideMembers[i], outsideMembers[j] = outsideMembers[j], outsideMembers[i]
		})
		o.playRound(ctx, round, kind.name, func() { kind.run(o, path) })
	}
	stopChanges()
	f.report(seed)
}

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

// zonePath is the path between a zone and all others, and its fault while it is not cut.
type zonePath struct {
	relay *relay
	uncut pathFault
}

func (p *zonePath) cut() { p.relay.setFault(pathFault{cut: true}) }

func (p *zonePath) reconnect() { p.relay.setFault(p.uncut) }

// zoneOutages are the kinds of rounds of TestLossOfAZone. The last two members are those of
// the zone that is cut off.
var zoneOutages = []struct {
	name string
	run  func(o *outage, path *zonePath)
}{
	{"a disk outside is replaced during the cut", func(o *outage, path *zonePath) {
		path.cut()
		o.wait(2 * time.Second)
		o.members[0].loseDisk(time.Second)
		o.wait(6 * time.Second)
		path.reconnect()
	}},
	{"a disk inside is replaced during the cut", func(o *outage, path *zonePath) {
		path.cut()
		o.wait(2 * time.Second)
		o.members[3].loseDisk(time.Second)
		o.wait(6 * time.Second)
		path.reconnect()
	}},
	{"the cut begins during a replacement", func(o *outage, path *zonePath) {
		o.members[0].loseDisk(time.Second)
		o.wait(300 * time.Millisecond)
		path.cut()
		o.wait(8 * time.Second)
		path.reconnect()
	}},
	{"two disks after the cut", func(o *outage, path *zonePath) {
		path.cut()
		o.wait(8 * time.Second)
		path.reconnect()
		time.Sleep(catchUpTime)
		o.losePower(2)
	}},
	{"two disks after a replacement during the cut", func(o *outage, path *zonePath) {
		path.cut()
		o.members[3].loseDisk(time.Second)
		o.wait(4 * time.Second)
		path.reconnect()
		time.Sleep(catchUpTime)
		o.losePower(2)
	}},
}

// TestLossOfAZone cuts a zone off while disks are replaced, in rounds. Between the cuts its
// path loses nothing, or 20% of the packets. It runs only if SOAK_SEEDS is set.
func TestLossOfAZone(t *testing.T) {
	for i := range envInt("SOAK_SEEDS", 0) {
		seed := uint64(envInt("SOAK_SEED", 1) + i)
		for _, lossShare := range []float64{0, 0.2} {
			name := fmt.Sprintf("seed-%d-loss-%g", seed, lossShare)
			t.Run(name, func(t *testing.T) { runZoneLosses(t, seed, pathFault{lossShare: lossShare}) })
		}
	}
}

func runZoneLosses(t *testing.T, seed uint64, uncut pathFault) {
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
	path := &zonePath{f.startRelay(seed, outside, inside), uncut}
	path.reconnect()
	o := &outage{fleet: f, rng: rand.New(rand.NewPCG(seed, 8))}
	o.members = slices.Concat(outside[:controlCount-len(inside)], inside)
	f.replaceConfiguration(ctx)
	f.awaitVoters(ctx, o.members)
	stopChanges := f.startChanges(ctx)
	for round := 0; round < roundsPerSeed && !f.hasFindings(); round++ {
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

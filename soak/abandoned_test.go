//go:build soak

package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Guards against requests to a zone whose evacuation was acknowledged: control instances
// that stood still served, when they went on, ends that their caller had given up.
func TestAnEndThatWasGivenUpUndoesNoNewerEvacuation(t *testing.T) {
	f := newFleet(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.replaceConfiguration(ctx)
	f.waitReady(ctx)
	time.Sleep(catchUpTime)
	stopLoad := f.startLoad(ctx)
	o := f.newOperator(1)
	// Each control instance is stopped once, so the leader is too.
	for _, stopped := range [][]*instance{f.instances[0:2], f.instances[2:4], f.instances[4:5]} {
		o.startAfterEnds(ctx, stopped)
		f.observeZones(time.Second)
	}
	stopLoad()
	f.report(1)
}

// seriesRegressions are seeds of TestEvacuationsInQuickSeries that failed before.
var seriesRegressions = []uint64{
	// A control instance that stood still served, when it went on, the end of an
	// evacuation that its caller had given up, after the start had been acknowledged.
	800,
}

// secondsPerRound is the share of SOAK_SECONDS for which a round is run.
const secondsPerRound = 8

// TestEvacuationsInQuickSeries gives orders beside faults of control instances, and lets
// the faults end after each few orders. It runs the regressions, and the seeds that
// TestSoak runs if SOAK_SEEDS is set.
func TestEvacuationsInQuickSeries(t *testing.T) {
	seeds := slices.Clone(seriesRegressions)
	for i := range envInt("SOAK_SEEDS", 0) {
		seeds = append(seeds, uint64(envInt("SOAK_SEED", 1)+i))
	}
	rounds := max(1, envInt("SOAK_SECONDS", 15)/secondsPerRound)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runRounds(t, seed, rounds) })
	}
}

func runRounds(t *testing.T, seed uint64, rounds int) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rounds)*time.Minute)
	defer cancel()
	f.replaceConfiguration(ctx)
	f.waitReady(ctx)
	time.Sleep(catchUpTime)
	stopLoad := f.startLoad(ctx)
	o := f.newOperator(seed)
	for range rounds {
		o.runRound(ctx)
		f.observeZones(2 * time.Second)
	}
	stopLoad()
	f.report(seed)
}

// observeZones waits until faults are past and the newest orders must be in force, and
// checks for a while that they are.
func (f *fleet) observeZones(length time.Duration) {
	time.Sleep(contactWindow)
	f.checker.waitEvacuationBound()
	time.Sleep(length)
	f.checker.checkZones()
}

// startAfterEnds starts the evacuation of zone a, after ends that instances get
// while they are stopped, and lets these go on.
func (o *operator) startAfterEnds(ctx context.Context, stopped []*instance) {
	o.giveUp(ctx, stopped, 0, "a", true)
	acknowledged := false
	for ctx.Err() == nil && !acknowledged {
		for _, n := range o.fleet.instances[:controlCount] {
			if n != stopped[0] && n != stopped[len(stopped)-1] {
				acknowledged = acknowledged || o.call(ctx, n, "a", false)
			}
		}
	}
	for _, n := range stopped {
		n.signal(syscall.SIGCONT)
	}
}

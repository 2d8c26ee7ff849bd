package move

import "math"

const (
	// baselineDecay is the part of the baseline kept from window to window.
	baselineDecay = 0.95
	// baselineFloor is the least rate of failures that counts as a fault when
	// there is no old version beside it.
	baselineFloor = 0.02
	// baselineFault is the rate that a faulty version is supposed to show.
	baselineFault = 0.2
	// baselineLimit is the evidence that asks for a comparison: a wrong one
	// costs only time, so it is lower than the limit of a take-back.
	baselineLimit = 7
)

// baselineTest watches the failures of the new version while no traffic of the
// old one is left to compare with. It never takes a move back: it only asks
// for a share at which both versions can be compared.
type baselineTest struct {
	all, failed float64
	evidence    float64
}

// learn takes in a window in which both versions were compared.
func (b *baselineTest) learn(c counts) {
	b.all = b.all*baselineDecay + c.newAll
	b.failed = b.failed*baselineDecay + c.newBad
	b.restart()
}

// restart forgets the evidence, not the baseline.
func (b *baselineTest) restart() { b.evidence = 0 }

// add takes in a window of the new version alone.
func (b *baselineTest) add(t *versionTally, explained float64) {
	allowed := baselineFloor
	if b.all > 0 {
		allowed = max(allowed, tolerance*b.failed/b.all)
	}
	fault := max(baselineFault, tolerance*allowed)
	failed := max(0, t.failed-explained)
	ratio := failed*math.Log(fault/allowed) - (t.ok+failed)*(fault-allowed)
	b.evidence = max(0, b.evidence+min(ratio, baselineLimit))
}

func (b *baselineTest) suspicious() bool { return b.evidence >= baselineLimit }

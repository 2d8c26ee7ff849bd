package move

import "math"

const (
	// baselineDecay is the fraction of the baseline kept from one compared window to
	// the next.
	baselineDecay = 0.95
	// baselineFloor is a failure rate that is always allowed while there is no
	// traffic of the old version to compare with.
	baselineFloor = 0.02
	// baselineFaultRate is the lowest failure rate that the test assumes of a
	// faulty version.
	baselineFaultRate = 0.2
	// baselineEvidenceLimit is the evidence at which a comparison is requested. It
	// is lower than the limit for a rollback, because a needless comparison
	// costs only time.
	baselineEvidenceLimit = 7
)

// baselineTest monitors the failure rate of the new version while the old one
// has no traffic to compare with. The baseline is the new version's own failure
// rate, decayed over time, while both versions had traffic. The test never rolls
// a move back by itself: it only requests a share at which both versions can be
// compared.
type baselineTest struct {
	total, failed float64
	evidence      float64
}

// updateBaseline adds a window in which both versions had traffic and were
// compared.
func (b *baselineTest) updateBaseline(c counts) {
	b.total = b.total*baselineDecay + c.newTotal
	b.failed = b.failed*baselineDecay + c.newBad
	b.resetEvidence()
}

// resetEvidence clears the evidence but keeps the baseline.
func (b *baselineTest) resetEvidence() { b.evidence = 0 }

// add updates the evidence with a period that has traffic of the new version only.
func (b *baselineTest) add(t *versionTally, explained float64) {
	allowed := baselineFloor
	if b.total > 0 {
		allowed = max(allowed, tolerance*b.failed/b.total)
	}
	fault := max(baselineFaultRate, tolerance*allowed)
	failed := max(0, t.failed-explained)
	ratio := failed*math.Log(fault/allowed) - (t.ok+failed)*(fault-allowed)
	b.evidence = max(0, b.evidence+min(ratio, baselineEvidenceLimit))
}

func (b *baselineTest) alarm() bool { return b.evidence >= baselineEvidenceLimit }

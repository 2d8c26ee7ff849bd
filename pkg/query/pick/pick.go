// Package pick chooses the target for a leaf request by the power of two random
// choices. The cost of a target is its expected latency times the number of its
// requests in flight, including the one to be sent. It is an estimated time, unlike
// the costs in pkg/catalog, which are multiples of the usual latency.
package pick

import (
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Candidate is a target that can take a request now.
type Candidate struct {
	// Index identifies the target to the caller of Choose.
	Index            int
	AvailabilityZone model.AvailabilityZoneID
	// Latency is the expected latency without queueing.
	Latency  time.Duration
	InFlight int
	// Unproven is set for targets whose speed has yet to be measured.
	Unproven bool
}

// exploreInterval is the interval, in choices, at which an unproven target is
// preferred: one choice in exploreInterval, on average, goes to one. Otherwise a
// high estimated cost could keep such a target without requests forever.
const exploreInterval = 2

// Cost returns the estimated cost of sending one more request to the candidate.
func (c Candidate) Cost() float64 {
	return float64(c.Latency) * float64(c.InFlight+1)
}

// Choose returns the Index of the cheaper of two random candidates, or false if
// there are no candidates. One in exploreInterval choices goes to an unproven
// candidate on average, if there is one.
func Choose(candidates []Candidate, random *rand.Rand) (int, bool) {
	switch len(candidates) {
	case 0:
		return 0, false
	case 1:
		return candidates[0].Index, true
	}
	if random.IntN(exploreInterval) == 0 {
		if index, ok := anyUnproven(candidates, random); ok {
			return index, true
		}
	}
	i := random.IntN(len(candidates))
	j := random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].Cost() < candidates[i].Cost() {
		i = j
	}
	return candidates[i].Index, true
}

func anyUnproven(candidates []Candidate, random *rand.Rand) (int, bool) {
	first := random.IntN(len(candidates))
	for k := range candidates {
		if c := candidates[(first+k)%len(candidates)]; c.Unproven {
			return c.Index, true
		}
	}
	return 0, false
}

// ChooseHedge returns the Index of the cheapest candidate. It prefers candidates
// outside lateZone, the availability zone of the late attempt.
func ChooseHedge(candidates []Candidate, lateZone model.AvailabilityZoneID) (int, bool) {
	best := -1
	for i, c := range candidates {
		if best < 0 || betterHedge(c, candidates[best], lateZone) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	return candidates[best].Index, true
}

func betterHedge(a, b Candidate, lateZone model.AvailabilityZoneID) bool {
	aElsewhere, bElsewhere := a.AvailabilityZone != lateZone, b.AvailabilityZone != lateZone
	if aElsewhere != bElsewhere {
		return aElsewhere
	}
	return a.Cost() < b.Cost()
}
